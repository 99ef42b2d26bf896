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

// Shares of the table that one message carries. They set the interval, since
// the bytes per second are fixed: a larger share spreads further in one round
// and lengthens the interval.
const (
	beatShare = 0.75
	loadShare = 0.2
	// loadBytes is the usual size of a packed load with two pools.
	loadBytes = beatBytes + 8
	loadPart  = loadShare * loadBytes / (beatShare*beatBytes + loadShare*loadBytes)
	// messageBytes is the size of a message without entries, with the revision
	// and the WebSocket header.
	messageBytes = 44
	// newsShare is the part of a message that full entries may take.
	newsShare = 0.35

	// viewSize is the number of routers that one router gossips with. It bounds
	// the connections that gossip keeps open.
	viewSize = 12
	// contactRounds is the number of rounds between attempts to reach a
	// removed router or a seed, so that partitions meet again.
	contactRounds = 8
	// hurryDelay collects news that arrive together.
	hurryDelay = 20 * time.Millisecond
	// maxHurry is the least time between two rounds.
	maxHurry = 100 * time.Millisecond
)

// intervalFor returns the interval at which a fleet of n stays in the budget.
func (t *Table) intervalFor(n int) time.Duration {
	size := messageBytes + float64(n)*(beatShare*beatBytes+loadShare*loadBytes)
	seconds := size * float64(t.cfg.Fanout) / float64(t.cfg.BytesPerSecond)
	return max(t.cfg.MinInterval, time.Duration(seconds*float64(time.Second)))
}

// messageBudget is the size that one message of a round may have.
func (t *Table) messageBudget() int {
	return int(float64(t.cfg.BytesPerSecond) * t.interval.Seconds() / float64(t.cfg.Fanout))
}

// newsCopies is the number of rounds in which each router passes on the news of
// another. Two rounds to three routers each reach nearly all; the rest see
// heartbeats that they cannot assign and request the whole table. More copies
// crowd out heartbeats for many rounds after a mass restart.
const newsCopies = 2

// rumorRounds is the number of rounds brought forward for one piece of urgent
// news. With one round to three routers, about one router in twenty is left out
// and learns only from the regular rounds, which took 7.5 s with 350 routers.
const rumorRounds = 3

// spread asks for rounds of news before the regular one.
func (t *Table) spread(now time.Time) {
	t.rumors = rumorRounds
	t.hurry(now)
}

// hurry asks for a round of news before the regular one.
func (t *Table) hurry(now time.Time) {
	at := latest(now.Add(hurryDelay), t.lastRound.Add(maxHurry))
	if t.urgentAt.IsZero() && at.Before(t.regularAt) {
		t.urgentAt = at
	}
}

// NextAt is when NextRound is due. Merge and the setters may bring it forward.
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

// NextRound returns what to send now. A round that was brought forward carries
// only news, so that it costs few bytes and the regular rounds keep their pace.
func (t *Table) NextRound(now time.Time) Round {
	t.Tick(now)
	urgent := !t.urgentAt.IsZero() && now.Before(t.regularAt)
	t.urgentAt = time.Time{}
	t.lastRound = now
	if t.rumors > 0 {
		t.rumors--
	}
	if !urgent {
		jitter := time.Duration(t.random.Int64N(int64(t.interval/5) + 1))
		t.regularAt = now.Add(t.interval*9/10 + jitter)
		t.rounds++
		t.self.heartbeat++
		t.self.heard = now
	}
	round := Round{Peers: t.nextPeers(), Message: t.message(now, urgent)}
	if t.rumors > 0 {
		t.hurry(now)
	}
	return round
}

func (t *Table) message(now time.Time, urgent bool) api.Gossip {
	t.buildIndex()
	g := t.emptyMessage()
	budget := t.messageBudget() - messageBytes
	if urgent {
		t.debt += messageBytes + t.addNews(&g, int(float64(budget)*newsShare), urgent)
		return g
	}
	repaid := min(t.debt, budget/2)
	t.debt -= repaid
	budget -= repaid
	budget -= t.addNews(&g, int(float64(budget)*newsShare), urgent)
	list := t.freshest()
	budget -= t.addLoads(now, &g, list, int(float64(budget)*loadPart))
	t.addBeats(&g, list, budget)
	return g
}

func (t *Table) emptyMessage() api.Gossip {
	g := api.Gossip{V: t.revision}
	if t.revisionAt != t.cfg.ID {
		g.T = t.revisionAt
	}
	return g
}

