package exchange

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// In a large fleet each router reports its loads to the relays. The first relay adds them
// up and sends the sums of all endpoints, the fleet view, to all routers. The other relays
// receive the same reports and send views when the first one stops. The state is soft: a
// relay that has just started sends no view before it has heard most of the routers, and
// what a router knows expires with remoteLoadTTL of package balance.

const (
	// reportInterval is the time between two reports to the relays. A report that equals the
	// last one is sent only after repeatInterval, in case that one was lost.
	reportInterval = sendInterval / 2
	repeatInterval = 500 * time.Millisecond
	// viewBytesPerSecond is what a router may receive in views. Where the loads of all
	// endpoints are larger, views are sent less often, but every maxViewInterval: receivers
	// forget a view after remoteLoadTTL of package balance.
	viewBytesPerSecond = 3 << 10
	maxViewInterval    = time.Second
	// maxViewEndpoints bounds the endpoints of a view, so that it fits into a datagram; those
	// with the highest loads are kept.
	maxViewEndpoints = 1800
	// viewTimeout is the time after the last view of a relay of a lower rank at which
	// this relay sends views in its place, and receivers accept them.
	viewTimeout = 600 * time.Millisecond
	// reportTTL is the time after which a report no longer counts in a view. It allows
	// for lost datagrams.
	reportTTL = 1500 * time.Millisecond
	// collectTime is how long a relay receives reports before it sends its first view.
	collectTime = 750 * time.Millisecond
	// Only prompts with at least minViewPromptRequests in flight are part of a view, and
	// at most maxViewPrompts, those with most requests.
	minViewPromptRequests = 3
	maxViewPrompts        = 32
	// maxViewLoad is the highest load of an endpoint that a view can express.
	maxViewLoad = 255
	// viewEntryBytes is the size of one endpoint in a view.
	viewEntryBytes = 4
)

// reportDue reports whether the loads have to be sent to the relays. Callers hold e.mu.
func (e *Exchange) reportDue(now time.Time, own Loads) bool {
	return now.Sub(e.reportedAt) >= repeatInterval-reportInterval/2 ||
		!maps.Equal(own.Endpoints, e.reported.Endpoints) || !maps.Equal(own.Prompts, e.reported.Prompts)
}

// sendReport sends the loads of this router to the relays of a large fleet if they have
// changed.
func (e *Exchange) sendReport(now time.Time) {
	e.mu.Lock()
	direct := e.sendsDirect()
	e.mu.Unlock()
	if direct {
		return
	}
	own := e.config.Loads()
	e.mu.Lock()
	outgoing := e.loadMessages(now, own)
	e.mu.Unlock()
	e.send(outgoing)
}

// fleetView is the sum of the loads of all routers, as a relay sends it.
type fleetView struct {
	// Endpoints has viewEntryBytes for each endpoint with requests in flight: a hash of
	// 24 bits of its id, and their number. Two endpoints with the same hash get the sum.
	Endpoints []byte         `cbor:"1,keyasint,omitempty"`
	Prompts   map[uint32]int `cbor:"2,keyasint,omitempty"` // by balance.PromptID
}

// endpointHash returns the hash of an endpoint's id, in the upper 24 bits.
func endpointHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) &^ maxViewLoad }

// newFleetView returns the view of the sums.
func newFleetView(sum Loads) *fleetView {
	loads := make(map[uint32]int, len(sum.Endpoints))
	for id, requests := range sum.Endpoints {
		loads[endpointHash(id)] += requests
	}
	entries := make([]uint32, 0, len(loads))
	for hash, requests := range loads {
		if requests > 0 {
			entries = append(entries, hash|uint32(min(requests, maxViewLoad)))
		}
	}
	if len(entries) > maxViewEndpoints {
		slices.SortFunc(entries, func(a, b uint32) int { return cmp.Compare(b&maxViewLoad, a&maxViewLoad) })
		entries = entries[:maxViewEndpoints]
	}
	view := &fleetView{Endpoints: make([]byte, 0, len(entries)*viewEntryBytes), Prompts: mostRequested(sum.Prompts)}
	for _, entry := range entries {
		view.Endpoints = binary.BigEndian.AppendUint32(view.Endpoints, entry)
	}
	return view
}

