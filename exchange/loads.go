package exchange

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/placement"
)

const (
	// directRouters is the size up to which each router sends its loads to all
	// others, so that all know of each endpoint. In a larger fleet that costs more
	// than control may; there it sends the load of an endpoint to the router that
	// owns it by rendezvous hashing, which tells the total to all that report.
	directRouters = 128
	// beatRouters is the size up to which loads are sent to all at each beat. Above
	// it the interval grows with the fleet, so that what a router receives does not.
	beatRouters = 32
	// ownedInterval is the time between two reports to owners: a total is up to
	// two of them old, well below the age at which loads no longer count.
	ownedInterval = 500 * time.Millisecond
	// reportAge is the age up to which a peer's report is part of a total.
	reportAge = 3 * time.Second
	// allOthers stands for the routers of a total.
	allOthers = "*"
)

func (e *Exchange) direct() bool { return len(e.peers) < directRouters }

// loadInterval returns the time between two datagrams with loads.
func (e *Exchange) loadInterval() time.Duration {
	if !e.direct() {
		return ownedInterval
	}
	return beatInterval * time.Duration((len(e.peers)+beatRouters)/beatRouters)
}

// loadMessages returns the datagrams with loads that are due. Callers hold e.mu.
func (e *Exchange) loadMessages(now time.Time, own map[string]int) []addressed {
	if now.Sub(e.loadsAt) < e.loadInterval()-beatInterval/2 {
		return nil
	}
	e.loadsAt = now
	if e.direct() {
		return e.directMessages(own)
	}
	return e.ownedMessages(now, own)
}

func (e *Exchange) directMessages(own map[string]int) []addressed {
	m := &message{Router: e.config.Router, Loads: own, Whole: true}
	outgoing := make([]addressed, 0, len(e.peers))
	for _, p := range e.peers {
		p.told = len(own) > 0
		outgoing = append(outgoing, addressed{p.address, m})
	}
	return outgoing
}

// ownedMessages returns the reports to the owners of the endpoints with requests,
// and the totals for the routers that reported here.
func (e *Exchange) ownedMessages(now time.Time, own map[string]int) []addressed {
	reports := map[string]map[string]int{}
	for endpoint, requests := range own {
		owner := placement.Owner(endpoint, e.ids)
		if owner == e.config.Router {
			continue
		}
		if reports[owner] == nil {
			reports[owner] = map[string]int{}
		}
		reports[owner][endpoint] = requests
	}
	totals := e.totals(now, own)
	var outgoing []addressed
	for id, p := range e.peers {
		m := &message{Router: e.config.Router}
		if report := reports[id]; report != nil || p.told {
			m.Loads, m.Whole, p.told = report, true, report != nil
		}
		if now.Sub(p.heard) < reportAge {
			m.Totals = others(totals, p.loads)
		}
		if m.Whole || m.Totals != nil {
			outgoing = append(outgoing, addressed{p.address, m})
		}
	}
	return outgoing
}

// totals returns the requests of all routers at the endpoints that were reported
// here.
func (e *Exchange) totals(now time.Time, own map[string]int) map[string]int {
	totals := map[string]int{}
	for _, p := range e.peers {
		if now.Sub(p.heard) >= reportAge {
			continue
		}
		for endpoint, requests := range p.loads {
			totals[endpoint] += requests
		}
	}
	for endpoint := range totals {
		totals[endpoint] += own[endpoint]
	}
	return totals
}

// others returns the totals of the reported endpoints without what was reported; nil
// if nothing was.
func others(totals, reported map[string]int) map[string]int {
	if len(reported) == 0 {
		return nil
	}
	rest := make(map[string]int, len(reported))
	for endpoint, requests := range reported {
		rest[endpoint] = totals[endpoint] - requests
	}
	return rest
}

// enterLoads passes on the loads of a datagram. before are the loads that the sender
// reported last.
func (e *Exchange) enterLoads(m message, before map[string]int) {
	for endpoint, requests := range m.Totals {
		e.config.ReceiveLoad(allOthers, endpoint, requests)
	}
	if !m.Whole {
		return
	}
	for endpoint, requests := range m.Loads {
		e.config.ReceiveLoad(m.Router, endpoint, requests)
	}
	for endpoint := range before {
		if _, ok := m.Loads[endpoint]; !ok {
			e.config.ReceiveLoad(m.Router, endpoint, 0)
		}
	}
}
