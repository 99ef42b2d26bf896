package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// minSyncIntervals is the least number of intervals between two requests for a full
// table, which is many times larger than the message of a round.
const minSyncIntervals = 10

// maxIncrementalEntries is the number of entries above which a message is taken as a
// full table. The routers in a full table are already known to other routers, so their
// entries are not sent on in rounds.
const maxIncrementalEntries = 16

// Merge applies a gossip message from the given router. It returns true if this table
// lacks a router that the message refers to, or lacks the sender; the caller should then
// request the full table from the sender. It returns true at most once in
// minSyncIntervals gossip intervals.
func (t *Table) Merge(now time.Time, from string, g *api.Gossip) (needSync bool) {
	t.Tick(now)
	fullTable := len(g.Entries) > maxIncrementalEntries
	for i := range g.Entries {
		e := &g.Entries[i]
		t.mergeEntry(now, e, !fullTable || e.R == from)
	}
	missing := t.mergeHeartbeats(now, g.B)
	missing = t.mergeLoads(now, g) || missing
	if _, known := t.members[from]; !known {
		missing = true
	}
	if g.V > 0 {
		holder := g.T
		if holder == "" {
			holder = from
		}
		t.raiseRevision(now, g.V, holder)
	}
	if !missing || (!t.lastSync.IsZero() && now.Sub(t.lastSync) < minSyncIntervals*t.interval) {
		return false
	}
	t.lastSync = now
	return true
}

func (t *Table) mergeEntry(now time.Time, e *api.GossipEntry, forward bool) {
	if e.R == "" || t.isStale(e) {
		return
	}
	if e.R == t.cfg.ID {
		t.refute(now, e)
		return
	}
	m, known := t.members[e.R]
	if !known {
		t.addMember(now, e, forward)
		return
	}
	if e.I < m.incarnation {
		return
	}
	if e.I > m.incarnation {
		t.applyRestart(now, m, e)
		return
	}
	if e.L && !m.leaving {
		t.setLeaving(now, m)
	}
	if m.address == "" {
		m.address, m.zone = e.A, e.Z
	}
	if e.H > m.heartbeat {
		t.applyHeartbeat(now, m, e.H)
	}
	t.applyEntryLoad(now, m, e)
}

func (t *Table) setLeaving(now time.Time, m *member) {
	m.leaving = true
	m.entrySendsLeft = entrySends
	t.ownersDirty = true
	t.startUrgentRounds(now)
}

// refute raises this router's incarnation above that of an entry about this router
// which this process did not send. An earlier process sent such an entry, or the entry
// marks this router as leaving although it is not.
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
	t.self.entrySendsLeft = entrySends
	t.indexValid = false
	t.startUrgentRounds(now)
}

func (t *Table) addMember(now time.Time, e *api.GossipEntry, forward bool) {
	m := &member{id: e.R, address: e.A, zone: e.Z, incarnation: e.I, heartbeat: e.H, lastHeard: now, heartbeatUnsent: true}
	t.applyEntryLoad(now, m, e)
	m.leaving = e.L
	if _, returned := t.tombstones[e.R]; returned {
		t.damp(now, m)
		delete(t.tombstones, e.R)
		t.tombstoneOrder = slices.DeleteFunc(t.tombstoneOrder, func(id string) bool { return id == e.R })
	}
	t.members[e.R] = m
	t.membersChanged()
	if forward {
		m.entrySendsLeft = entrySends
	}
}

// applyRestart replaces the state of a known router by that of its new process.
func (t *Table) applyRestart(now time.Time, m *member, e *api.GossipEntry) {
	m.incarnation = e.I
	m.heartbeat = e.H
	m.lastHeard = now
	m.heartbeatUnsent = true
	m.leaving = e.L
	m.suspect = false
	m.pools, m.loadHeartbeat = nil, 0
	m.localSuspicionUntil = time.Time{}
	if e.A != "" {
		m.address, m.zone = e.A, e.Z
	}
	m.entrySendsLeft = entrySends
	t.applyEntryLoad(now, m, e)
	t.damp(now, m)
	t.indexValid = false
	t.ownersDirty = true
}

// applyHeartbeat records a higher heartbeat of the same incarnation and ends a
// suspicion.
func (t *Table) applyHeartbeat(now time.Time, m *member, heartbeat uint64) {
	m.heartbeat = heartbeat
	m.lastHeard = now
	m.heartbeatUnsent = true
	if m.suspect {
		m.suspect = false
		t.damp(now, m)
		t.ownersDirty = true
	}
}

