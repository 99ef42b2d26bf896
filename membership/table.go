// Package membership keeps the gossip table of one router: which routers exist,
// which of them may own things, the load of the pools and the highest revision.
// It does no I/O and reads no clock.
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
	// SuspectIntervals without a new heartbeat make a router suspect.
	SuspectIntervals = 8
	// RemoveIntervals without a new heartbeat remove a router's entry.
	RemoveIntervals = 20

	// flapWindow is the time within which a further return doubles the damping.
	flapWindow = time.Minute
	// baseDamping is the time before a router owns again after its first return.
	baseDamping = time.Second
	// maxDamping bounds the doubling, so that a repaired router is used again.
	maxDamping = 2 * time.Minute

	// maxTombstones bounds the memory of removed routers. A fleet of 350 with
	// 77 replacements a day fills it in two weeks.
	maxTombstones = 1024
	// pauseIntervals without a round mean that this router itself was paused.
	pauseIntervals = 4
)

// Config of a Table. Zero limits mean the defaults.
type Config struct {
	ID, Address, Zone string
	Incarnation       uint64
	Fanout            int           // default 3
	MinInterval       time.Duration // default 200 ms
	BytesPerSecond    int           // gossip sent to all peers together; default 1500
	Seed              uint64        // of the random choices
}

// member is what this router knows of one router.
type member struct {
	id, address, zone string
	incarnation       uint64
	heartbeat         uint64
	heard             time.Time // local time of the last increase of heartbeat
	revision          uint64
	pools             []api.PoolCount
	loadHeartbeat     uint64 // heartbeat at which pools was valid
	loadHeard         time.Time
	leaving           bool

	suspect    bool
	localUntil time.Time // suspected by this router alone until then
	ownAfter   time.Time
	returned   time.Time
	damping    time.Duration

	key        uint32
	ambiguous  bool   // another router has the same key
	newsLeft   int    // messages that still carry the full entry
	unsent     bool   // the newest heartbeat was not passed on yet
	lastSent   uint64 // round that passed on a heartbeat
	loadSent   uint64 // round that passed on a load
	loadSentAt uint64 // heartbeat of that load
}

// tombstone keeps what is needed to tell old gossip about a removed router from
// its return.
type tombstone struct {
	id, address, zone string
	incarnation       uint64
	heartbeat         uint64
}

// Peer is a router that gossip is sent to. The id is empty for a seed address.
type Peer struct{ ID, Address string }

// Table is the gossip table. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	random   *rand.Rand
	self     *member
	members  map[string]*member // with self
	order    []*member          // members without self, by id
	index    map[uint32]*member // nil for an ambiguous key
	indexed  bool
	interval time.Duration

	tombstones map[string]tombstone
	tombOrder  []string
	tombKeys   map[uint32]uint64 // heartbeats of removed routers
	contacts   map[string]Peer   // by address

	revision   uint64
	revisionAt string

	owners        []string
	ownersVersion uint64
	ownersUntil   time.Time
	ownersDirty   bool
	// membersVersion changes whenever a router is added or removed.
	membersVersion uint64

	lastTick  time.Time
	regularAt time.Time
	urgentAt  time.Time // zero when no round is brought forward
	lastRound time.Time
	rumors    int // rounds still to be brought forward
	debt      int // bytes of urgent messages, taken from the next regular one
	rounds    uint64
	view      []*member
	viewPos   int
	rotate    int
	lastSync  time.Time
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
		incarnation: cfg.Incarnation, heartbeat: 1, heard: now, loadHeard: now,
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
	t.indexed = false
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

// Interval is the current time between rounds.
func (t *Table) Interval() time.Duration { return t.interval }

// Incarnation is the own incarnation, which rises when it is refuted.
func (t *Table) Incarnation() uint64 { return t.self.incarnation }

// Tick removes silent routers and updates suspicion. NextRound, Merge and Owners
// call it.
func (t *Table) Tick(now time.Time) {
	t.forgivePause(now)
	removed := false
	for _, m := range t.order {
		silent := now.Sub(m.heard)
		if silent > RemoveIntervals*t.interval {
			t.bury(m)
			removed = true
			continue
		}
		if !m.suspect && silent > SuspectIntervals*t.interval {
			m.suspect = true
			t.ownersDirty = true
		}
	}
	if removed {
		t.membersChanged()
	}
}

// forgivePause treats a long time without a call as a pause of this router. The
// others were not silent during it, so their silence is not counted.
func (t *Table) forgivePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	if gap > 0 {
		t.lastTick = now
	}
	if gap <= pauseIntervals*t.interval {
		return
	}
	for _, m := range t.order {
		m.heard = m.heard.Add(gap - t.interval)
		m.loadHeard = m.loadHeard.Add(gap - t.interval)
	}
	t.ownersDirty = true
}

func (t *Table) bury(m *member) {
	delete(t.members, m.id)
	if _, known := t.tombstones[m.id]; !known {
		t.tombOrder = append(t.tombOrder, m.id)
	}
	t.tombstones[m.id] = tombstone{
		id: m.id, address: m.address, zone: m.zone,
		incarnation: m.incarnation, heartbeat: m.heartbeat,
	}
	if len(t.tombOrder) > maxTombstones {
		delete(t.tombstones, t.tombOrder[0])
		t.tombOrder = t.tombOrder[1:]
	}
}

