package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// workload is a set of callers, each with one chat at a time.
type workload struct {
	callers int
	// think is the mean pause of a caller between two turns.
	think time.Duration
	// spread is the time over which the callers begin.
	spread       time.Duration
	answerTokens int
	// turns is the length of a chat; the caller then begins a new one.
	turns int
	// workspace is the workspace of all callers, or anyWorkspace.
	workspace int
	name      string
	seed      uint64
}

// anyWorkspace spreads callers over the workspaces by workspaceWeights.
const anyWorkspace = -1

// workspaceWeights makes three of the ten workspaces large.
var workspaceWeights = [workspaceCount]int{30, 20, 15, 5, 5, 5, 5, 5, 5, 5}

func drawWorkspace(random *rand.Rand) int {
	total := 0
	for _, weight := range workspaceWeights {
		total += weight
	}
	at := random.IntN(total)
	for workspace, weight := range workspaceWeights {
		if at < weight {
			return workspace
		}
		at -= weight
	}
	return 0
}

// turn is one finished turn.
type turn struct {
	at     time.Time // start
	answer answer
	// former is the part of the prompt that an earlier turn has left, in tokens.
	former int
}

// trace collects finished turns.
type trace struct {
	mu    sync.Mutex
	turns []turn
}

func (t *trace) add(done turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turns = append(t.turns, done)
}

// between returns the turns that started in [from, to).
func (t *trace) between(from, to time.Time) []turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []turn
	for _, done := range t.turns {
		if !done.at.Before(from) && done.at.Before(to) {
			found = append(found, done)
		}
	}
	return found
}

// start runs the workload until the context ends. The wait group ends when every
// caller has finished its last turn.
func (b *bench) start(ctx context.Context, w workload, into *trace) *sync.WaitGroup {
	waiting := &sync.WaitGroup{}
	for i := range w.callers {
		waiting.Go(func() { b.callAgain(ctx, w, i, into) })
	}
	return waiting
}

// callAgain is one caller. Each turn goes to a router drawn at random, as the
// platform's load balancer does.
func (b *bench) callAgain(ctx context.Context, w workload, caller int, into *trace) {
	random := rand.New(rand.NewPCG(w.seed, uint64(caller)))
	if !pause(ctx, time.Duration(random.Float64()*float64(w.spread))) {
		return
	}
	for number := 0; ctx.Err() == nil; number++ {
		workspace := w.workspace
		if workspace == anyWorkspace {
			workspace = drawWorkspace(random)
		}
		c := newChat(workspace, fmt.Sprintf("%s-%d-%d", w.name, caller, number), w.answerTokens)
		// The first chat starts in the middle, so that callers don't begin new
		// chats at the same time.
		left := w.turns
		if number == 0 {
			left = 1 + random.IntN(w.turns)
		}
		b.runChat(ctx, w, c, left, random, into)
	}
}

func (b *bench) runChat(ctx context.Context, w workload, c *chat, turns int, random *rand.Rand, into *trace) {
	former := 0
	for range turns {
		router := b.Routers[random.IntN(len(b.Routers))]
		done := turn{at: time.Now(), former: former}
		// A turn that has started is finished, so that the end of the measure
		// fails none.
		done.answer = b.send(context.WithoutCancel(ctx), router.CallersURL, c)
		into.add(done)
		if done.answer.err == nil {
			c.heard(done.answer.text)
			former = promptTokens(c.body.Messages[:len(c.body.Messages)-1])
		}
		if !pause(ctx, time.Duration(random.ExpFloat64()*float64(w.think))) {
			return
		}
	}
}

// pause returns false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
