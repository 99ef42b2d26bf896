// Command standin-3 holds the stand-ins of the third review: the platform's store, servers and
// clients, and the scripts of its cases. It starts routers as separate processes.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, began: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// cases are the scripts by name. Each file of a case adds its own.
var cases = map[string]func(*record) int{}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE [RECORD]")
		os.Exit(2)
	}
	path := os.DevNull
	if len(os.Args) > 2 {
		path = os.Args[2]
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(play(newRecord(path)))
}