// damp delays the time from which a returned router may own resources. The delay
// doubles with each return within flapWindow of the previous one, up to maxDamping.
func (t *Table) damp(now time.Time, m *member) {
	if !m.returnedAt.IsZero() && now.Sub(m.returnedAt) <= flapWindow {
		m.damping = min(2*m.damping, maxDamping)
	} else {
		m.damping = baseDamping
	}
	m.returnedAt = now
	m.ownAfter = now.Add(m.damping)
}

// applyEntryLoad applies the load of a full entry. A full entry omits a load that is
// older than the entry's heartbeat, so an entry without pools does not mean an empty
// load. Only a packed load conveys an empty one.
func (t *Table) applyEntryLoad(now time.Time, m *member, e *api.GossipEntry) {
	if len(e.P) > 0 {
		t.applyLoad(now, m, e)
		return
	}
	t.applyRevision(now, m, e.V)
}

func (t *Table) applyRevision(now time.Time, m *member, revision uint64) {
	if revision > m.revision {
		m.revision = revision
		t.raiseRevision(now, revision, m.id)
	}
}

// applyLoad applies a load unless a newer one is known. A load carries the heartbeat
// that its router had when it sent the load. If that heartbeat is below the router's
// newest one, the load was delayed at other routers. The load's time is then set back
// by one interval for each heartbeat of difference.
func (t *Table) applyLoad(now time.Time, m *member, e *api.GossipEntry) {
	t.applyRevision(now, m, e.V)
	if e.H <= m.loadHeartbeat {
		return
	}
	m.pools = e.P
	m.loadHeartbeat = e.H
	m.loadTime = now
	if m.heartbeat > e.H {
		m.loadTime = now.Add(-time.Duration(m.heartbeat-e.H) * t.interval)
	}
}

// heartbeatBytes is the size of one packed heartbeat: 3 bytes of key and the low 2
// bytes of the heartbeat.
const heartbeatBytes = 5

// mergeHeartbeats applies packed heartbeats. It reports whether one of them belongs
// to an unknown router.
func (t *Table) mergeHeartbeats(now time.Time, packed []byte) (missing bool) {
	t.buildIndex()
	for ; len(packed) >= heartbeatBytes; packed = packed[heartbeatBytes:] {
		_, unknown := t.mergeHeartbeat(now, packed)
		missing = missing || unknown
	}
	return missing
}

// mergeHeartbeat applies a packed heartbeat. It returns the router to which the
// heartbeat belongs, or nil if that router is this one, removed, ambiguous or unknown.
// The result unknown is true for an unknown router, and for a removed one that has
// returned. A heartbeat far above the one in the router's tombstone shows that it has
// returned.
func (t *Table) mergeHeartbeat(now time.Time, packed []byte) (m *member, unknown bool) {
	key := uint32(packed[0])<<16 | uint32(packed[1])<<8 | uint32(packed[2])
	m, known := t.index[key]
	if !known {
		lastHeartbeat, removed := t.tombstoneKeys[key]
		return nil, !removed || aheadBy(packed, lastHeartbeat) > RemoveIntervals
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
		t.applyHeartbeat(now, m, m.heartbeat+uint64(ahead))
	}
	return m, false
}

// aheadBy returns the packed heartbeat minus the full one, which is negative if the packed
// one is lower. It compares the low 16 bits.
func aheadBy(packed []byte, heartbeat uint64) int16 {
	return int16(binary.BigEndian.Uint16(packed[3:heartbeatBytes]) - uint16(heartbeat))
}

// maxPools bounds the number of pools in one packed load.
const maxPools = 256

// mergeLoads applies packed loads. It reports whether one of them belongs to an
// unknown router. It stops at the first malformed load.
func (t *Table) mergeLoads(now time.Time, g *api.Gossip) (missing bool) {
	packed := g.L
	for len(packed) > heartbeatBytes {
		m, unknown := t.mergeHeartbeat(now, packed)
		missing = missing || unknown
		heartbeat := packed
		entry, rest, ok := unpackLoad(g, packed[heartbeatBytes:])
		if !ok {
			return missing
		}
		packed = rest
		if m == nil {
			continue
		}
		ahead := aheadBy(heartbeat, m.heartbeat)
		entry.H = m.heartbeat + uint64(int64(ahead))
		t.applyLoad(now, m, &entry)
	}
	return missing
}

// unpackLoad decodes a packed load from the bytes after the load's heartbeat. It returns
// the bytes that follow the load, and false if the load is malformed.
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
