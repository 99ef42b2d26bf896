package room

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxDemandWorkspaces is the number of workspaces in a Demand.
	maxDemandWorkspaces = 8
	// maxOwnWorkspaces bounds the workspaces that a router counts.
	maxOwnWorkspaces = 512
	// overMargin is the demand of a workspace, as a multiple of its fair share, up to which it is
	// within it: a second's arrivals vary by that much.
	overMargin = 1.25
	// demandUnit is what a request that is sent to an endpoint adds to the demand, refusedUnits what
	// a refused one adds: its caller returns about three times. If each return counted as a request,
	// workspaces of which some requests were refused would appear to ask for more than their share,
	// and get more refusals.
	demandUnit   = 10
	refusedUnits = 3
	// demandSlots is the number of parts of the window over which arrivals are counted.
	demandSlots = 5
	// demandTTL is the age at which the demand of the fleet expires.
	demandTTL = 3 * time.Second
	// retryWindow is the period over which refusals are counted.
	retryWindow = time.Second
	// demandWindowLength is the window.
	demandWindowLength = time.Second
	// fairFraction is the part of the capacity that is divided into fair shares. The rest goes to
	// those that ask for more, so that no slot stays idle if a workspace sends less than before.
	fairFraction = 0.95
)

// Demand is the number of requests for a service in the last second: of all workspaces, and of
// those with the most, by WorkspaceHash. Routers is the number of routers that have counted them.
type Demand struct {
	Routers    int
	Total      int
	Workspaces map[uint16]int
}

// WorkspaceHash returns the hash of a workspace in a Demand.
func WorkspaceHash(workspace string) uint16 { return uint16(xxhash.Sum64String(workspace)) }

// ServiceKey returns the key by which routers tell each other the demand for a service.
func ServiceKey(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// Add adds the demand of another router.
func (d *Demand) Add(other Demand) {
	d.Routers += other.Routers
	d.Total += other.Total
	if d.Workspaces == nil {
		d.Workspaces = map[uint16]int{}
	}
	for workspace, n := range other.Workspaces {
		d.Workspaces[workspace] += n
	}
}

// Largest returns the demand with only the maxDemandWorkspaces largest workspaces.
func (d Demand) Largest() Demand {
	hashes := make([]uint16, 0, len(d.Workspaces))
	for hash := range d.Workspaces {
		hashes = append(hashes, hash)
	}
	slices.SortFunc(hashes, func(a, b uint16) int {
		return cmp.Or(cmp.Compare(d.Workspaces[b], d.Workspaces[a]), cmp.Compare(a, b))
	})
	largest := Demand{Routers: d.Routers, Total: d.Total, Workspaces: map[uint16]int{}}
	for _, hash := range hashes[:min(len(hashes), maxDemandWorkspaces)] {
		largest.Workspaces[hash] = d.Workspaces[hash]
	}
	return largest
}

// OwnDemand returns the demand that this router has seen in the last second.
func (s *Service) OwnDemand(now time.Time) Demand {
	demand := s.ownDemand(now)
	s.told = demand.Total
	return demand.Largest()
}

func (s *Service) ownDemand(now time.Time) Demand {
	return Demand{Routers: 1, Total: (s.own.total(now) + demandUnit - 1) / demandUnit, Workspaces: s.own.sums()}
}

// SetDemand records the demand of the fleet, including this router.
func (s *Service) SetDemand(now time.Time, fleet Demand) {
	s.advance(now)
	s.fleet, s.fleetAt = fleet, now
	s.updatePart()
	s.computeFair(now)
}

func (s *Service) fleetKnown(now time.Time) bool {
	return !s.fleetAt.IsZero() && now.Sub(s.fleetAt) < demandTTL
}

// demand returns the demand of the fleet. Routers that have not told theirs are taken to have as
// much as the others. Without a report it is the own demand times the routers.
func (s *Service) demand(now time.Time) (demand Demand, scale float64) {
	if s.fleetKnown(now) {
		return s.fleet, max(1, float64(s.routers)/float64(max(1, s.fleet.Routers)))
	}
	return s.ownDemand(now), float64(s.routers)
}

// capacity returns the requests a second that the service can do, by Little's law.
func (s *Service) capacity() float64 {
	return s.target() * float64(max(1, s.slots)) / s.work
}

// computeFair sets the fair share of a workspace: what each may send so that those that ask for
// less leave the rest to the others (max-min fairness). Workspaces beyond the largest ones are
// taken to be within it.
func (s *Service) computeFair(now time.Time) {
	demand, scale := s.demand(now)
	known := 0
	s.rates = s.rates[:0]
	for _, n := range demand.Workspaces {
		known += n
		s.rates = append(s.rates, float64(n)*scale)
	}
	s.fullness = float64(demand.Total) * scale / s.capacity()
	left := fairFraction*s.capacity() - float64(max(0, demand.Total-known))*scale
	slices.Sort(s.rates)
	s.limited = false
	for i, rate := range s.rates {
		s.fair = max(0, left) / float64(len(s.rates)-i)
		if rate > s.fair {
			s.limited = true
			return
		}
		left -= rate
	}
	s.fair = math.Inf(1)
}

// excess returns the demand of a workspace divided by its fair share.
func (s *Service) excess(now time.Time, workspace string) float64 {
	if !s.limited {
		return 0
	}
	demand, scale := s.demand(now)
	return float64(demand.Workspaces[WorkspaceHash(workspace)]) * scale / max(s.fair, 1)
}

// overShare reports whether a request is beyond its workspace's fair share. Of a workspace that
// asks for more, the part up to the share is within it, chosen by a hash.
func (s *Service) overShare(now time.Time, r Request) bool {
	excess := s.excess(now, r.Workspace)
	if excess <= overMargin {
		return false
	}
	hash := WorkspaceHash(r.Workspace)
	sends := float64(s.sends.sum(hash)) / max(1, float64(s.own.sum(hash))/demandUnit)
	// A request that returns gets another chance.
	return hashPart(r.ID, uint64(now.UnixNano()))*excess*max(1, sends) > overMargin
}

// hashPart returns a number from 0 to 1 that is the same for the same request and seed.
func hashPart(id, seed uint64) float64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(id ^ seed)
	return float64(digest.Sum64()>>11) / (1 << 53)
}