// buried says whether an entry is old gossip about a removed router. The router
// itself went on counting while it could not be heard, so that a heartbeat
// shortly above the buried one is not its own.
func (t *Table) buried(e *api.GossipEntry) bool {
	tomb, ok := t.tombstones[e.R]
	if !ok || e.I > tomb.incarnation {
		return false
	}
	return e.I < tomb.incarnation || e.H <= tomb.heartbeat+RemoveIntervals
}

// SetRevision sets the applied revision. It is never lowered.
func (t *Table) SetRevision(now time.Time, revision uint64) {
	if revision <= t.self.revision {
		return
	}
	t.self.revision = revision
	t.raiseRevision(now, revision, t.cfg.ID)
}

// raiseRevision brings the next round forward for a new revision.
func (t *Table) raiseRevision(now time.Time, revision uint64, at string) {
	if revision < t.revision || (revision == t.revision && t.known(t.revisionAt)) {
		return
	}
	if revision > t.revision {
		t.spread(now)
	}
	t.revision = revision
	t.revisionAt = at
}

func (t *Table) known(id string) bool {
	m, ok := t.members[id]
	return ok && !m.suspect
}

// SetPools sets the load of the endpoints that this router owns.
func (t *Table) SetPools(now time.Time, pools []api.PoolCount) {
	t.self.pools = slices.Clone(pools)
	t.self.loadHeard = now
}

// SetLeaving announces that this router leaves. It then owns nothing.
func (t *Table) SetLeaving(now time.Time) {
	if t.self.leaving {
		return
	}
	t.self.leaving = true
	t.self.newsLeft = newsCopies
	t.ownersDirty = true
	t.spread(now)
}

// HighestRevision returns the highest revision seen and a router that has it.
func (t *Table) HighestRevision() (revision uint64, at string) {
	return t.revision, t.revisionAt
}

// AddContact adds an address to which gossip is sent now and then while no live
// router is known there. The id is empty for a seed.
func (t *Table) AddContact(id, address string) {
	if address != t.cfg.Address && id != t.cfg.ID {
		t.contacts[address] = Peer{ID: id, Address: address}
	}
}

// DropContact removes an address added with AddContact.
func (t *Table) DropContact(address string) { delete(t.contacts, address) }

// SuspectLocally takes ownership from a router until the given time, in this
// router's view only.
func (t *Table) SuspectLocally(id string, until time.Time) {
	if m, ok := t.members[id]; ok && m != t.self && until.After(m.localUntil) {
		m.localUntil = until
		t.ownersDirty = true
	}
}

// ClearLocalSuspicion ends a local suspicion, for instance when a connection to
// the router is open again.
func (t *Table) ClearLocalSuspicion(id string) {
	if m, ok := t.members[id]; ok && !m.localUntil.IsZero() {
		m.localUntil = time.Time{}
		t.ownersDirty = true
	}
}

// Owners returns the ids of the routers that may own things, sorted, and a
// version that changes whenever the list does. The caller must not change the
// list. The call does not allocate while the list stays the same.
func (t *Table) Owners(now time.Time) (ids []string, version uint64) {
	t.Tick(now)
	if t.ownersDirty || !now.Before(t.ownersUntil) {
		t.computeOwners(now)
	}
	return t.owners, t.ownersVersion
}

// MembersVersion changes whenever a router is added or removed, also one that owns
// nothing yet.
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
		if after := latest(m.ownAfter, m.localUntil); now.Before(after) {
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

// PoolLoad is the load of one pool over all routers that are not suspect.
type PoolLoad struct {
	Ready, Inflight int
	Age             time.Duration // since the oldest part was received
	Routers         int           // that reported a part
}

// PoolLoad sums the parts of a pool.
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
		sum.Age = max(sum.Age, now.Sub(m.loadHeard))
	}
}

// Member describes one router for reports.
type Member struct {
	ID, Address, Zone      string
	Incarnation, Heartbeat uint64
	Revision               uint64
	Silent                 time.Duration
	Suspect, Leaving       bool
}

// Members lists all known routers with this one, by id.
func (t *Table) Members(now time.Time) []Member {
	list := make([]Member, 0, len(t.members))
	for _, m := range append([]*member{t.self}, t.order...) {
		list = append(list, Member{
			ID: m.id, Address: m.address, Zone: m.zone,
			Incarnation: m.incarnation, Heartbeat: m.heartbeat, Revision: m.revision,
			Silent: now.Sub(m.heard), Suspect: m.suspect || now.Before(m.localUntil), Leaving: m.leaving,
		})
	}
	list[0].Silent = 0
	slices.SortFunc(list, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return list
}

// Address returns where a router accepts peers, or "" if it is not known.
func (t *Table) Address(id string) string {
	if m, ok := t.members[id]; ok {
		return m.address
	}
	return ""
}
