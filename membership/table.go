// Package membership keeps the gossip table of one router: the routers known to exist,
// those eligible to own resources, the load of the pools and the highest configuration
// revision. It does no I/O and reads no clock.
//
// A resource, such as an endpoint, is owned by one of the eligible routers; package
// placement determines which. A new process of a router gets a higher incarnation than
// the one before, and raises its heartbeat by one in each regular round of gossip. A
// router from which no new heartbeat arrives becomes suspect and may no longer own
// resources; later its entry is removed. A router returns when a new heartbeat arrives
// after a suspicion or a removal, or when a new process of it appears.
//
// A gossip message carries full entries of a few routers, and packed heartbeats and
// loads of many. The packed forms are binary, and name a router by its heartbeat key: a
// hash of its id and incarnation in 3 bytes.
package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	// SuspectIntervals is the number of gossip intervals without a new heartbeat
	// after which a router is suspect.
	SuspectIntervals = 8
	// RemoveIntervals is the number of gossip intervals without a new heartbeat
	// after which a router's entry is removed.
	RemoveIntervals = 20

	// flapWindow is the time after a router's return within which another return of
	// the same router doubles its damping.
	flapWindow = time.Minute
	// baseDamping is the damping after a return that no other return preceded within
	// flapWindow. The damping is the time from a return until the router may own
	// resources again.
	baseDamping = time.Second
	// maxDamping is the longest damping. With a bound, a repaired router becomes an
	// owner again.
	maxDamping = 2 * time.Minute

	// maxTombstones bounds the number of removed routers that are remembered. A
	// fleet of 350 with 77 replacements a day reaches it in two weeks.
	maxTombstones = 1024
	// pauseIntervals is a number of gossip intervals. If more than these pass between
	// two calls of Tick, this process itself is taken to have been paused.
	pauseIntervals = 4
)

// Config configures a Table. Zero limits mean the defaults.
type Config struct {
	ID, Address, Zone string
	Incarnation       uint64
	Fanout            int           // number of routers to which each round is sent; default 3
	MinInterval       time.Duration // least time between regular rounds; default 200 ms
	BytesPerSecond    int           // bound on the gossip sent to all peers together; default 1500
	Seed              uint64        // seeds the random choices
}

// member is what this router knows of one router.
type member struct {
	id, address, zone string
	incarnation       uint64
	heartbeat         uint64
	lastHeard         time.Time // local time of the last increase of heartbeat
	revision          uint64    // configuration revision that the router has applied
	pools             []api.PoolCount
	loadHeartbeat     uint64    // the router's heartbeat when it sent pools; 0 if no load is known
	loadTime          time.Time // estimated local time at which the router sent pools
	leaving           bool

	suspect             bool
	localSuspicionUntil time.Time     // end of a suspicion that only this router holds
	ownAfter            time.Time     // time before which the router may not own resources
	returnedAt          time.Time     // time of the last return after a suspicion, removal or restart
	damping             time.Duration // time from returnedAt to ownAfter; doubles if the router returns again within flapWindow

	key                uint32
	ambiguous          bool   // another router has the same heartbeat key
	entrySendsLeft     int    // number of further messages that carry the full entry
	heartbeatUnsent    bool   // the newest heartbeat has not been sent yet
	heartbeatSentRound uint64 // round in which a heartbeat was last sent
	loadSentRound      uint64 // round in which a load was last sent
	loadSentHeartbeat  uint64 // value of loadHeartbeat when this router last sent pools in a message
}

// tombstone is the last state of a removed router. It distinguishes stale gossip
// about the router from its return.
type tombstone struct {
	id, address, zone string
	incarnation       uint64
	heartbeat         uint64
}

// Peer is a router that receives gossip. The id is empty for a seed address.
type Peer struct{ ID, Address string }

// Table is the gossip table. It is not safe for concurrent use.
type Table struct {
	cfg        Config
	random     *rand.Rand
	self       *member
	members    map[string]*member // includes self
	order      []*member          // members without self, sorted by id
	index      map[uint32]*member // by heartbeat key; nil if several routers share the key
	indexValid bool
	interval   time.Duration // time between regular rounds

	tombstones     map[string]tombstone
	tombstoneOrder []string          // ids of removed routers, earliest removal first
	tombstoneKeys  map[uint32]uint64 // last heartbeats of removed routers, by heartbeat key
	contacts       map[string]Peer   // by address

	revision       uint64 // highest known configuration revision
	revisionHolder string // router that has applied it

	owners        []string
	ownersVersion uint64
	ownersUntil   time.Time // when owners must be computed again because a damping or a local suspicion ends
	ownersDirty   bool      // owners must be computed again at the next call of EligibleOwners
	// membersVersion changes whenever a router is added or removed.
	membersVersion uint64

	lastTick         time.Time
	regularAt        time.Time // when the next regular round is due
	urgentAt         time.Time // when the next urgent round is due; zero for none
	lastRound        time.Time
	urgentRoundsLeft int       // urgent rounds still to be sent
	debt             int       // bytes sent in urgent messages, by which the next regular messages must be smaller
	rounds           uint64    // regular rounds sent
	view             []*member // routers to gossip with; nil when it must be chosen again
	viewPos          int       // index in view of the next peer, modulo its length
	rotationPos      int       // last index in order taken in rotation; len(order) stands for self
	lastSync         time.Time // when Merge last returned true
}

