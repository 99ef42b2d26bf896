package overload

import (
	"sync"
	"sync/atomic"
	"time"
)

// State says what a caller's connection does.
type State int

// States of a connection.
const (
	Idle    State = iota // no byte of a request has arrived
	Reading              // the head of a request is arriving
	Waiting              // the caller is to send a body or to read a response
	Busy                 // a request is served
)

// Limits bound the connections of a listener.
type Limits struct {
	// Total and PerAddress are the largest numbers of connections, in all and from one address. 0
	// means no limit.
	Total, PerAddress int
	// StallAge is how long a connection may be in Reading, or in Waiting without enough progress,
	// before it may be closed for a new one.
	StallAge time.Duration
}

// ConnectionTable is the account of a listener's connections. It is safe for concurrent use.
type ConnectionTable struct {
	limits Limits

	mu        sync.Mutex
	nextID    uint64
	open      map[uint64]*connection
	byAddress map[string]int
}

type connection struct {
	address string
	state   State
	since   time.Time // when the state began
}

// NewConnectionTable returns an empty table.
func NewConnectionTable(limits Limits) *ConnectionTable {
	return &ConnectionTable{limits: limits, open: map[uint64]*connection{}, byAddress: map[string]int{}}
}

// Accept decides on a new connection from an address. If it is accepted, id identifies it and evicted
// are the ids of the connections to close for it, which the table no longer counts. Idle connections
// are closed first, the longest idle before the others, then those that are Reading, then those that
// are Waiting for longer than StallAge.
// If the address has reached its limit, only connections of that address are closed.
func (t *ConnectionTable) Accept(now time.Time, address string) (id uint64, evicted []uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits.PerAddress > 0 && t.byAddress[address] >= t.limits.PerAddress {
		victim, found := t.victim(now, address)
		if !found {
			return 0, nil, false
		}
		evicted = append(evicted, victim)
		t.remove(victim)
	}
	if t.limits.Total > 0 && len(t.open) >= t.limits.Total {
		victim, found := t.victim(now, "")
		if !found {
			return 0, evicted, false
		}
		evicted = append(evicted, victim)
		t.remove(victim)
	}
	t.nextID++
	t.open[t.nextID] = &connection{address: address, since: now}
	t.byAddress[address]++
	return t.nextID, evicted, true
}

// Evict removes the connection that would be closed for a new one, and returns false if there is
// none.
func (t *ConnectionTable) Evict(now time.Time) (id uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, ok = t.victim(now, "")
	if ok {
		t.remove(id)
	}
	return id, ok
}

// victim returns the connection to close for a new one; address restricts it unless it is empty.
// Callers hold t.mu.
func (t *ConnectionTable) victim(now time.Time, address string) (uint64, bool) {
	var found uint64
	var best *connection
	for id, c := range t.open {
		if address != "" && c.address != address || c.state == Busy {
			continue
		}
		if c.state != Idle && now.Sub(c.since) < t.limits.StallAge {
			continue
		}
		if best == nil || c.state < best.state || c.state == best.state && c.since.Before(best.since) {
			found, best = id, c
		}
	}
	return found, best != nil
}

// SetState records a connection's state. An id that is not in the table is ignored.
func (t *ConnectionTable) SetState(now time.Time, id uint64, state State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.open[id]; c != nil && c.state != state {
		c.state, c.since = state, now
	}
}

// RecordProgress begins the time in the connection's state anew.
func (t *ConnectionTable) RecordProgress(now time.Time, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.open[id]; c != nil {
		c.since = now
	}
}

// Remove records that a connection is closed. An id that is not in the table is ignored.
func (t *ConnectionTable) Remove(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(id)
}

func (t *ConnectionTable) remove(id uint64) {
	c := t.open[id]
	if c == nil {
		return
	}
	delete(t.open, id)
	if t.byAddress[c.address]--; t.byAddress[c.address] == 0 {
		delete(t.byAddress, c.address)
	}
}

// Count returns the number of connections.
func (t *ConnectionTable) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// Slots counts the connections to endpoints. It is safe for concurrent use.
type Slots struct {
	limit int64 // 0 means no limit
	used  atomic.Int64
}

// NewSlots returns a count with a limit; 0 or less is no limit.
func NewSlots(limit int) *Slots { return &Slots{limit: int64(max(limit, 0))} }

// Acquire takes a slot, and returns false if there is none.
func (s *Slots) Acquire() bool {
	if s.used.Add(1) > s.limit && s.limit > 0 {
		s.used.Add(-1)
		return false
	}
	return true
}

// Take takes a slot also if there is none.
func (s *Slots) Take() { s.used.Add(1) }

// Release returns a slot.
func (s *Slots) Release() { s.used.Add(-1) }

// Used returns the number of slots in use.
func (s *Slots) Used() int64 { return s.used.Load() }
