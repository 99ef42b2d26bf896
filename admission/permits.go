package admission

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

func (g *Gate) grant(now time.Time, r Request, received time.Time) Outcome {
	id := g.nextID()
	g.permits[id] = permit{
		router:    r.Router,
		workspace: r.Workspace,
		granted:   now,
		expires:   now.Add(g.config.FirstHoldTime),
	}
	g.report.grantedSince++
	g.queue.addInflight(r.Workspace)
	grant := Grant{
		PermitID: id,
		StartBy:  now.Sub(received) + g.config.StartBy,
		Inflight: g.Inflight(),
	}
	if g.cold() {
		grant.Term = g.lease.Term
	}
	return Outcome{RequestID: r.ID, Router: r.Router, Grant: grant}
}

// nextID returns an unused permit id. It skips the ids of adopted permits that a
// former owner with the same nonce granted.
func (g *Gate) nextID() uint64 {
	for {
		g.counter++
		id := uint64(g.config.Nonce)<<32 | uint64(g.counter)
		if _, used := g.permits[id]; !used && id != 0 {
			return id
		}
	}
}

// Release ends a permit. An unknown permit is ignored. Permit 0 with a moved chat
// only records the move.
func (g *Gate) Release(now time.Time, id uint64, info ReleaseInfo) []Outcome {
	g.recordMove(info)
	p, ok := g.permits[id]
	if !ok {
		return nil
	}
	g.removePermit(id, p)
	if !info.Failed {
		g.recordReturned(now, p)
		if !p.granted.IsZero() {
			g.service.add(now.Sub(p.granted))
		}
		g.warmup.recordAnswer(info.FirstTokenTime)
		if g.detectCold(now, info.FirstTokenTime) {
			g.markCold(now)
		}
	}
	return g.serveQueue(now)
}

// recordReturned remembers a returned permit, because the current report or a later
// one may still include its work. It is not called for a failed request, whose work
// may continue at the endpoint.
func (g *Gate) recordReturned(now time.Time, p permit) {
	if len(g.report.returned) < maxReturned {
		g.report.returned = append(g.report.returned, returnedPermit{granted: p.granted, returned: now})
	}
}

// returnedSince counts the permits returned since the measurement whose work the
// report includes. It is 0 for a cold endpoint, whose limit must never be exceeded.
func (g *Gate) returnedSince() int {
	if g.cold() {
		return 0
	}
	count := 0
	for _, r := range g.report.returned {
		if r.granted.Before(g.report.measured) {
			count++
		}
	}
	return count
}

func (g *Gate) recordMove(info ReleaseInfo) {
	switch {
	case info.MovedChat == 0:
	case info.MovedTo == "" || info.MovedTo == g.config.Endpoint:
		g.moved.remove(info.MovedChat)
	default:
		g.moved.set(info.MovedChat, info.MovedTo)
	}
}

func (g *Gate) removePermit(id uint64, p permit) {
	delete(g.permits, id)
	g.queue.removeInflight(p.workspace)
	if !p.granted.Before(g.report.cutoff) {
		g.report.grantedSince--
	}
}

// Renew extends the hold time of a router's permits. It returns the ids that are
// unknown or belong to another router. The router must then report these permits as
// held, and Adopt adds them.
func (g *Gate) Renew(now time.Time, router string, permits []uint64) (unknown []uint64) {
	delete(g.lostRouters, router)
	for _, id := range permits {
		p, ok := g.permits[id]
		if !ok || p.router != router {
			unknown = append(unknown, id)
			continue
		}
		p.expires = now.Add(g.config.HoldTime)
		g.permits[id] = p
	}
	return unknown
}

// Adopt adds the permits that a router holds from a former owner. A permit that
// is already known is only extended. Adopted permits are added even above the
// limit, because their work is already running. Like new permits, they expire after
// FirstHoldTime unless renewed: the router may have released them while its message with
// the permits was on the way.
func (g *Gate) Adopt(now time.Time, router string, held []api.HeldPermit) {
	delete(g.lostRouters, router)
	for _, h := range held {
		p, known := g.permits[h.Permit]
		if !known {
			p = permit{workspace: h.Workspace}
			g.queue.addInflight(h.Workspace)
		}
		p.router = router
		if until := now.Add(g.config.FirstHoldTime); until.After(p.expires) {
			p.expires = until
		}
		g.permits[h.Permit] = p
		if !known && !p.granted.Before(g.report.cutoff) {
			g.report.grantedSince++
		}
	}
}

// RouterLost records that membership declared a router lost. The router's permits are
// dropped once a report shows that their work has ended. The report must have been
// measured when no work could start on these permits any more. Without such a report
// they expire at the end of their hold time.
func (g *Gate) RouterLost(now time.Time, router string) {
	g.lostRouters[router] = now
}

// dropPermitsOfLostRouters drops the permits of lost routers if the report shows no
// more work than the permits of the other routers account for. A router can be declared
// lost by mistake. It may then still start work for the time Config.StartBy after it
// was declared lost. So only a report that was measured later than that is used.
func (g *Gate) dropPermitsOfLostRouters() {
	if len(g.lostRouters) == 0 {
		return
	}
	for _, at := range g.lostRouters {
		if !g.report.measured.After(at.Add(g.config.StartBy)) {
			return
		}
	}
	live := 0
	for _, p := range g.permits {
		if _, lost := g.lostRouters[p.router]; !lost {
			live++
		}
	}
	if g.reportedWork() > live {
		return
	}
	for id, p := range g.permits {
		if _, lost := g.lostRouters[p.router]; lost {
			g.removePermit(id, p)
		}
	}
	clear(g.lostRouters)
}

// HeldPermits returns all permits in use, in no particular order.
func (g *Gate) HeldPermits() []HeldPermit {
	held := make([]HeldPermit, 0, len(g.permits))
	for id, p := range g.permits {
		held = append(held, HeldPermit{PermitID: id, Workspace: p.workspace, Router: p.router})
	}
	return held
}
