// Command standin plays the cases of the review: it starts the project's routers as processes
// and stands in for clients, replicas and the platform's store.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var start = time.Now()

// record is the file record.txt of a case.
type record struct {
	mu  sync.Mutex
	out *bufio.Writer
}

func (r *record) line(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", at.Sub(start).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) now(format string, values ...any) { r.line(time.Now(), format, values...) }

// result writes a line to the record and to standard output.
func (r *record) result(format string, values ...any) {
	r.now(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

func check(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

var cleanUp = func() {}

// cannotRun ends the case, which can't be played.
func cannotRun(format string, values ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", values...)
	cleanUp()
	os.Exit(2)
}

// scene is what a case plays in.
type scene struct {
	record  *record
	fleet   *fleet
	store   *store
	trouble bool            // whether the disruption is played
	relays  map[string]bool // the routers that watch the store for the others, by id
}

var cases = map[string]func(*scene) bool{
	"blind-routers": playBlindRouters,
	"cut-watch":     playCutWatch,
	"cut-relays":    playCutRelays,
	"odd-entry":     playOddEntry,
	"uploads":       playUploads,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: standin CASE FOLDER, in the root of the repository")
	}
	root, err := os.Getwd()
	check(err)
	if _, err := os.Stat(filepath.Join(root, "target", "hornbeamproxy")); err != nil {
		cannotRun("the router is not built: %v", err)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err)
	r := &record{out: bufio.NewWriter(file)}
	s := &scene{record: r, fleet: newFleet(root, r), store: newStore(r), trouble: os.Getenv("TROUBLE") != "0"}
	cleanUp = func() {
		s.fleet.stop()
		r.close()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("stopped by a signal")
	}()
	r.now("case %s, disruption %t", os.Args[1], s.trouble)
	broken := cases[os.Args[1]](s)
	if broken {
		r.result("the rule was broken")
	} else {
		r.result("the rule held")
	}
	cleanUp()
	if broken {
		os.Exit(1)
	}
}
