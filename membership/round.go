package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	// heartbeatShare and loadShare are the fractions of all routers whose heartbeats
	// and loads one message carries. Since the bytes per second are fixed, the two
	// fractions determine the interval: with larger fractions a round conveys more,
	// but the interval is longer.
	heartbeatShare = 0.75
	loadShare      = 0.2
	// loadBytes is the usual size of a packed load with two pools.
	loadBytes = heartbeatBytes + 8
	// loadBudgetFraction is the fraction of a message's byte budget that loads may
	// take.
	loadBudgetFraction = loadShare * loadBytes / (heartbeatShare*heartbeatBytes + loadShare*loadBytes)
	// messageBytes is the size of a message without entries. It includes the revision
	// and the WebSocket header.
	messageBytes = 44
	// entryShare is the fraction of a message's byte budget that full entries may take.
	entryShare = 0.35

	// viewSize is the number of routers to which one router sends gossip. It bounds
	// the connections that gossip keeps open.
	viewSize = 12
	// contactRounds is the number of rounds between two attempts to reach a removed
	// router or a seed. These attempts let partitions find each other again once the
	// network has healed.
	contactRounds = 8
	// urgentRoundDelay is the delay of an urgent round: a round that is sent before the
	// next regular one because an update must spread fast. Updates that arrive during
	// the delay share one message.
	urgentRoundDelay = 20 * time.Millisecond
	// minRoundGap is the least time between an urgent round and the round before it.
	minRoundGap = 100 * time.Millisecond
)

// intervalFor returns the interval between regular rounds at which a router in a fleet of
// n routers stays within its bytes per second.
func (t *Table) intervalFor(n int) time.Duration {
	size := messageBytes + float64(n)*(heartbeatShare*heartbeatBytes+loadShare*loadBytes)
	seconds := size * float64(t.cfg.Fanout) / float64(t.cfg.BytesPerSecond)
	return max(t.cfg.MinInterval, time.Duration(seconds*float64(time.Second)))
}

// messageBudget returns the largest size of one message of a round in bytes.
func (t *Table) messageBudget() int {
	return int(float64(t.cfg.BytesPerSecond) * t.interval.Seconds() / float64(t.cfg.Fanout))
}

// entrySends is the number of rounds in which each router sends a new or changed entry.
// Two rounds to three peers each reach nearly all routers; the rest receive heartbeats
// with unknown keys and request the full table. Sending an entry more often would
// displace heartbeats for many rounds after a mass restart.
const entrySends = 2

// urgentRounds is the number of urgent rounds for one update. With one round to three
// peers, about one router in twenty is missed and receives the update only in the
// regular rounds, which took 7.5 s with 350 routers.
const urgentRounds = 3

// startUrgentRounds schedules urgentRounds rounds before the next regular one.
func (t *Table) startUrgentRounds(now time.Time) {
	t.urgentRoundsLeft = urgentRounds
	t.scheduleUrgentRound(now)
}

// scheduleUrgentRound schedules one urgent round before the next regular round, unless an
// urgent round is scheduled already or the regular round is due first.
func (t *Table) scheduleUrgentRound(now time.Time) {
	at := latest(now.Add(urgentRoundDelay), t.lastRound.Add(minRoundGap))
	if t.urgentAt.IsZero() && at.Before(t.regularAt) {
		t.urgentAt = at
	}
}

// NextAt returns the time at which NextRound is due. Calls of Merge and of the setters
// may make it due earlier.
func (t *Table) NextAt() time.Time {
	if t.urgentAt.IsZero() {
		return t.regularAt
	}
	return earliest(t.urgentAt, t.regularAt)
}

// Round is a message and the routers to send it to.
type Round struct {
	Peers   []Peer
	Message api.Gossip
}

// NextRound returns the message to send now and its receivers. An urgent round
// carries only new and changed entries, so that it costs few bytes and does not delay
// the regular rounds.
func (t *Table) NextRound(now time.Time) Round {
	t.Tick(now)
	urgent := !t.urgentAt.IsZero() && now.Before(t.regularAt)
	t.urgentAt = time.Time{}
	t.lastRound = now
	if t.urgentRoundsLeft > 0 {
		t.urgentRoundsLeft--
	}
	if !urgent {
		jitter := time.Duration(t.random.Int64N(int64(t.interval/5) + 1))
		t.regularAt = now.Add(t.interval*9/10 + jitter)
		t.rounds++
		t.self.heartbeat++
		t.self.lastHeard = now
	}
	round := Round{Peers: t.nextPeers(), Message: t.message(now, urgent)}
	if t.urgentRoundsLeft > 0 {
		t.scheduleUrgentRound(now)
	}
	return round
}