// mostRequested returns the prompts that are part of a view.
func mostRequested(prompts map[uint32]int) map[uint32]int {
	var ids []uint32
	for id, requests := range prompts {
		if requests >= minViewPromptRequests {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b uint32) int { return cmp.Compare(prompts[b], prompts[a]) })
	most := make(map[uint32]int, min(len(ids), maxViewPrompts))
	for _, id := range ids[:min(len(ids), maxViewPrompts)] {
		most[id] = prompts[id]
	}
	return most
}

// interval returns the time between two views of this size.
func (v *fleetView) interval() time.Duration {
	const bytesPerInterval = viewBytesPerSecond * int(sendInterval) / int(time.Second)
	return min(maxViewInterval, sendInterval*time.Duration(1+len(v.Endpoints)/bytesPerInterval))
}

// loads returns the loads by endpointHash. A part of an entry at the end is ignored.
func (v *fleetView) loads() map[uint32]int {
	loads := make(map[uint32]int, len(v.Endpoints)/viewEntryBytes)
	for entries := v.Endpoints; len(entries) >= viewEntryBytes; entries = entries[viewEntryBytes:] {
		entry := binary.BigEndian.Uint32(entries)
		loads[entry&^maxViewLoad] += int(entry & maxViewLoad)
	}
	return loads
}

// collectors returns the relays to which this router reports its loads: those that were
// heard as relays, or those that are expected to be relays if none was. Callers hold e.mu.
func (e *Exchange) collectors(now time.Time) []*peer {
	relays := make([]*peer, 0, relayCount)
	for _, p := range e.relayOrder {
		if len(relays) < relayCount && now.Sub(p.relayAt) < relayTimeout {
			relays = append(relays, p)
		}
	}
	if len(relays) == 0 {
		return e.relayOrder[:min(relayCount, len(e.relayOrder))]
	}
	return relays
}

// dueView returns the view that this router sends as a relay, or nil if none is due. own
// are the loads of this router. Callers hold e.mu.
func (e *Exchange) dueView(now time.Time, own Loads) *fleetView {
	if e.sendsDirect() || e.rank >= relayCount {
		e.relaySince = time.Time{}
		return nil
	}
	if e.relaySince.IsZero() {
		e.relaySince = now
	}
	sum, complete := e.sumLoads(now)
	if now.Sub(e.relaySince) < collectTime || !complete || e.viewFromPredecessor(now) {
		return nil
	}
	view := e.newView(sum, own)
	if now.Sub(e.viewSentAt) < view.interval()-sendInterval/2 {
		return nil
	}
	e.viewSentAt = now
	return view
}

// newView returns the view of the sums of the peers and of this router's own loads. Callers
// hold e.mu.
func (e *Exchange) newView(sum, own Loads) *fleetView {
	addTo(sum.Endpoints, own.Endpoints)
	e.surges.reset(sum.Prompts)
	addTo(sum.Prompts, own.Prompts)
	return newFleetView(sum)
}

// viewFromPredecessor reports whether a router that becomes a relay before this one has
// sent a view within viewTimeout. Callers hold e.mu.
func (e *Exchange) viewFromPredecessor(now time.Time) bool {
	for _, p := range e.predecessors {
		if now.Sub(p.viewAt) < viewTimeout {
			return true
		}
	}
	return false
}

// acceptsView reports whether a view from the peer is used: it is not if a peer that
// becomes a relay earlier has sent one within viewTimeout. Callers hold e.mu.
func (e *Exchange) acceptsView(now time.Time, from *peer) bool {
	for _, p := range e.relayOrder {
		if p == from {
			return true
		}
		if now.Sub(p.viewAt) < viewTimeout {
			return false
		}
	}
	return false
}

// applyView passes a view to ReceiveFleetLoads, without the part that this router has
// reported itself.
func (e *Exchange) applyView(view *fleetView, reported Loads) {
	loads := view.loads()
	for id, requests := range reported.Endpoints {
		loads[endpointHash(id)] -= requests
	}
	prompts := make(map[uint32]int, len(view.Prompts))
	for id, requests := range view.Prompts {
		prompts[id] = max(0, requests-reported.Prompts[id])
	}
	e.config.ReceiveFleetLoads(func(endpointID string) int { return max(0, loads[endpointHash(endpointID)]) }, prompts)
}
