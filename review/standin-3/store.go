package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: objects by kind and name, one revision
// counter, lists, watches and conditional writes, as in PROTOCOL.md.
type store struct {
	address  string
	mu       sync.Mutex
	revision uint64
	objects  map[string]*object // by kind/name
	history  []change
	changed  chan struct{}
	busy     bool // answers 503 to all
	silent   bool // answers nothing
}

type object struct {
	kind, name        string
	revision, created uint64
	spec              json.RawMessage
}

type change struct {
	object  object
	deleted bool
}

func newStore() *store {
	s := &store{revision: 100, objects: map[string]*object{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

func (s *store) write(kind, name string, spec json.RawMessage) *object {
	s.revision++
	o := s.objects[kind+"/"+name]
	if o == nil {
		o = &object{kind: kind, name: name, created: s.revision}
		s.objects[kind+"/"+name] = o
	}
	o.spec, o.revision = spec, s.revision
	s.record(change{object: *o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) delete(kind, name string) {
	o := s.objects[kind+"/"+name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects, kind+"/"+name)
	gone := *o
	gone.revision = s.revision
	s.record(change{object: gone, deleted: true})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (o *object) wire() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": nil,
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	busy, silent := s.busy, s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		if o := s.objects[kind+"/"+name]; o != nil {
			answer(w, http.StatusOK, o.wire())
			return
		}
		answer(w, http.StatusNotFound, map[string]any{})
	default:
		s.change(w, r, kind, name, query.Get("revision"))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, o := range s.objects {
		if o.kind == kind && o.name > after {
			names = append(names, o.name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	items := []any{}
	for _, name := range names {
		items = append(items, s.objects[kind+"/"+name].wire())
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []any{}
		for i := range s.history {
			if c := &s.history[i]; c.object.kind == kind && c.object.revision > since {
				events = append(events, map[string]any{"object": c.object.wire(), "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name, revision string) {
	var sent struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&sent) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	condition := sent.Metadata.Revision
	if revision != "" {
		condition, _ = strconv.ParseUint(revision, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && o != nil, o != nil && condition != 0 && condition != o.revision:
		answer(w, http.StatusConflict, o.wire())
	case r.Method != http.MethodPost && o == nil:
		answer(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodDelete:
		gone := o.wire()
		s.delete(kind, name)
		answer(w, http.StatusOK, gone)
	default:
		answer(w, http.StatusOK, s.write(kind, name, sent.Spec).wire())
	}
}