func (t *Table) message(now time.Time, urgent bool) api.Gossip {
	t.buildIndex()
	g := t.emptyMessage()
	budget := t.messageBudget() - messageBytes
	if urgent {
		t.debt += messageBytes + t.addEntries(&g, int(float64(budget)*entryShare), urgent)
		return g
	}
	deducted := min(t.debt, budget/2)
	t.debt -= deducted
	budget -= deducted
	budget -= t.addEntries(&g, int(float64(budget)*entryShare), urgent)
	list := t.heartbeatOrder()
	budget -= t.addLoads(now, &g, list, int(float64(budget)*loadBudgetFraction))
	t.addHeartbeats(&g, list, budget)
	return g
}

func (t *Table) emptyMessage() api.Gossip {
	g := api.Gossip{V: t.revision}
	if t.revisionHolder != t.cfg.ID {
		g.T = t.revisionHolder
	}
	return g
}

// heartbeatOrder lists self first, then the routers whose newest heartbeat has not been
// sent yet, and then the others. Within each group, those that were sent longest ago
// come first. An order by the newest heartbeat alone would leave out the same routers
// in each round, because the rounds of all routers keep their offsets to one another.
// The routers left out would be suspected falsely.
func (t *Table) heartbeatOrder() []*member {
	list := make([]*member, 0, len(t.members))
	for _, m := range t.order {
		if !m.suspect {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int {
		if a.unsentRank() != b.unsentRank() {
			return b.unsentRank() - a.unsentRank()
		}
		if a.heartbeatSentRound != b.heartbeatSentRound {
			return cmp.Compare(a.heartbeatSentRound, b.heartbeatSentRound)
		}
		return b.lastHeard.Compare(a.lastHeard)
	})
	return slices.Insert(list, 0, t.self)
}

// addEntries adds full entries of routers that others may not know. If there are none,
// every fourth regular message carries the entry of one router, chosen in rotation, so
// that an entry that was lost with its messages arrives later. It returns the bytes used.
func (t *Table) addEntries(g *api.Gossip, budget int, urgent bool) int {
	used := 0
	add := func(m *member) bool {
		entry := t.entry(m)
		size := entrySize(&entry)
		if used > 0 && used+size > budget {
			return false
		}
		used += size
		g.Entries = append(g.Entries, entry)
		return true
	}
	if t.self.entrySendsLeft > 0 && add(t.self) {
		t.self.entrySendsLeft--
	}
	for _, m := range t.pendingEntries() {
		if !add(m) {
			break
		}
		m.entrySendsLeft--
	}
	if urgent || used > 0 || t.rounds%4 != 0 {
		return used
	}
	if m := t.nextInRotation(); m != nil {
		add(m)
	}
	return used
}

// pendingEntries lists the routers whose entries are still to be sent. Entries that have
// been sent least often come first.
func (t *Table) pendingEntries() []*member {
	var list []*member
	for _, m := range t.order {
		if m.entrySendsLeft > 0 && !m.suspect {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return b.entrySendsLeft - a.entrySendsLeft })
	return list
}

func (t *Table) nextInRotation() *member {
	if len(t.order) == 0 {
		return t.self
	}
	t.rotationPos = (t.rotationPos + 1) % (len(t.order) + 1)
	if t.rotationPos == len(t.order) {
		return t.self
	}
	if m := t.order[t.rotationPos]; !m.suspect {
		return m
	}
	return nil
}

func (t *Table) entry(m *member) api.GossipEntry {
	e := api.GossipEntry{
		R: m.id, A: m.address, Z: m.zone, I: m.incarnation, H: m.heartbeat, V: m.revision, L: m.leaving,
	}
	if m == t.self || m.loadHeartbeat == m.heartbeat {
		e.P = m.pools
	}
	return e
}

func entrySize(e *api.GossipEntry) int {
	data, err := cbor.Marshal(e)
	if err != nil {
		return 0
	}
	return len(data)
}

// FullTable returns the full table: a message with the entries of all routers that are
// not suspect. It is sent to a router that joins or lacks entries.
func (t *Table) FullTable(now time.Time) api.Gossip {
	t.Tick(now)
	g := t.emptyMessage()
	g.Entries = append(g.Entries, t.entry(t.self))
	for _, m := range t.order {
		if !m.suspect {
			g.Entries = append(g.Entries, t.entry(m))
		}
	}
	return g
}

// addLoads packs this router's load and then the loads of the others, as many as the
// budget in bytes allows. Those that were sent longest ago come first. It returns the
// bytes used.
func (t *Table) addLoads(now time.Time, g *api.Gossip, list []*member, budget int) int {
	t.self.loadHeartbeat = t.self.heartbeat
	t.self.loadTime = now
	list = slices.Clone(list)
	slices.SortStableFunc(list[1:], func(a, b *member) int { return cmp.Compare(a.loadSentRound, b.loadSentRound) })
	names := map[string]int{}
	for _, m := range list {
		if m.ambiguous || m.loadHeartbeat == 0 || (m.loadHeartbeat == m.loadSentHeartbeat && m != t.self) {
			continue
		}
		before, pools := len(g.L), len(g.M)
		g.L = appendLoad(g, m, names)
		if loadSize(g) > budget && before > 0 {
			g.L, g.M = g.L[:before], g.M[:pools]
			break
		}
		m.loadSentRound = t.rounds
		m.loadSentHeartbeat = m.loadHeartbeat
	}
	return loadSize(g)
}

func loadSize(g *api.Gossip) int {
	size := len(g.L)
	for _, name := range g.M {
		size += len(name) + 1
	}
	return size
}

func appendLoad(g *api.Gossip, m *member, names map[string]int) []byte {
	packed := appendHeartbeat(g.L, m.key, m.loadHeartbeat)
	packed = binary.AppendUvarint(packed, g.V-min(m.revision, g.V))
	packed = binary.AppendUvarint(packed, uint64(min(len(m.pools), maxPools)))
	for _, part := range m.pools[:min(len(m.pools), maxPools)] {
		name, ok := names[part.M]
		if !ok {
			name = len(g.M)
			names[part.M] = name
			g.M = append(g.M, part.M)
		}
		packed = binary.AppendUvarint(packed, uint64(name))
		packed = binary.AppendUvarint(packed, uint64(max(part.N, 0)))
		packed = binary.AppendUvarint(packed, uint64(max(part.F, 0)))
	}
	return packed
}

func (t *Table) addHeartbeats(g *api.Gossip, list []*member, budget int) {
	for _, m := range list {
		if len(g.B)+heartbeatBytes > budget {
			return
		}
		if m.ambiguous {
			continue
		}
		g.B = appendHeartbeat(g.B, m.key, m.heartbeat)
		m.heartbeatUnsent = false
		m.heartbeatSentRound = t.rounds
	}
}

// unsentRank returns 1 when the newest heartbeat has not been sent yet, and 0
// otherwise.
func (m *member) unsentRank() int {
	if m.heartbeatUnsent {
		return 1
	}
	return 0
}

func appendHeartbeat(to []byte, key uint32, heartbeat uint64) []byte {
	to = append(to, byte(key>>16), byte(key>>8), byte(key))
	return binary.BigEndian.AppendUint16(to, uint16(heartbeat))
}

const keyMask = 1<<24 - 1

func keyOf(id string, incarnation uint64) uint32 {
	var salt [8]byte
	binary.BigEndian.PutUint64(salt[:], incarnation)
	return uint32(xxhash.Sum64String(id)^xxhash.Sum64(salt[:])) & keyMask
}

// buildIndex maps the keys of packed heartbeats to routers. Routers that share a key
// are ambiguous; they are updated by their full entries only.
func (t *Table) buildIndex() {
	if t.indexValid {
		return
	}
	t.indexValid = true
	t.index = make(map[uint32]*member, len(t.members))
	first := map[uint32]*member{}
	for _, m := range t.members {
		m.key = keyOf(m.id, m.incarnation)
		other, taken := first[m.key]
		m.ambiguous = taken
		if taken {
			other.ambiguous = true
			t.index[m.key] = nil
			continue
		}
		first[m.key] = m
		t.index[m.key] = m
	}
	t.tombstoneKeys = make(map[uint32]uint64, len(t.tombstones))
	for _, tomb := range t.tombstones {
		t.tombstoneKeys[keyOf(tomb.id, tomb.incarnation)] = tomb.heartbeat
	}
}

// nextPeers returns the next Fanout routers of the view that are not suspect. Every
// contactRounds rounds, or when the view has no such router, the router that
// randomContact picks takes the last place.
func (t *Table) nextPeers() []Peer {
	t.refreshView()
	var peers []Peer
	for tried := 0; tried < len(t.view) && len(peers) < t.cfg.Fanout; tried++ {
		m := t.view[t.viewPos%len(t.view)]
		t.viewPos++
		if !m.suspect {
			peers = append(peers, Peer{ID: m.id, Address: m.address})
		}
	}
	if len(peers) > 0 && t.rounds%contactRounds != 0 {
		return peers
	}
	if contact, ok := t.randomContact(); ok {
		peers = append(peers[:min(len(peers), t.cfg.Fanout-1)], contact)
	}
	return peers
}

// randomContact picks a suspect router, a removed router, or an address added with
// AddContact. A removed router or added address is left out if a live router is known
// at the same address.
func (t *Table) randomContact() (Peer, bool) {
	live := make(map[string]bool, len(t.members))
	for _, m := range t.members {
		live[m.address] = !m.suspect
	}
	var list []Peer
	for address, contact := range t.contacts {
		if !live[address] {
			list = append(list, contact)
		}
	}
	for _, id := range t.tombstoneOrder {
		if tomb := t.tombstones[id]; !live[tomb.address] && tomb.address != "" {
			list = append(list, Peer{ID: id, Address: tomb.address})
		}
	}
	for _, m := range t.order {
		if m.suspect && m.address != "" {
			list = append(list, Peer{ID: m.id, Address: m.address})
		}
	}
	if len(list) == 0 {
		return Peer{}, false
	}
	slices.SortFunc(list, func(a, b Peer) int { return compareIDs(a.Address, b.Address) })
	return list[t.random.IntN(len(list))], true
}

// refreshView chooses the routers to gossip with: half of them from this router's zone,
// the others from the other zones in turn, so that zones and regions stay connected. For
// each place in the view a different hash ring is used, and the router chosen is this
// router's successor on that ring. Every router is thereby in about equally many views.
// With random choices some routers would be in few views and receive too little gossip.
// Some heartbeats would reach them later than within SuspectIntervals, so they would
// suspect live routers.
func (t *Table) refreshView() {
	if t.view != nil {
		return
	}
	zones := map[string][]*member{}
	var names []string
	for _, m := range t.order {
		if m.address == "" {
			continue
		}
		if len(zones[m.zone]) == 0 && m.zone != t.cfg.Zone {
			names = append(names, m.zone)
		}
		zones[m.zone] = append(zones[m.zone], m)
	}
	slices.Sort(names)
	own := zones[t.cfg.Zone]
	nearSize := min(len(own), viewSize/2)
	if len(names) == 0 {
		nearSize = min(len(own), viewSize)
	}
	taken := map[*member]bool{}
	var near, far []*member
	for ring := range nearSize {
		near = append(near, t.successor(own, ring, taken)...)
	}
	for ring := 0; len(names) > 0 && ring < max(viewSize-nearSize, len(names)); ring++ {
		far = append(far, t.successor(zones[names[ring%len(names)]], ring, taken)...)
	}
	t.view = interleave(near, far)
}

// successor returns the router of the list that follows this router on a hash ring and is
// not taken yet, as a list of one, and marks it as taken. It returns nil when all routers
// are taken.
func (t *Table) successor(list []*member, ring int, taken map[*member]bool) []*member {
	salt := string(binary.AppendUvarint(nil, uint64(ring)))
	own := xxhash.Sum64String(t.cfg.ID + salt)
	var next *member
	var distance uint64
	for _, m := range list {
		d := xxhash.Sum64String(m.id+salt) - own
		if !taken[m] && (next == nil || d < distance) {
			next, distance = m, d
		}
	}
	if next == nil {
		return nil
	}
	taken[next] = true
	return []*member{next}
}

func interleave(a, b []*member) []*member {
	view := make([]*member, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			view = append(view, a[i])
		}
		if i < len(b) {
			view = append(view, b[i])
		}
	}
	return view
}
