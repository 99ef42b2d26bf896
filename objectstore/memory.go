package objectstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// Memory is an in-memory Store for tests and for the simulated platform of
// package standin.
type Memory struct {
	mu      sync.Mutex
	version uint64
	objects map[string]Object
	changed chan struct{}
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[string]Object{}, changed: make(chan struct{})}
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[key]
	if !ok || object.Deleted {
		return Object{}, ErrNotFound
	}
	return object, nil
}

// Put implements Store.
func (m *Memory) Put(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.liveVersion(key) != ifVersion {
		return 0, ErrConflict
	}
	stored := append([]byte(nil), value...)
	object := Object{Key: key, Value: stored, Created: m.version + 1}
	if known := m.objects[key]; ifVersion != 0 {
		object.Status, object.Created = known.Status, known.Created
	}
	return m.write(object), nil
}

// PutStatus replaces the status of an object whose version is still ifVersion and returns its new
// version. Errors: ErrNotFound, ErrConflict.
func (m *Memory) PutStatus(_ context.Context, key string, status []byte, ifVersion uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.liveVersion(key) {
	case 0:
		return 0, ErrNotFound
	case ifVersion:
		object := m.objects[key]
		object.Status = append([]byte(nil), status...)
		return m.write(object), nil
	default:
		return 0, ErrConflict
	}
}

// Delete implements Store.
func (m *Memory) Delete(_ context.Context, key string, ifVersion uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.liveVersion(key) {
	case 0:
		return ErrNotFound
	case ifVersion:
		m.write(Object{Key: key, Deleted: true})
		return nil
	default:
		return ErrConflict
	}
}

// List implements Store.
func (m *Memory) List(_ context.Context, prefix string) ([]Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) && !object.Deleted {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]Object, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, version, changed := m.changedSince(prefix, since)
		if len(found) > 0 {
			return found, version, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, since, ctx.Err()
		}
	}
}

func (m *Memory) changedSince(prefix string, since uint64) ([]Object, uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Object
	for key, object := range m.objects {
		if object.Version > since && strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
	return found, m.version, m.changed
}

// liveVersion returns the version of an object, or 0 if it does not exist or is
// deleted.
func (m *Memory) liveVersion(key string) uint64 {
	object := m.objects[key]
	if object.Deleted {
		return 0
	}
	return object.Version
}

func (m *Memory) write(object Object) uint64 {
	m.version++
	object.Version = m.version
	m.objects[object.Key] = object
	close(m.changed)
	m.changed = make(chan struct{})
	return m.version
}
