// Package roster keeps which endpoints may get new work. It does no I/O and
// reads no clock.
package roster

import (
	"time"
)

// Entry is what an endpoint says of itself.
type Entry struct {
	ID      string
	Service string
	Address string // IP:PORT
	Zone    string
	Slots   int // requests that run at once
	// ColdFor is how much longer the endpoint is cold, as of the entry.
	ColdFor time.Duration
	// Started is the endpoint's start in Unix milliseconds, 0 if not known. It
	// tells two starts under one ID apart.
	Started  int64
	Draining bool
}

// Endpoint is one start of an endpoint. Fields change only under the lock of
// the Roster's owner.
type Endpoint struct {
	Entry
	// Withdrawn endpoints get nothing new: they drain, are gone, or were
	// replaced by a later start.
	Withdrawn bool
	// ColdUntil is the time until which the endpoint counts as cold.
	ColdUntil time.Time
	// removeAt is the time at which an endpoint whose entry lapsed during an
	// outage of the store is given up; zero otherwise.
	removeAt time.Time
}

// Cold reports whether the endpoint bears little work.
func (e *Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Config holds the settings of a Roster.
type Config struct {
	// ColdFor returns how long an endpoint of the service is cold after a start.
	ColdFor func(service string) time.Duration
	// LapseHold is how long an entry that vanished around an outage of the store
	// may take to come back.
	LapseHold time.Duration
}

// Roster is the set of endpoints. It is not safe for concurrent use.
type Roster struct {
	config    Config
	endpoints map[string]*Endpoint
	services  map[string][]*Endpoint
	evacuated map[string]bool
	// outageUntil is the time until which vanished entries may come back.
	outageUntil time.Time
	complete    bool
}

// New returns an empty roster.
func New(config Config) *Roster {
	return &Roster{
		config: config, endpoints: map[string]*Endpoint{}, services: map[string][]*Endpoint{},
		evacuated: map[string]bool{},
	}
}

// Set enters or updates an endpoint. The result is the endpoint, and the one
// that it replaces when the ID has started again.
func (r *Roster) Set(now time.Time, entry Entry) (current, replaced *Endpoint) {
	known, ok := r.endpoints[entry.ID]
	if ok && (known.Started != entry.Started || known.Address != entry.Address || known.Service != entry.Service) {
		r.drop(known)
		replaced, ok = known, false
	}
	if !ok {
		known = &Endpoint{Entry: entry}
		r.endpoints[entry.ID] = known
		r.services[entry.Service] = append(r.services[entry.Service], known)
		if r.complete {
			// The entry may say that the endpoint is warm, or be older than it is.
			known.ColdUntil = now.Add(max(entry.ColdFor, r.config.ColdFor(entry.Service)))
		}
	}
	known.Entry = entry
	known.removeAt = time.Time{}
	known.Withdrawn = entry.Draining
	if until := now.Add(entry.ColdFor); entry.ColdFor > 0 && until.After(known.ColdUntil) {
		known.ColdUntil = until
	}
	return known, replaced
}

// Remove handles an entry that vanished. Around an outage of the store the
// endpoint is kept for the time in which a living one comes back. The result is
// the endpoint that gets nothing more, or nil.
func (r *Roster) Remove(now time.Time, id string) *Endpoint {
	known, ok := r.endpoints[id]
	if !ok {
		return nil
	}
	if now.Before(r.outageUntil) && !known.Withdrawn {
		if known.removeAt.IsZero() {
			known.removeAt = r.outageUntil
		}
		return nil
	}
	r.drop(known)
	return known
}

// Keep is called with the names of a complete list; all other endpoints have
// vanished. The result is those that get nothing more.
func (r *Roster) Keep(now time.Time, names map[string]bool) []*Endpoint {
	r.complete = true
	var gone []*Endpoint
	for id := range r.endpoints {
		if names[id] {
			continue
		}
		if endpoint := r.Remove(now, id); endpoint != nil {
			gone = append(gone, endpoint)
		}
	}
	return gone
}

// StoreLost says that the store cannot be reached: entries that vanish until
// LapseHold after the last such call may come back.
func (r *Roster) StoreLost(now time.Time) {
	r.outageUntil = now.Add(r.config.LapseHold)
	for _, endpoint := range r.endpoints {
		if !endpoint.removeAt.IsZero() {
			endpoint.removeAt = r.outageUntil
		}
	}
}

// Expire gives up endpoints whose entries did not come back.
func (r *Roster) Expire(now time.Time) []*Endpoint {
	var gone []*Endpoint
	for _, endpoint := range r.endpoints {
		if !endpoint.removeAt.IsZero() && !now.Before(endpoint.removeAt) {
			r.drop(endpoint)
			gone = append(gone, endpoint)
		}
	}
	return gone
}

func (r *Roster) drop(endpoint *Endpoint) {
	endpoint.Withdrawn = true
	delete(r.endpoints, endpoint.ID)
	members := r.services[endpoint.Service]
	for i, member := range members {
		if member == endpoint {
			// Readers may hold the old slice, so it is not changed in place.
			next := make([]*Endpoint, 0, len(members)-1)
			next = append(next, members[:i]...)
			r.services[endpoint.Service] = append(next, members[i+1:]...)
			return
		}
	}
}

// SetEvacuated withdraws a zone or takes it back. Endpoints of a zone that is
// taken back count as cold, since they may have lost their caches.
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

// Evacuated returns the zones that are withdrawn.
func (r *Roster) Evacuated() map[string]bool { return r.evacuated }

// MarkCold makes an endpoint count as cold from now, after it was found to have
// been down.
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

// Complete reports whether a whole list has been seen.
func (r *Roster) Complete() bool { return r.complete }
