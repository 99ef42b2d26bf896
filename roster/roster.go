// Package roster tracks the registered endpoints and which of them may get new work.
// It does no I/O and reads no clock.
package roster

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxLeaving bounds the starts of endpoints that are remembered as leaving: several times the
// endpoints of a large fleet.
const maxLeaving = 4096

// Entry is the registration of an endpoint in the store.
type Entry struct {
	ID      string
	Service string
	Address string // IP:PORT
	Zone    string
	Slots   int // number of requests that the endpoint runs concurrently
	// ColdFor is how long the endpoint is still cold according to the entry, counted
	// from the time at which the entry is passed to Set.
	ColdFor time.Duration
	// Started is the start time of the endpoint in Unix milliseconds, 0 if not known.
	// A different start time under the same ID shows that the endpoint has restarted.
	Started  int64
	Draining bool
	// Version is the version of the service that the endpoint runs; empty if it is not known.
	Version string
}

// Start returns a hash of the endpoint's id and start time. It identifies one start of an endpoint.
func (e *Entry) Start() uint64 {
	return xxhash.Sum64String(e.ID + "/" + strconv.FormatInt(e.Started, 10))
}

// Endpoint is an endpoint from one start to the next: a restart gets a new Endpoint.
// Fields change only under the lock that the owner of the Roster holds; ID, Service, Address and
// Started never change and may be read without it.
type Endpoint struct {
	Entry
	// Withdrawn endpoints get no new work: they are draining or leaving, are no longer
	// registered, or were replaced after a restart.
	Withdrawn bool
	// ColdUntil is the time until which the endpoint counts as cold.
	ColdUntil time.Time
}

// update takes over those parts of a newer entry that can change between two starts.
func (e *Endpoint) update(entry Entry) {
	e.Zone, e.Slots, e.ColdFor = entry.Zone, entry.Slots, entry.ColdFor
	e.Draining, e.Version = entry.Draining, entry.Version
}

