package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// syncIntervals is the least number of intervals between two requests for a
// whole table, which is many times larger than a round's message.
const syncIntervals = 10

// maxNewsEntries is the number of entries above which a message is taken for a
// whole table. Its routers are known to others already and are not passed on.
const maxNewsEntries = 16

// Merge takes in a message of the router from. It reports whether the message
// speaks of routers that this table lacks, so that the whole table should be
// requested from the sender; it does so at most once in syncIntervals.
func (t *Table) Merge(now time.Time, from string, g *api.Gossip) (needSync bool) {
	t.Tick(now)
	whole := len(g.Entries) > maxNewsEntries
	for i := range g.Entries {
		e := &g.Entries[i]
		t.mergeEntry(now, e, !whole || e.R == from)
	}
	missing := t.mergeBeats(now, g.B)
	missing = t.mergeLoads(now, g) || missing
	if _, known := t.members[from]; !known {
		missing = true
	}
	if g.V > 0 {
		at := g.T
		if at == "" {
			at = from
		}
		t.raiseRevision(now, g.V, at)
	}
	if !missing || (!t.lastSync.IsZero() && now.Sub(t.lastSync) < syncIntervals*t.interval) {
		return false
	}
	t.lastSync = now
	return true
}

func (t *Table) mergeEntry(now time.Time, e *api.GossipEntry, news bool) {
	if e.R == "" || t.buried(e) {
		return
	}
	if e.R == t.cfg.ID {
		t.refute(now, e)
		return
	}
	m, known := t.members[e.R]
	if !known {
		t.add(now, e, news)
		return
	}
	if e.I < m.incarnation {
		return
	}
	if e.I > m.incarnation {
		t.restart(now, m, e)
		return
	}
	if e.L && !m.leaving {
		t.setLeaving(now, m)
	}
	if m.address == "" {
		m.address, m.zone = e.A, e.Z
	}
	if e.H > m.heartbeat {
		t.beat(now, m, e.H)
	}
	t.takeEntryLoad(now, m, e)
}

func (t *Table) setLeaving(now time.Time, m *member) {
	m.leaving = true
	m.newsLeft = newsCopies
	t.ownersDirty = true
	t.spread(now)
}

// refute raises the own incarnation above one that this process did not use:
// the entry is of an earlier process or was taken for dead or leaving.
func (t *Table) refute(now time.Time, e *api.GossipEntry) {
	if e.I < t.self.incarnation {
		return
	}
	falselyLeaving := e.L && !t.self.leaving
	if e.I == t.self.incarnation && e.H <= t.self.heartbeat && !falselyLeaving {
		return
	}
	t.raiseIncarnation(now, e.I+1)
}

func (t *Table) raiseIncarnation(now time.Time, incarnation uint64) {
	t.self.incarnation = incarnation
	t.self.newsLeft = newsCopies
	t.indexed = false
	t.spread(now)
}

func (t *Table) add(now time.Time, e *api.GossipEntry, news bool) {
	m := &member{id: e.R, address: e.A, zone: e.Z, incarnation: e.I, heartbeat: e.H, heard: now, unsent: true}
	t.takeEntryLoad(now, m, e)
	m.leaving = e.L
	if _, returned := t.tombstones[e.R]; returned {
		t.damp(now, m)
		delete(t.tombstones, e.R)
		t.tombOrder = slices.DeleteFunc(t.tombOrder, func(id string) bool { return id == e.R })
	}
	t.members[e.R] = m
	t.membersChanged()
	if news {
		m.newsLeft = newsCopies
	}
}

// restart takes in a new process of a known router.
func (t *Table) restart(now time.Time, m *member, e *api.GossipEntry) {
	m.incarnation = e.I
	m.heartbeat = e.H
	m.heard = now
	m.unsent = true
	m.leaving = e.L
	m.suspect = false
	m.pools, m.loadHeartbeat = nil, 0
	m.localUntil = time.Time{}
	if e.A != "" {
		m.address, m.zone = e.A, e.Z
	}
	m.newsLeft = newsCopies
	t.takeEntryLoad(now, m, e)
	t.damp(now, m)
	t.indexed = false
	t.ownersDirty = true
}

// beat takes in a higher heartbeat of the same incarnation.
func (t *Table) beat(now time.Time, m *member, heartbeat uint64) {
	m.heartbeat = heartbeat
	m.heard = now
	m.unsent = true
	if m.suspect {
		m.suspect = false
		t.damp(now, m)
		t.ownersDirty = true
	}
}