// New returns a table that knows only its own router.
func New(now time.Time, cfg Config) *Table {
	if cfg.Fanout <= 0 {
		cfg.Fanout = 3
	}
	if cfg.MinInterval <= 0 {
		cfg.MinInterval = 200 * time.Millisecond
	}
	if cfg.BytesPerSecond <= 0 {
		cfg.BytesPerSecond = 1500
	}
	t := &Table{
		cfg:        cfg,
		random:     rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.ID))),
		members:    map[string]*member{},
		tombstones: map[string]tombstone{},
		contacts:   map[string]Peer{},
		lastTick:   now,
		regularAt:  now,
	}
	t.self = &member{
		id: cfg.ID, address: cfg.Address, zone: cfg.Zone,
		incarnation: cfg.Incarnation, heartbeat: 1, lastHeard: now, loadTime: now,
	}
	t.members[cfg.ID] = t.self
	t.membersChanged()
	return t
}

func (t *Table) membersChanged() {
	t.membersVersion++
	t.order = t.order[:0]
	for _, m := range t.members {
		if m != t.self {
			t.order = append(t.order, m)
		}
	}
	slices.SortFunc(t.order, func(a, b *member) int { return compareIDs(a.id, b.id) })
	t.interval = t.intervalFor(len(t.members))
	t.indexValid = false
	t.ownersDirty = true
	t.view = nil
}

func compareIDs(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// Interval returns the current time between regular rounds.
func (t *Table) Interval() time.Duration { return t.interval }

// Incarnation returns this router's incarnation. It rises when this router refutes
// gossip about itself.
func (t *Table) Incarnation() uint64 { return t.self.incarnation }

// Tick removes silent routers and updates suspicion. NextRound, Merge, FullTable
// and EligibleOwners call it.
func (t *Table) Tick(now time.Time) {
	t.discountPause(now)
	removed := false
	for _, m := range t.order {
		silentFor := now.Sub(m.lastHeard)
		if silentFor > RemoveIntervals*t.interval {
			t.removeMember(m)
			removed = true
			continue
		}
		if !m.suspect && silentFor > SuspectIntervals*t.interval {
			m.suspect = true
			t.ownersDirty = true
		}
	}
	if removed {
		t.membersChanged()
	}
}

// discountPause takes a long time without a call of Tick as a pause of this process.
// Gossip that the other routers sent meanwhile was not received, so the pause does not
// count towards their silence.
func (t *Table) discountPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	if gap > 0 {
		t.lastTick = now
	}
	if gap <= pauseIntervals*t.interval {
		return
	}
	for _, m := range t.order {
		m.lastHeard = m.lastHeard.Add(gap - t.interval)
		m.loadTime = m.loadTime.Add(gap - t.interval)
	}
	t.ownersDirty = true
}

func (t *Table) removeMember(m *member) {
	delete(t.members, m.id)
	if _, known := t.tombstones[m.id]; !known {
		t.tombstoneOrder = append(t.tombstoneOrder, m.id)
	}
	t.tombstones[m.id] = tombstone{
		id: m.id, address: m.address, zone: m.zone,
		incarnation: m.incarnation, heartbeat: m.heartbeat,
	}
	if len(t.tombstoneOrder) > maxTombstones {
		delete(t.tombstones, t.tombstoneOrder[0])
		t.tombstoneOrder = t.tombstoneOrder[1:]
	}
}

// isStale reports whether an entry is old gossip about a removed router. A live router
// keeps raising its heartbeat while the others do not receive it. By the time of its
// removal it has raised the heartbeat by RemoveIntervals, so a heartbeat that is at most
// that far above the heartbeat in the tombstone is old.
func (t *Table) isStale(e *api.GossipEntry) bool {
	tomb, ok := t.tombstones[e.R]
	if !ok || e.I > tomb.incarnation {
		return false
	}
	return e.I < tomb.incarnation || e.H <= tomb.heartbeat+RemoveIntervals
}

// SetRevision sets the configuration revision that this router has applied. A lower
// revision than the current one is ignored.
func (t *Table) SetRevision(now time.Time, revision uint64) {
	if revision <= t.self.revision {
		return
	}
	t.self.revision = revision
	t.raiseRevision(now, revision, t.cfg.ID)
}

// raiseRevision records the highest revision and a router that has applied it. A new
// revision starts urgent rounds.
func (t *Table) raiseRevision(now time.Time, revision uint64, holder string) {
	if revision < t.revision || (revision == t.revision && t.isLive(t.revisionHolder)) {
		return
	}
	if revision > t.revision {
		t.startUrgentRounds(now)
	}
	t.revision = revision
	t.revisionHolder = holder
}

func (t *Table) isLive(id string) bool {
	m, ok := t.members[id]
	return ok && !m.suspect
}

// SetPools sets the load of the endpoints that this router owns.
func (t *Table) SetPools(now time.Time, pools []api.PoolCount) {
	t.self.pools = slices.Clone(pools)
	t.self.loadTime = now
}

