package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// wireObject is an object in the JSON form of the store's API.
type wireObject struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision,omitempty"`
		Created  uint64 `json:"created,omitempty"` // revision at which the object was created
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

// toWire returns an object in the form of the store's API. For kinds with JSON values the
// spec is the value itself, or null if the object was deleted. For other kinds it is the
// value as a base64 string.
func (p *Platform) toWire(kind string, object objectstore.Object) wireObject {
	var o wireObject
	o.Metadata.Name = strings.TrimPrefix(object.Key, kindPrefix(kind))
	o.Metadata.Revision, o.Metadata.Created = object.Version, object.Created
	o.Status = object.Status
	p.mu.Lock()
	plain := p.jsonKinds[kind]
	p.mu.Unlock()
	if plain {
		o.Spec = object.Value
		if object.Deleted {
			o.Spec = json.RawMessage("null")
		}
		return o
	}
	o.Spec, _ = json.Marshal(append([]byte{}, object.Value...))
	return o
}

const (
	// topLevelKind is the kind of the objects whose key has no slash.
	topLevelKind  = "hornbeam"
	instancesKind = "instances"
	// maxPageItems is the largest number of objects in one page of a list.
	maxPageItems = 500
)

func kindPrefix(kind string) string {
	if kind == topLevelKind {
		return ""
	}
	return kind + "/"
}

// visibleObjects returns the objects of a kind in the order of their keys. It returns the
// state that reads see now, which is stale during PlatformFaults.StaleFor.
func (p *Platform) visibleObjects(kind string) []objectstore.Object {
	prefix := kindPrefix(kind)
	objects, _ := p.store.List(context.Background(), prefix)
	if stale := p.staleSnapshot(); stale != nil {
		objects = nil
		for _, key := range slices.Sorted(maps.Keys(stale)) {
			if strings.HasPrefix(key, prefix) {
				objects = append(objects, stale[key])
			}
		}
	}
	if kind == topLevelKind {
		objects = slices.DeleteFunc(objects, func(o objectstore.Object) bool { return strings.Contains(o.Key, "/") })
	}
	return objects
}

func (p *Platform) get(w http.ResponseWriter, kind, name string) {
	for _, object := range p.visibleObjects(kind) {
		if object.Key == kindPrefix(kind)+name {
			writeJSON(w, http.StatusOK, p.toWire(kind, object))
			return
		}
	}
	writeError(w, objectstore.ErrNotFound)
}

func (p *Platform) list(w http.ResponseWriter, kind, after string) {
	_, revision, _ := p.store.Watch(context.Background(), "", 0, 0)
	page := struct {
		Items    []wireObject `json:"items"`
		More     bool         `json:"more"`
		Revision uint64       `json:"store_revision"`
	}{Items: []wireObject{}, Revision: revision}
	for _, object := range p.visibleObjects(kind) {
		o := p.toWire(kind, object)
		if o.Metadata.Name <= after && after != "" {
			continue
		}
		if len(page.Items) == maxPageItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, o)
	}
	writeJSON(w, http.StatusOK, page)
}

type wireEvent struct {
	Object  wireObject `json:"object"`
	Deleted bool       `json:"deleted"`
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	since, err1 := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	compacted := p.compacted
	p.mu.Unlock()
	if since < compacted {
		http.Error(w, "history is gone", http.StatusGone)
		return
	}
	// The head of the response goes out at once, so that no client repeats a call that was cut off.
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func(cut <-chan struct{}) {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}(p.watchesCut(kind))
	objects, revision, err := p.store.Watch(ctx, kindPrefix(kind), since, time.Duration(wait)*time.Millisecond)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	response := struct {
		Events   []wireEvent `json:"events"`
		Revision uint64      `json:"store_revision"`
	}{Events: []wireEvent{}, Revision: revision}
	for _, object := range objects {
		if kind == topLevelKind && strings.Contains(object.Key, "/") {
			continue
		}
		response.Events = append(response.Events, wireEvent{Object: p.toWire(kind, object), Deleted: object.Deleted})
	}
	_ = json.NewEncoder(w).Encode(response)
}

// writeCall is a decoded write call.
type writeCall struct {
	method string
	key    string
	value  []byte
	// revision is the revision that the object must have; 0 means no condition.
	revision uint64
	// status is set if the call writes the status of the object, and value is that.
	status bool
}

func (p *Platform) readWriteCall(r *http.Request, kind, name string) (writeCall, error) {
	c := writeCall{method: r.Method, status: isStatusCall(r)}
	if r.Method == http.MethodDelete {
		c.key = kindPrefix(kind) + name
		if text := r.URL.Query().Get("revision"); text != "" {
			var err error
			c.revision, err = strconv.ParseUint(text, 10, 64)
			return c, err
		}
		return c, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 2*objectstore.MaxValueBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var object wireObject
	if err := json.Unmarshal(body, &object); err != nil {
		return c, err
	}
	c.key = kindPrefix(kind) + object.Metadata.Name
	c.revision = object.Metadata.Revision
	if c.status {
		c.value = object.Status
		return c, nil
	}
	c.value = object.Spec
	if len(object.Spec) > 0 && object.Spec[0] == '"' {
		return c, json.Unmarshal(object.Spec, &c.value)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jsonKinds[kind] = true
	return c, nil
}

// applyWrite applies a write and returns the new object. If the write fails or is a
// delete, it returns the object before the write.
func (p *Platform) applyWrite(c writeCall) (objectstore.Object, error) {
	ctx := context.Background()
	current, err := p.store.Get(ctx, c.key)
	condition := current.Version
	switch {
	case c.method == http.MethodPost:
		condition = 0
	case err != nil:
		return current, err
	case c.revision != 0:
		condition = c.revision
	}
	if c.method == http.MethodDelete {
		return current, p.store.Delete(ctx, c.key, condition)
	}
	if c.status {
		_, err = p.store.PutStatus(ctx, c.key, c.value, condition)
	} else {
		_, err = p.store.Put(ctx, c.key, c.value, condition)
	}
	if err != nil {
		return current, err
	}
	return p.store.Get(ctx, c.key)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	c, err := p.readWriteCall(r, kind, name)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lose, delay := p.nextWriteFault()
	if delay > 0 {
		time.AfterFunc(delay, func() { _, _ = p.applyWrite(c) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	object, err := p.applyWrite(c)
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case errors.Is(err, objectstore.ErrConflict):
		writeJSON(w, http.StatusConflict, p.toWire(kind, object))
	case err != nil:
		writeError(w, err)
	default:
		writeJSON(w, http.StatusOK, p.toWire(kind, object))
	}
}

// nextWriteFault returns the fault of the next write: either its response is lost, or the
// write takes effect after the delay. A delay of 0 means none.
func (p *Platform) nextWriteFault() (lose bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DelayWrites > 0 {
		p.faults.DelayWrites--
		return false, p.faults.WriteDelay
	}
	if p.faults.LoseResponses > 0 {
		p.faults.LoseResponses--
		return true, 0
	}
	return p.random.Float64() < p.faults.LoseProbability, 0
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, objectstore.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
