package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// ControlKey is the key of the control lease. Only its holder sends orders to endpoints.
const ControlKey = "leases/control"

// ColdKey returns the key of an endpoint's cold lease. While the endpoint is cold or
// warming, that is, until its caches are filled, only the holder of this lease grants
// work there.
func ColdKey(endpoint string) string {
	return coldPrefix + endpoint
}

const coldPrefix = "leases/cold/"

// ColdEndpoint returns the endpoint of a cold lease's key, and false for the key
// of another lease.
func ColdEndpoint(key string) (endpoint string, ok bool) {
	return strings.CutPrefix(key, coldPrefix)
}

// DefaultCallTimeout bounds one call to the object API. It is shorter than the time
// between two renewals at the default lifetime, so that after a call that hangs there is
// time left to renew the lease.
const DefaultCallTimeout = 1500 * time.Millisecond

// Manager acquires and renews the leases that one router wants. It is safe for
// concurrent use.
type Manager struct {
	store    objectstore.Store
	config   Config
	onChange func(key string, l Lease)
	onError  func(key string, err error)

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	closed bool
	loops  map[string]*electorLoop
}

// NewManager returns a manager without leases. onChange is called after each change of a
// lease. Before the write that releases a lease it is always called, so that the holder
// stops using the lease first. onError is called after each failed call to the
// object API. Both are called from the manager's goroutines, may be nil and must
// not call Close.
func NewManager(store objectstore.Store, config Config, onChange func(string, Lease), onError func(string, error)) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	if onChange == nil {
		onChange = func(string, Lease) {}
	}
	if onError == nil {
		onError = func(string, error) {}
	}
	return &Manager{
		store:    store,
		config:   config.withDefaults(),
		onChange: onChange,
		onError:  onError,
		ctx:      ctx,
		cancel:   cancel,
		loops:    map[string]*electorLoop{},
	}
}

// electorLoop runs the elector of one lease.
type electorLoop struct {
	manager *Manager
	key     string
	wake    chan struct{}

	mu      sync.Mutex
	elector *Elector
}

// Acquire starts to acquire the lease and keeps it renewed until Release. It does not
// wait for the lease, and does nothing after Close.
func (m *Manager) Acquire(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	if l, ok := m.loops[key]; ok {
		l.setWanted(true)
		return
	}
	config := m.config
	// The nonce is below 1<<63, so that renewals can count up from it without overflow.
	config.Nonce = rand.Uint64() >> 1
	l := &electorLoop{manager: m, key: key, wake: make(chan struct{}, 1), elector: NewElector(config)}
	l.elector.SetWanted(true)
	m.loops[key] = l
	m.wg.Go(l.run)
}

// Release releases the lease, which is not valid after this call. The object is updated
// in the background.
func (m *Manager) Release(key string) {
	m.mu.Lock()
	l := m.loops[key]
	m.mu.Unlock()
	if l != nil {
		l.setWanted(false)
	}
}

// Lease returns the lease's state, which is the zero Lease for a key that was not
// acquired.
func (m *Manager) Lease(key string) Lease {
	m.mu.Lock()
	l := m.loops[key]
	m.mu.Unlock()
	if l == nil {
		return Lease{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elector.Lease()
}

// Close releases all leases and waits until this is done or ctx ends. It returns ctx's
// error if ctx ended before all leases were released.
func (m *Manager) Close(ctx context.Context) error {
	m.mu.Lock()
	m.closed = true
	for _, l := range m.loops {
		l.setWanted(false)
	}
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, m.cancel)
	m.wg.Wait()
	m.cancel()
	if !stop() {
		return ctx.Err()
	}
	return nil
}

func (l *electorLoop) setWanted(wanted bool) {
	l.mu.Lock()
	l.elector.SetWanted(wanted)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *electorLoop) run() {
	var last Lease
	for l.manager.ctx.Err() == nil {
		action, lease := l.next()
		if lease != last {
			last = lease
			l.manager.onChange(l.key, lease)
		}
		switch action.Kind {
		case ActionWait:
			l.wait(time.Until(action.At))
		case ActionRead:
			l.read()
		case ActionWrite:
			l.write(action)
		case ActionStop:
			if l.stopIfUnwanted() {
				return
			}
		}
	}
}

func (l *electorLoop) next() (Action, Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	action := l.elector.Next(time.Now())
	return action, l.elector.Lease()
}

// stopIfUnwanted removes the loop from the manager and returns true, unless the
// lease is wanted again.
func (l *electorLoop) stopIfUnwanted() bool {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.elector.wanted {
		return false
	}
	delete(l.manager.loops, l.key)
	return true
}

func (l *electorLoop) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.wake:
	case <-l.manager.ctx.Done():
	}
}

func (l *electorLoop) read() {
	ctx, cancel := context.WithTimeout(l.manager.ctx, DefaultCallTimeout)
	defer cancel()
	object, err := l.manager.store.Get(ctx, l.key)
	var record api.LeaseRecord
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		object.Version, err = 0, nil
	case err == nil:
		err = cbor.Unmarshal(object.Value, &record)
	}
	if err != nil {
		l.manager.onError(l.key, fmt.Errorf("reading lease %s: %w", l.key, err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.elector.ReadFailed(time.Now())
		return
	}
	l.elector.ReadDone(time.Now(), record, object.Version)
}

func (l *electorLoop) write(action Action) {
	ctx, cancel := context.WithTimeout(l.manager.ctx, DefaultCallTimeout)
	defer cancel()
	var version uint64
	value, err := cbor.Marshal(action.Record)
	if err == nil {
		version, err = l.manager.store.Put(ctx, l.key, value, action.IfVersion)
	}
	if err != nil && !errors.Is(err, objectstore.ErrConflict) {
		l.manager.onError(l.key, fmt.Errorf("writing lease %s: %w", l.key, err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.elector.WriteDone(time.Now(), writeResult(err), version)
}

// writeResult returns the result of a Put. An error that objectstore.Store does
// not document is an unknown outcome.
func writeResult(err error) WriteResult {
	switch {
	case err == nil:
		return WriteSucceeded
	case errors.Is(err, objectstore.ErrConflict):
		return WriteConflict
	case errors.Is(err, objectstore.ErrUnavailable):
		return WriteNoEffect
	}
	return WriteUnknown
}
