package notes

import (
	"context"
	"errors"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// fault is the failure injected into one call of the store.
type fault int

const (
	noFault fault = iota
	unavailable
	lostRequest  // an ambiguous write that never takes effect
	lostResponse // an ambiguous write that took effect
	delayedWrite // an ambiguous write that takes effect later
	staleRead
	faultKinds // number of the values above
)

type storeCall struct {
	run  func(fault)
	done chan struct{}
}

// scheduledStore runs the calls of several operators one at a time. The package rapid
// draws the order of the calls and their faults at random. scheduledStore records every
// value of each object.
type scheduledStore struct {
	memory        *objectstore.Memory
	calls         chan storeCall
	delayedWrites []func()
	history       map[string][]objectstore.Object
}

func newScheduledStore() *scheduledStore {
	return &scheduledStore{memory: objectstore.NewMemory(), calls: make(chan storeCall), history: map[string][]objectstore.Object{}}
}

// runOperators runs the operators to their end, each in a goroutine of its own.
func (s *scheduledStore) runOperators(t *rapid.T, operators []func()) {
	finished := make(chan struct{})
	for _, operator := range operators {
		go func() {
			operator()
			finished <- struct{}{}
		}()
	}
	running := len(operators)
	var waiting []storeCall
	for running > 0 {
		for len(waiting) < running {
			select {
			case call := <-s.calls:
				waiting = append(waiting, call)
			case <-finished:
				running--
			}
		}
		if running == 0 {
			break
		}
		if len(s.delayedWrites) > 0 && rapid.Bool().Draw(t, "late write") {
			s.runDelayedWrite(rapid.IntRange(0, len(s.delayedWrites)-1).Draw(t, "which"))
		}
		i := rapid.IntRange(0, len(waiting)-1).Draw(t, "operator")
		kind := noFault
		if rapid.IntRange(0, 2).Draw(t, "faulty") == 0 {
			kind = fault(rapid.IntRange(1, int(faultKinds)-1).Draw(t, "fault"))
		}
		call := waiting[i]
		waiting = append(waiting[:i], waiting[i+1:]...)
		call.run(kind)
		close(call.done)
	}
	for len(s.delayedWrites) > 0 {
		s.runDelayedWrite(0)
	}
}

func (s *scheduledStore) runDelayedWrite(i int) {
	write := s.delayedWrites[i]
	s.delayedWrites = append(s.delayedWrites[:i], s.delayedWrites[i+1:]...)
	write()
}

func (s *scheduledStore) schedule(run func(fault)) {
	call := storeCall{run: run, done: make(chan struct{})}
	s.calls <- call
	<-call.done
}

func (s *scheduledStore) Get(ctx context.Context, key string) (object objectstore.Object, err error) {
	s.schedule(func(f fault) {
		object, err = s.memory.Get(ctx, key)
		old := s.history[key]
		switch {
		case f == unavailable:
			object, err = objectstore.Object{}, objectstore.ErrUnavailable
		case f == staleRead && len(old) > 1:
			object, err = old[len(old)-2], nil
		case f == staleRead:
			object, err = objectstore.Object{}, objectstore.ErrNotFound
		}
	})
	return object, err
}

func (s *scheduledStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error) {
	write := func() {
		version, err = s.memory.Put(ctx, key, value, ifVersion)
		if err == nil {
			s.history[key] = append(s.history[key], objectstore.Object{Key: key, Version: version, Value: value})
		}
	}
	s.schedule(func(f fault) { err = s.write(f, write, &err) })
	if err != nil {
		return 0, err
	}
	return version, nil
}

func (s *scheduledStore) Delete(ctx context.Context, key string, ifVersion uint64) (err error) {
	s.schedule(func(f fault) {
		err = s.write(f, func() { err = s.memory.Delete(ctx, key, ifVersion) }, &err)
	})
	return err
}

func (s *scheduledStore) write(f fault, write func(), err *error) error {
	switch f {
	case unavailable:
		return objectstore.ErrUnavailable
	case lostRequest:
		return objectstore.ErrAmbiguous
	case lostResponse:
		write()
		return objectstore.ErrAmbiguous
	case delayedWrite:
		s.delayedWrites = append(s.delayedWrites, write)
		return objectstore.ErrAmbiguous
	default:
		write()
		return *err
	}
}

func (s *scheduledStore) List(ctx context.Context, prefix string) (objects []objectstore.Object, err error) {
	s.schedule(func(f fault) {
		objects, err = s.memory.List(ctx, prefix)
		if f == unavailable {
			objects, err = nil, objectstore.ErrUnavailable
		}
	})
	return objects, err
}

func (s *scheduledStore) Watch(context.Context, string, uint64, time.Duration) ([]objectstore.Object, uint64, error) {
	return nil, 0, errors.New("not used by an acceptor")
}