// damp delays the ownership of a router that returned.
func (t *Table) damp(now time.Time, m *member) {
	if !m.returned.IsZero() && now.Sub(m.returned) <= flapWindow {
		m.damping = min(2*m.damping, maxDamping)
	} else {
		m.damping = baseDamping
	}
	m.returned = now
	m.ownAfter = now.Add(m.damping)
}

// takeEntryLoad takes in the load of a full entry. Full entries leave out a load
// that is older than the heartbeat; an empty load is told by packed loads only.
func (t *Table) takeEntryLoad(now time.Time, m *member, e *api.GossipEntry) {
	if len(e.P) > 0 {
		t.takeLoad(now, m, e)
		return
	}
	t.takeRevision(now, m, e.V)
}

func (t *Table) takeRevision(now time.Time, m *member, revision uint64) {
	if revision > m.revision {
		m.revision = revision
		t.raiseRevision(now, revision, m.id)
	}
}

// takeLoad dates a load that is older than the newest heartbeat by the
// difference, because it waited at other routers.
func (t *Table) takeLoad(now time.Time, m *member, e *api.GossipEntry) {
	t.takeRevision(now, m, e.V)
	if e.H <= m.loadHeartbeat {
		return
	}
	m.pools = e.P
	m.loadHeartbeat = e.H
	m.loadHeard = now
	if m.heartbeat > e.H {
		m.loadHeard = now.Add(-time.Duration(m.heartbeat-e.H) * t.interval)
	}
}

// beatBytes is the size of one packed heartbeat.
const beatBytes = 5

// mergeBeats reports whether a heartbeat belongs to an unknown router.
func (t *Table) mergeBeats(now time.Time, packed []byte) (missing bool) {
	t.buildIndex()
	for ; len(packed) >= beatBytes; packed = packed[beatBytes:] {
		_, unknown := t.mergeBeat(now, packed)
		missing = missing || unknown
	}
	return missing
}

// mergeBeat returns the router of a packed heartbeat, or nil when it is this
// one, removed, ambiguous or unknown, and the heartbeat's full value.
func (t *Table) mergeBeat(now time.Time, packed []byte) (m *member, unknown bool) {
	key := uint32(packed[0])<<16 | uint32(packed[1])<<8 | uint32(packed[2])
	m, known := t.index[key]
	if !known {
		buried, removed := t.tombKeys[key]
		return nil, !removed || aheadBy(packed, buried) > RemoveIntervals
	}
	if m == nil {
		return nil, false
	}
	ahead := aheadBy(packed, m.heartbeat)
	if m == t.self {
		if ahead > 0 {
			t.raiseIncarnation(now, t.self.incarnation+1)
			t.buildIndex()
		}
		return nil, false
	}
	if ahead > 0 {
		t.beat(now, m, m.heartbeat+uint64(ahead))
	}
	return m, false
}

// aheadBy compares the low 16 bits of a packed heartbeat with a full one.
func aheadBy(packed []byte, heartbeat uint64) int16 {
	return int16(binary.BigEndian.Uint16(packed[3:beatBytes]) - uint16(heartbeat))
}

// maxPools bounds the pools that one load may list.
const maxPools = 256

// mergeLoads reports whether a load belongs to an unknown router. It stops at
// the first load that is not well formed.
func (t *Table) mergeLoads(now time.Time, g *api.Gossip) (missing bool) {
	packed := g.L
	for len(packed) > beatBytes {
		m, unknown := t.mergeBeat(now, packed)
		missing = missing || unknown
		head := packed
		entry, rest, ok := unpackLoad(g, packed[beatBytes:])
		if !ok {
			return missing
		}
		packed = rest
		if m == nil {
			continue
		}
		behind := aheadBy(head, m.heartbeat)
		entry.H = m.heartbeat + uint64(int64(behind))
		t.takeLoad(now, m, &entry)
	}
	return missing
}

func unpackLoad(g *api.Gossip, packed []byte) (entry api.GossipEntry, rest []byte, ok bool) {
	ok = true
	next := func() uint64 {
		value, size := binary.Uvarint(packed)
		if size <= 0 || value > 1<<40 {
			ok = false
			return 0
		}
		packed = packed[size:]
		return value
	}
	if behind := next(); behind <= g.V {
		entry.V = g.V - behind
	}
	pools := next()
	if pools > maxPools {
		return entry, nil, false
	}
	for range pools {
		name, ready, inflight := next(), next(), next()
		if !ok || name >= uint64(len(g.M)) {
			return entry, nil, false
		}
		entry.P = append(entry.P, api.PoolCount{M: g.M[name], N: int(ready), F: int(inflight)})
	}
	return entry, packed, ok
}
