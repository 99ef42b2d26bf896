package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// workload describes callers that each have one chat at a time.
type workload struct {
	callers int
	// think is the mean think time of a caller between two turns.
	think time.Duration
	// spread is the time over which the starts of the callers are spread.
	spread       time.Duration
	answerTokens int
	// turns is the number of turns in a chat; the caller then begins a new one.
	turns int
	// workspace is the index of the workspace of all callers, or anyWorkspace.
	workspace int
	// name is the prefix of the chat ids.
	name string
	seed uint64
}

// anyWorkspace, as workload.workspace, means that the workspace of each chat is drawn at
// random with the probabilities of workspaceWeights.
const anyWorkspace = -1

// workspaceWeights are the relative numbers of chats of the workspaces. Three of the ten
// workspaces are large.
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
	at     time.Time // when the turn started
	answer answer
	// reusableTokens is the number of tokens in the chat's earlier turns. A cache could
	// hold these tokens, because the prompt of this turn begins with them.
	reusableTokens int
}

// turnLog collects finished turns. It is safe for concurrent use.
type turnLog struct {
	mu    sync.Mutex
	turns []turn
}

func (t *turnLog) add(done turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turns = append(t.turns, done)
}

// startedBetween returns the turns that started in [from, to).
func (t *turnLog) startedBetween(from, to time.Time) []turn {
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

// startWorkload runs the workload until the context ends. The wait group is done when
// every caller has finished its last turn.
func (b *bench) startWorkload(ctx context.Context, w workload, into *turnLog) *sync.WaitGroup {
	waiting := &sync.WaitGroup{}
	for i := range w.callers {
		waiting.Go(func() { b.runCaller(ctx, w, i, into) })
	}
	return waiting
}

// runCaller runs one caller, which sends each turn to a router drawn at random, as the
// platform's load balancer does.
func (b *bench) runCaller(ctx context.Context, w workload, caller int, into *turnLog) {
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
		// The first chat has a random number of turns, so that the callers don't begin
		// their second chats at the same time.
		left := w.turns
		if number == 0 {
			left = 1 + random.IntN(w.turns)
		}
		b.runChat(ctx, w, c, left, random, into)
	}
}

func (b *bench) runChat(ctx context.Context, w workload, c *chat, turns int, random *rand.Rand, into *turnLog) {
	reusable := 0
	for range turns {
		router := b.Routers[random.IntN(len(b.Routers))]
		done := turn{at: time.Now(), reusableTokens: reusable}
		// A turn that has started runs to its end, so that the end of the measure does
		// not count as a failure.
		done.answer = b.send(context.WithoutCancel(ctx), router.CallersURL, c)
		into.add(done)
		if done.answer.err == nil {
			c.addAnswer(done.answer.text)
			reusable = promptTokens(c.body.Messages[:len(c.body.Messages)-1])
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