// freshest lists self first, then the routers whose newest heartbeat was not
// passed on yet, and among them those that waited longest. Ordering by the
// newest alone would pass over the same routers in each round, because rounds
// keep their phase, and those routers would be suspected falsely.
func (t *Table) freshest() []*member {
	list := make([]*member, 0, len(t.members))
	for _, m := range t.order {
		if !m.suspect {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int {
		if a.news() != b.news() {
			return b.news() - a.news()
		}
		if a.lastSent != b.lastSent {
			return cmp.Compare(a.lastSent, b.lastSent)
		}
		return b.heard.Compare(a.heard)
	})
	return slices.Insert(list, 0, t.self)
}

// addNews adds full entries of routers that others may not know, and one entry
// in turn, so that lost news arrive later. It returns the bytes used.
func (t *Table) addNews(g *api.Gossip, budget int, urgent bool) int {
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
	if t.self.newsLeft > 0 && add(t.self) {
		t.self.newsLeft--
	}
	for _, m := range t.newsOrder() {
		if !add(m) {
			break
		}
		m.newsLeft--
	}
	if urgent || used > 0 || t.rounds%4 != 0 {
		return used
	}
	if m := t.nextInTurn(); m != nil {
		add(m)
	}
	return used
}

// newsOrder lists the routers with news, the least spread first.
func (t *Table) newsOrder() []*member {
	var list []*member
	for _, m := range t.order {
		if m.newsLeft > 0 && !m.suspect {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return b.newsLeft - a.newsLeft })
	return list
}

func (t *Table) nextInTurn() *member {
	if len(t.order) == 0 {
		return t.self
	}
	t.rotate = (t.rotate + 1) % (len(t.order) + 1)
	if t.rotate == len(t.order) {
		return t.self
	}
	if m := t.order[t.rotate]; !m.suspect {
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

// Full returns all entries, for a router that joins or lacks many.
func (t *Table) Full(now time.Time) api.Gossip {
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

// addLoads packs the own load and those of the others that waited longest.
func (t *Table) addLoads(now time.Time, g *api.Gossip, list []*member, budget int) int {
	t.self.loadHeartbeat = t.self.heartbeat
	t.self.loadHeard = now
	list = slices.Clone(list)
	slices.SortStableFunc(list[1:], func(a, b *member) int { return cmp.Compare(a.loadSent, b.loadSent) })
	names := map[string]int{}
	for _, m := range list {
		if m.ambiguous || m.loadHeartbeat == 0 || (m.loadHeartbeat == m.loadSentAt && m != t.self) {
			continue
		}
		before, pools := len(g.L), len(g.M)
		g.L = appendLoad(g, m, names)
		if loadSize(g) > budget && before > 0 {
			g.L, g.M = g.L[:before], g.M[:pools]
			break
		}
		m.loadSent = t.rounds
		m.loadSentAt = m.loadHeartbeat
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
	packed := appendBeat(g.L, m.key, m.loadHeartbeat)
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

func (t *Table) addBeats(g *api.Gossip, list []*member, budget int) {
	for _, m := range list {
		if len(g.B)+beatBytes > budget {
			return
		}
		if m.ambiguous {
			continue
		}
		g.B = appendBeat(g.B, m.key, m.heartbeat)
		m.unsent = false
		m.lastSent = t.rounds
	}
}

// news is 1 when the newest heartbeat was not passed on yet.
func (m *member) news() int {
	if m.unsent {
		return 1
	}
	return 0
}

func appendBeat(to []byte, key uint32, heartbeat uint64) []byte {
	to = append(to, byte(key>>16), byte(key>>8), byte(key))
	return binary.BigEndian.AppendUint16(to, uint16(heartbeat))
}

const keyMask = 1<<24 - 1

func keyOf(id string, incarnation uint64) uint32 {
	var salt [8]byte
	binary.BigEndian.PutUint64(salt[:], incarnation)
	return uint32(xxhash.Sum64String(id)^xxhash.Sum64(salt[:])) & keyMask
}

// buildIndex maps the keys of packed heartbeats to routers. Routers with the
// same key are found by their full entries only.
func (t *Table) buildIndex() {
	if t.indexed {
		return
	}
	t.indexed = true
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
	t.tombKeys = make(map[uint32]uint64, len(t.tombstones))
	for _, tomb := range t.tombstones {
		t.tombKeys[keyOf(tomb.id, tomb.incarnation)] = tomb.heartbeat
	}
}

// nextPeers takes the next routers of the view that are not suspect, and now and
// then a contact.
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

// randomContact picks a seed, registration or removed router at whose address
// no live router is known.
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
	for _, id := range t.tombOrder {
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

// refreshView chooses the routers to gossip with: half of them in the own zone,
// the others in turn from the other zones, so that zones and regions stay
// connected. Each is the successor on a ring of its own, because successors
// spread evenly: with random choices some routers are in few views and hear too
// little to keep the suspicion bound.
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

// successor returns the next router after this one on a ring, leaving out those
// taken, and nothing when all are taken.
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
