package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small metadata store of the platform, as PROTOCOL.md describes it: objects by
// kind and name, one revision counter, lists and watches. It keeps its whole history.
type store struct {
	record *record

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object // by kind and name
	events   []event
	changed  chan struct{} // closed and replaced at each change
	watches  map[*watch]struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// watch is a watch that waits.
type watch struct {
	kind   string
	remote string // address of the connection
	cut    chan struct{}
}

const storeDelay = 4 * time.Millisecond // the answer time of the sheet

func newStore(r *record) *store {
	return &store{
		record: r, revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{}),
		watches: map[*watch]struct{}{},
	}
}

// serve starts the store on a free port and returns its address.
func (s *store) serve() string {
	listener := listenLoopback()
	go func() { _ = http.Serve(listener, s) }()
	return listener.Addr().String()
}

// put creates or replaces an object and returns the time of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	text, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, text)
	return time.Now()
}

// remove deletes an object and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
	return time.Now()
}

// set and drop change an object. Callers hold s.mu.
func (s *store) set(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	known := s.objects[kind][name]
	if known != nil && bytes.Equal(known.Spec, spec) {
		return known
	}
	s.revision++
	next := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if known != nil {
		next.Metadata.Created = known.Metadata.Created
	}
	s.objects[kind][name] = next
	s.tell(event{kind: kind, revision: s.revision, Object: *next})
	return next
}

func (s *store) drop(kind, name string) {
	known := s.objects[kind][name]
	if known == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	gone := *known
	gone.Metadata.Revision = s.revision
	s.tell(event{kind: kind, revision: s.revision, Object: gone, Deleted: true})
}

func (s *store) tell(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches cuts off the watches of a kind that are waiting now, and returns their number.
func (s *store) cutWatches(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	cut := 0
	for w := range s.watches {
		if w.kind == kind {
			close(w.cut)
			delete(s.watches, w)
			cut++
		}
	}
	return cut
}

// watchedBy reports whether a watch is waiting that came through a gate.
func (s *store) watchedBy(g *gate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		if g.sent(w.remote) {
			return true
		}
	}
	return false
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.serveWatch(w, r, kind)
		return
	}
	var body struct {
		Metadata metadata        `json:"metadata"`
		Spec     json.RawMessage `json:"spec"`
	}
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && name == "":
		items := []*object{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "store_revision": s.revision})
	case r.Method == http.MethodPost:
		if known := s.objects[kind][body.Metadata.Name]; known != nil {
			answer(w, http.StatusConflict, known)
			return
		}
		answer(w, http.StatusOK, s.set(kind, body.Metadata.Name, body.Spec))
	case s.objects[kind][name] == nil:
		answer(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, s.objects[kind][name])
	case r.Method == http.MethodPut:
		if known := s.objects[kind][name]; body.Metadata.Revision != 0 && body.Metadata.Revision != known.Metadata.Revision {
			answer(w, http.StatusConflict, known)
			return
		}
		answer(w, http.StatusOK, s.set(kind, name, body.Spec))
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		answer(w, http.StatusOK, map[string]any{})
	}
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	ends := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer ends.Stop()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush() // the head goes out at once, the body when there is something to tell
	waiting := &watch{kind: kind, remote: r.RemoteAddr, cut: make(chan struct{})}
	for expired := false; ; {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		if len(found) == 0 && !expired {
			s.watches[waiting] = struct{}{}
		} else {
			delete(s.watches, waiting)
		}
		s.mu.Unlock()
		if len(found) > 0 || expired {
			text, err := json.Marshal(map[string]any{"events": found, "store_revision": revision})
			check(err)
			_, _ = w.Write(text)
			return
		}
		select {
		case <-changed:
		case <-ends.C:
			expired = true
		case <-waiting.cut:
			panic(http.ErrAbortHandler) // closes the connection
		}
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// gate is a proxy between one router and the store. While it is shut it passes nothing on, as a
// partition does; it loses nothing.
type gate struct {
	address string

	mu     sync.Mutex
	opened chan struct{}   // closed while the gate is open
	locals map[string]bool // addresses of its connections to the store
}

func newGate(target string) *gate {
	listener := listenLoopback()
	g := &gate{address: listener.Addr().String(), opened: make(chan struct{}), locals: map[string]bool{}}
	close(g.opened)
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				g.wait()
				to, err := net.Dial("tcp", target)
				if err != nil {
					_ = from.Close()
					return
				}
				g.mu.Lock()
				g.locals[to.LocalAddr().String()] = true
				g.mu.Unlock()
				go g.pass(from, to)
				g.pass(to, from)
			}()
		}
	}()
	return g
}

// sent reports whether a connection of the gate comes from the address.
func (g *gate) sent(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.locals[address]
}

func (g *gate) wait() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
}

func (g *gate) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		g.wait()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
}

func listenLoopback() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return listener
}
