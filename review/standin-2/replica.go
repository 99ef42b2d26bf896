package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runReplica is a replica in a process of its own. It prints a line when it begins to work on a
// request and one when that work ends.
func runReplica(args []string) {
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	id := flags.String("id", "", "id of the instance")
	address := flags.String("address", "", "IP:PORT")
	first := flags.Duration("first", 100*time.Millisecond, "time until the first event")
	gap := flags.Duration("gap", 100*time.Millisecond, "time between events")
	events := flags.Int("events", 10, "events of a stream")
	work := flags.Duration("work", 15*time.Millisecond, "work on a request that is not a stream")
	drops := flags.Bool("drops", true, "whether work ends when its connection closes")
	backlog := flags.Int("backlog", 4, "length of the queue of new connections")
	must(flags.Parse(args))

	var out sync.Mutex
	say := func(format string, values ...any) {
		out.Lock()
		defer out.Unlock()
		fmt.Fprintf(os.Stdout, "at=%d "+format+"\n", append([]any{time.Now().UnixMilli()}, values...)...)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Request-Id", r.Header.Get("Request-Id"))
		h.Set("Server-Stamp", "stamp."+*id)
		h.Set("Keep-Alive", "timeout=1")
		if r.URL.Path == "/health" {
			h.Set("Instance", *id)
			return
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != *id {
			h.Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		request := r.Header.Get("Request-Id")
		say("run id=%s after=%s", request, r.Header.Get("Last-Event-Id"))
		if !strings.HasPrefix(r.URL.Path, "/chat/") {
			time.Sleep(*work)
			say("end id=%s", request)
			fmt.Fprintln(w, "done")
			return
		}
		h.Set("Content-Type", "text/event-stream")
		done, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		wait := *first
		for event := done + 1; event <= *events; event++ {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
				if *drops {
					say("dropped id=%s events=%d", request, event-1)
					return
				}
				time.Sleep(wait) // goes on with the work
			}
			wait = *gap
			fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", event, strings.Repeat("x", 40), event)
			w.(http.Flusher).Flush()
		}
		say("end id=%s events=%d", request, *events)
	})
	server := &http.Server{Handler: handler, IdleTimeout: 1500 * time.Millisecond}
	must(server.Serve(listenWithBacklog(*address, *backlog)))
}

// listenWithBacklog listens with a queue of the given length, as a server with few connections does.
func listenWithBacklog(address string, backlog int) net.Listener {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	must(err)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	must(err)
	must(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	bound := &syscall.SockaddrInet4{Port: tcp.Port}
	copy(bound.Addr[:], tcp.IP.To4())
	must(syscall.Bind(fd, bound))
	must(syscall.Listen(fd, backlog))
	file := os.NewFile(uintptr(fd), "listener")
	listener, err := net.FileListener(file)
	must(err)
	return listener
}
