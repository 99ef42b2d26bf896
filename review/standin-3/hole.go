package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hole"] = hole }

const (
	holeFor     = 40 * time.Second
	holeClients = 24
	holeEvents  = 8
	// loseOneIn: half of the replicas lose some bytes of one in twenty of their answers, at most longestHole.
	loseOneIn   = 20
	longestHole = 60
)

// losing returns the function lose of a replica: which bytes of which answers are lost.
func losing(seed uint64) func() (at, n int) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	answers := 0
	return func() (at, n int) {
		mu.Lock()
		defer mu.Unlock()
		if answers++; answers%loseOneIn != 0 {
			return 0, 0
		}
		return 20 + random.IntN(200), 1 + random.IntN(longestHole)
	}
}

// wellFormed reports whether the bytes are a body in chunks, or the beginning of one that was cut.
func wellFormed(body []byte) bool {
	for {
		line, rest, found := bytes.Cut(body, []byte("\r\n"))
		size, err := strconv.ParseUint(string(line), 16, 16)
		switch {
		case !found:
			return true
		case err != nil:
			return false
		case size == 0:
			return string(rest) == "\r\n"
		case len(rest) < int(size)+2:
			return true
		case string(rest[size:size+2]) != "\r\n":
			return false
		}
		body = rest[size+2:]
	}
}

// pieces returns the data of the events that a client sees, by id.
func pieces(stream string) map[string][]string {
	found := map[string][]string{}
	for _, text := range strings.Split(stream, "\n\n") {
		id, data := "", ""
		for _, line := range strings.Split(text, "\n") {
			line = strings.TrimSuffix(line, "\r")
			if value, ok := strings.CutPrefix(line, "id: "); ok {
				id = value
			}
			if value, ok := strings.CutPrefix(line, "data: "); ok {
				data += value
			}
		}
		if id != "" {
			found[id] = append(found[id], data)
		}
	}
	return found
}

// wrongPieces returns the numbers of the pieces of a complete stream that are missing, wrong or there twice.
func wrongPieces(id, stream string) []int {
	var wrong []int
	found := pieces(stream)
	for k := 1; k <= holeEvents; k++ {
		data := found[strconv.Itoa(k)]
		if len(data) != 1 || data[0] != fmt.Sprintf("%s piece %d", id, k) {
			wrong = append(wrong, k)
		}
	}
	return wrong
}

// hole: two of four replicas lose some bytes in the middle of some of their answers.
func hole(rec *record) int {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	defer func() { _ = os.RemoveAll(dir) }()
	s, l := newStore(), newLedger()
	s.put("config", "main", config(7, map[string][]string{"t1": {"k1"}}))
	for i := range 4 {
		r := newReplica(fmt.Sprintf("lm-%d", i), "lm", fmt.Sprintf("z%d", i%2), 20*time.Millisecond, l)
		r.pause, r.events, r.dropsAtOnce = 10*time.Millisecond, holeEvents, true
		if i < 2 && trouble() {
			r.lose = losing(uint64(i) + 1)
		}
		s.put("servers", r.id, r.entry())
	}
	var routers []*router
	defer func() {
		for _, r := range routers {
			r.signal(syscall.SIGKILL)
			<-r.exited
		}
	}()
	for i := range 2 {
		r := newRouter(dir, fmt.Sprintf("edge-%d", i), fmt.Sprintf("z%d", i), s.address)
		r.start()
		routers = append(routers, r)
	}
	for _, r := range routers {
		if !r.awaitReady(10 * time.Second) {
			rec.line("router %s did not become ready", r.id)
			return 2
		}
	}
	time.Sleep(4 * time.Second) // stable_window_ms, and a second more
	var mu sync.Mutex
	asked, whole, spoiled, broken := 0, 0, 0, 0
	judge := func(id string, r result) {
		mu.Lock()
		defer mu.Unlock()
		asked++
		malformed := false
		runs := l.of(id)
		for _, x := range runs {
			malformed = malformed || !wellFormed(x.body)
		}
		complete := r.status == 200 && r.whole
		if complete {
			whole++
		}
		if malformed {
			spoiled++
			rec.line("%s: an answer was malformed; the client got status %d, whole %v", id, r.status, r.whole)
		}
		if wrong := wrongPieces(id, r.body); complete && len(wrong) > 0 {
			if malformed {
				broken++
			}
			rec.line("%s: complete, but pieces %v of 1 to %d are missing or wrong; malformed %v; the client got %q", id, wrong, holeEvents, malformed, r.body)
			for _, x := range runs {
				rec.line("%s: run %d at %s, Last-Event-Id %q, sent %q", id, x.n, x.replica, x.lastEvent, x.body)
			}
		}
	}
	var group sync.WaitGroup
	until := time.Now().Add(holeFor)
	for i := range holeClients {
		group.Go(func() {
			c := &client{}
			defer c.drop()
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("chat-%d-%d", i, n)
				r := c.send(routers[i%2].front, request{method: "POST", target: "/chat/2f", id: id, key: "k1", body: []byte("prompt"), deadline: 4 * time.Second})
				judge(id, r)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	rec.line("%d streams, %d complete; %d had a malformed answer, of which %d were complete with missing or wrong pieces", asked, whole, spoiled, broken)
	switch {
	case broken > 0:
		rec.line("rule broken: ORDER")
		return 1
	case whole == 0:
		rec.line("nothing was served")
		return 2
	}
	rec.line("rule held")
	return 0
}