// SetLeaving announces that this router is leaving. It then owns no resources.
func (t *Table) SetLeaving(now time.Time) {
	if t.self.leaving {
		return
	}
	t.self.leaving = true
	t.self.entrySendsLeft = entrySends
	t.ownersDirty = true
	t.startUrgentRounds(now)
}

// HighestRevision returns the highest known configuration revision and the id of a
// router that has applied it.
func (t *Table) HighestRevision() (revision uint64, holder string) {
	return t.revision, t.revisionHolder
}

// AddContact adds an address to which gossip is sent every few rounds while no live
// router is known at that address. The id is empty for a seed.
func (t *Table) AddContact(id, address string) {
	if address != t.cfg.Address && id != t.cfg.ID {
		t.contacts[address] = Peer{ID: id, Address: address}
	}
}

// DropContact removes an address added with AddContact.
func (t *Table) DropContact(address string) { delete(t.contacts, address) }

// SuspectLocally excludes a router from the owners until the given time, in this
// router's view only.
func (t *Table) SuspectLocally(id string, until time.Time) {
	if m, ok := t.members[id]; ok && m != t.self && until.After(m.localSuspicionUntil) {
		m.localSuspicionUntil = until
		t.ownersDirty = true
	}
}

// ClearLocalSuspicion ends a local suspicion, for instance when a connection to
// the router is open again.
func (t *Table) ClearLocalSuspicion(id string) {
	if m, ok := t.members[id]; ok && !m.localSuspicionUntil.IsZero() {
		m.localSuspicionUntil = time.Time{}
		t.ownersDirty = true
	}
}

// EligibleOwners returns the sorted ids of the routers that may own resources, and a version
// that changes whenever the list does. The caller must not modify the list. The call
// does not allocate while the list stays the same.
func (t *Table) EligibleOwners(now time.Time) (ids []string, version uint64) {
	t.Tick(now)
	if t.ownersDirty || !now.Before(t.ownersUntil) {
		t.computeOwners(now)
	}
	return t.owners, t.ownersVersion
}

// MembersVersion returns a version that changes whenever a router is added or
// removed, also one that may not own resources yet.
func (t *Table) MembersVersion() uint64 { return t.membersVersion }

func (t *Table) computeOwners(now time.Time) {
	var ids []string
	t.ownersUntil = now.Add(time.Hour)
	if !t.self.leaving {
		ids = append(ids, t.cfg.ID)
	}
	for _, m := range t.order {
		if m.leaving || m.suspect {
			continue
		}
		if after := latest(m.ownAfter, m.localSuspicionUntil); now.Before(after) {
			t.ownersUntil = earliest(t.ownersUntil, after)
			continue
		}
		ids = append(ids, m.id)
	}
	sort.Strings(ids)
	t.ownersDirty = false
	if t.ownersVersion == 0 || !slices.Equal(ids, t.owners) {
		t.owners = ids
		t.ownersVersion++
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// PoolLoad is the load of one pool, summed over all routers that are not suspect.
type PoolLoad struct {
	Ready, Inflight int           // ready endpoints and requests in flight
	Age             time.Duration // age of the oldest load in the sum
	Routers         int           // number of routers that reported a load of the pool
}

// PoolLoad sums the loads that the routers report for a pool.
func (t *Table) PoolLoad(now time.Time, pool string) PoolLoad {
	var sum PoolLoad
	t.addPool(&sum, t.self, now, pool)
	for _, m := range t.order {
		if !m.suspect {
			t.addPool(&sum, m, now, pool)
		}
	}
	return sum
}

func (t *Table) addPool(sum *PoolLoad, m *member, now time.Time, pool string) {
	for _, part := range m.pools {
		if part.M != pool {
			continue
		}
		sum.Ready += part.N
		sum.Inflight += part.F
		sum.Routers++
		sum.Age = max(sum.Age, now.Sub(m.loadTime))
	}
}

// Member describes one router as this table knows it.
type Member struct {
	ID, Address, Zone      string
	Incarnation, Heartbeat uint64
	Revision               uint64        // configuration revision that the router has applied
	SilentFor              time.Duration // time without a new heartbeat; 0 for this router
	Suspect, Leaving       bool
}

// Members lists all known routers including this one, sorted by id.
func (t *Table) Members(now time.Time) []Member {
	list := make([]Member, 0, len(t.members))
	for _, m := range append([]*member{t.self}, t.order...) {
		list = append(list, Member{
			ID: m.id, Address: m.address, Zone: m.zone,
			Incarnation: m.incarnation, Heartbeat: m.heartbeat, Revision: m.revision,
			SilentFor: now.Sub(m.lastHeard), Suspect: m.suspect || now.Before(m.localSuspicionUntil), Leaving: m.leaving,
		})
	}
	list[0].SilentFor = 0
	slices.SortFunc(list, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return list
}

// Address returns the address at which a router accepts peers, or "" if it is not
// known.
func (t *Table) Address(id string) string {
	if m, ok := t.members[id]; ok {
		return m.address
	}
	return ""
}
