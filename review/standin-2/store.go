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

// store is a stand-in for the platform's store, as PROTOCOL.md describes it: objects by kind and
// name, one revision counter, lists, watches, and writes under a condition.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []change
	changed  chan struct{} // closed at each change
	address  string
}

type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

func newStore() *store {
	s := &store{revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// put creates or replaces an object, as the operator or a replica does.
func (s *store) put(kind, name string, spec any) uint64 {
	encoded, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.objects[kind][name]
	if known == nil {
		known = &object{}
		known.Metadata.Name = name
		known.Metadata.Created = s.revision + 1
	}
	next := *known
	next.Spec = encoded
	s.record(kind, next, false)
	return s.revision
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.objects[kind][name]; known != nil {
		s.record(kind, *known, true)
	}
}

// record makes a change. Callers hold s.mu.
func (s *store) record(kind string, o object, deleted bool) {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = &o
	}
	s.history = append(s.history, change{kind, s.revision, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind := parts[0]
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		known := s.objects[kind][parts[1]]
		s.mu.Unlock()
		if known == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, known)
	default:
		s.write(w, r, kind, parts[1:])
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		events := []any{}
		s.mu.Lock()
		for _, c := range s.history {
			if c.kind == kind && c.revision > since {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
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

func (s *store) write(w http.ResponseWriter, r *http.Request, kind string, path []string) {
	var sent object
	_ = json.NewDecoder(r.Body).Decode(&sent)
	if text := r.URL.Query().Get("revision"); text != "" {
		sent.Metadata.Revision, _ = strconv.ParseUint(text, 10, 64)
	}
	name := sent.Metadata.Name
	if len(path) > 0 {
		name = path[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known != nil:
		answer(w, http.StatusConflict, known)
		return
	case r.Method != http.MethodPost && known == nil:
		answer(w, http.StatusNotFound, struct{}{})
		return
	case r.Method != http.MethodPost && sent.Metadata.Revision != 0 && sent.Metadata.Revision != known.Metadata.Revision:
		answer(w, http.StatusConflict, known)
		return
	}
	next := object{}
	if known != nil {
		next = *known
	} else {
		next.Metadata.Name, next.Metadata.Created = name, s.revision+1
	}
	switch {
	case r.Method == http.MethodDelete:
	case len(path) > 1 && path[1] == "status":
		next.Status = sent.Status
	default:
		next.Spec = sent.Spec
	}
	s.record(kind, next, r.Method == http.MethodDelete)
	next.Metadata.Revision = s.revision
	answer(w, http.StatusOK, next)
}

func answer(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