// demandWindow counts arrivals by workspace in the last second.
type demandWindow struct {
	counts [demandSlots]map[uint16]int
	totals [demandSlots]int
	index  int64 // of the newest part
}

func (d *demandWindow) move(now time.Time) {
	index := now.UnixNano() / int64(demandWindowLength/demandSlots)
	for i := max(d.index+1, index-demandSlots+1); i <= index; i++ {
		d.counts[i%demandSlots], d.totals[i%demandSlots] = nil, 0
	}
	d.index = max(d.index, index)
}

func (d *demandWindow) add(now time.Time, workspace uint16, n int) {
	d.move(now)
	slot := d.index % demandSlots
	if d.counts[slot] == nil {
		d.counts[slot] = map[uint16]int{}
	}
	if _, ok := d.counts[slot][workspace]; ok || len(d.counts[slot]) < maxOwnWorkspaces {
		d.counts[slot][workspace] += n
	}
	d.totals[slot] += n
}

func (d *demandWindow) total(now time.Time) int {
	d.move(now)
	sum := 0
	for _, n := range d.totals {
		sum += n
	}
	return sum
}

func (d *demandWindow) sums() map[uint16]int {
	sums := map[uint16]int{}
	for _, counts := range d.counts {
		for workspace, n := range counts {
			sums[workspace] += n
		}
	}
	for workspace := range sums {
		sums[workspace] = (sums[workspace] + demandUnit - 1) / demandUnit
	}
	return sums
}

// sum returns the count of a workspace.
func (d *demandWindow) sum(workspace uint16) int {
	sum := 0
	for _, counts := range d.counts {
		sum += counts[workspace]
	}
	return sum
}

// window counts events in retryWindow.
type window struct{ times []time.Time }

func (w *window) add(now time.Time) {
	if len(w.times) < maxWaiting {
		w.times = append(w.times, now)
	}
}

func (w *window) count(now time.Time) int {
	for len(w.times) > 0 && now.Sub(w.times[0]) > retryWindow {
		w.times = w.times[1:]
	}
	return len(w.times)
}