// Cold reports whether the endpoint is cold, that is, can handle only a low rate of
// requests because its caches are not filled yet.
func (e *Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Config holds the settings of a Roster.
type Config struct {
	// ColdFor returns how long an endpoint of the service is cold after a start.
	ColdFor func(service string) time.Duration
	// GraceUntil returns the time until which endpoints are kept although their entries are gone,
	// since these may have expired in an outage of the store; not after now if none are kept.
	GraceUntil func(now time.Time) time.Time
}

// Roster is the set of endpoints. It is not safe for concurrent use.
type Roster struct {
	config    Config
	endpoints map[string]*Endpoint
	services  map[string][]*Endpoint
	evacuated map[string]bool // by availability zone
	// leaving has the starts of endpoints that have said that they leave, by Entry.Start. An
	// entry that lapses and comes back does not make such an endpoint a new one.
	leaving map[uint64]bool
	// lapsed has the endpoints that are kept without an entry, by id.
	lapsed   map[string]*Endpoint
	kept     []*Endpoint // kept without an entry since the last call of TakeKept
	complete bool        // whether a complete list of entries has been seen
}

// New returns an empty roster.
func New(config Config) *Roster {
	return &Roster{
		config: config, endpoints: map[string]*Endpoint{}, services: map[string][]*Endpoint{},
		evacuated: map[string]bool{}, leaving: map[uint64]bool{}, lapsed: map[string]*Endpoint{},
	}
}

// Set adds or updates an endpoint. It returns the endpoint, and the one that it replaces
// if an endpoint with the same ID has restarted, or has another address or service.
func (r *Roster) Set(now time.Time, entry Entry) (current, replaced *Endpoint) {
	known, ok := r.endpoints[entry.ID]
	if ok && (known.Started != entry.Started || known.Address != entry.Address || known.Service != entry.Service) {
		r.drop(known)
		replaced, ok = known, false
	}
	if !ok {
		if entry.Started == 0 {
			delete(r.leaving, entry.Start()) // the starts of such an endpoint can't be told apart
		}
		known = &Endpoint{Entry: entry}
		r.endpoints[entry.ID] = known
		r.services[entry.Service] = append(r.services[entry.Service], known)
		if r.complete {
			// After the first complete list, a new endpoint counts as cold even if its
			// entry says that it is not: the entry may be wrong or out of date.
			known.ColdUntil = now.Add(max(entry.ColdFor, r.config.ColdFor(entry.Service)))
		}
	}
	known.update(entry)
	delete(r.lapsed, entry.ID)
	known.Withdrawn = entry.Draining || r.leaving[entry.Start()]
	if until := now.Add(entry.ColdFor); entry.ColdFor > 0 && until.After(known.ColdUntil) {
		known.ColdUntil = until
	}
	return known, replaced
}

// MarkLeaving withdraws the endpoint with this start, now or when its entry arrives, since it has
// said that it leaves. It returns false if that is known already.
func (r *Roster) MarkLeaving(start uint64) bool {
	if r.leaving[start] {
		return false
	}
	if len(r.leaving) >= maxLeaving {
		clear(r.leaving)
	}
	r.leaving[start] = true
	for _, endpoint := range r.endpoints {
		if endpoint.Start() == start {
			endpoint.Withdrawn = true
		}
	}
	return true
}

// Remove handles an entry that was deleted or expired. In the grace period of an outage of the store
// the endpoint is kept unless it is draining, since its entry may have expired only because it could
// not be renewed. Remove returns the endpoint if it was removed, or nil.
func (r *Roster) Remove(now time.Time, id string) *Endpoint {
	known, ok := r.endpoints[id]
	if !ok {
		return nil
	}
	if r.inGrace(now) && !known.Withdrawn {
		if r.lapsed[id] == nil {
			r.lapsed[id] = known
			r.kept = append(r.kept, known)
		}
		return nil
	}
	r.drop(known)
	return known
}

func (r *Roster) inGrace(now time.Time) bool {
	return r.config.GraceUntil != nil && now.Before(r.config.GraceUntil(now))
}

// TakeKept returns the endpoints that were kept without an entry since the last call.
func (r *Roster) TakeKept() []*Endpoint {
	kept := r.kept
	r.kept = nil
	return kept
}

// RetainOnly takes the ids of a complete list of entries and handles all others as Remove
// does. It returns the endpoints that were removed.
func (r *Roster) RetainOnly(now time.Time, ids map[string]bool) []*Endpoint {
	r.complete = true
	var gone []*Endpoint
	for id := range r.endpoints {
		if ids[id] {
			continue
		}
		if endpoint := r.Remove(now, id); endpoint != nil {
			gone = append(gone, endpoint)
		}
	}
	return gone
}

// Expire removes the endpoints that were kept without an entry once the grace period is over, which
// a refuted outage ends early. It returns them.
func (r *Roster) Expire(now time.Time) []*Endpoint {
	if len(r.lapsed) == 0 || r.inGrace(now) {
		return nil
	}
	gone := slices.Collect(maps.Values(r.lapsed))
	for _, endpoint := range gone {
		r.drop(endpoint)
	}
	return gone
}

// drop withdraws an endpoint and removes it from the roster.
func (r *Roster) drop(endpoint *Endpoint) {
	endpoint.Withdrawn = true
	delete(r.endpoints, endpoint.ID)
	delete(r.lapsed, endpoint.ID)
	members := r.services[endpoint.Service]
	for i, member := range members {
		if member == endpoint {
			// Callers of Members may hold the old slice, so it is not changed in place.
			next := make([]*Endpoint, 0, len(members)-1)
			next = append(next, members[:i]...)
			r.services[endpoint.Service] = append(next, members[i+1:]...)
			return
		}
	}
}

// SetEvacuated starts or ends the evacuation of an availability zone, whose endpoints get
// no new work meanwhile. When the evacuation ends, they count as cold, since they may
// have lost their caches.
func (r *Roster) SetEvacuated(now time.Time, zone string, evacuated bool) {
	was := r.evacuated[zone]
	if evacuated {
		r.evacuated[zone] = true
		return
	}
	delete(r.evacuated, zone)
	if !was {
		return
	}
	for _, endpoint := range r.endpoints {
		if endpoint.Zone == zone {
			endpoint.ColdUntil = now.Add(max(endpoint.ColdFor, r.config.ColdFor(endpoint.Service)))
		}
	}
}

// Evacuated returns the set of evacuated zones. It must not be changed.
func (r *Roster) Evacuated() map[string]bool { return r.evacuated }

// MarkCold makes an endpoint count as cold from now, after it was found to have been
// down. It never shortens the time for which the endpoint is cold.
func (r *Roster) MarkCold(now time.Time, endpoint *Endpoint) {
	until := now.Add(r.config.ColdFor(endpoint.Service))
	if until.After(endpoint.ColdUntil) {
		endpoint.ColdUntil = until
	}
}

// Members returns the endpoints of a service, usable or not. The slice must not
// be changed.
func (r *Roster) Members(service string) []*Endpoint { return r.services[service] }

// Usable reports whether the endpoint may get new work.
func (r *Roster) Usable(endpoint *Endpoint) bool {
	return !endpoint.Withdrawn && !r.evacuated[endpoint.Zone]
}

// Len returns the number of endpoints.
func (r *Roster) Len() int { return len(r.endpoints) }

// Complete reports whether a complete list of entries has been seen.
func (r *Roster) Complete() bool { return r.complete }
