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
		expires:   now.Add(g.config.FirstHold),
	}
	g.report.grantedSince++
	g.queue.started(r.Workspace)
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

// nextID skips ids in use, which exist if a former owner had the same nonce.
func (g *Gate) nextID() uint64 {
	for {
		g.counter++
		id := uint64(g.config.Nonce)<<32 | uint64(g.counter)
		if _, used := g.permits[id]; !used && id != 0 {
			return id
		}
	}
}

// Release returns a permit. A permit that is not known is ignored. Permit 0 with
// a moved chat only records the move.
func (g *Gate) Release(now time.Time, id uint64, info ReleaseInfo) []Outcome {
	g.recordMove(info)
	p, ok := g.permits[id]
	if !ok {
		return nil
	}
	g.remove(id, p)
	if !info.Failed {
		g.noteReturned(now, p)
		if !p.granted.IsZero() {
			g.service.add(now.Sub(p.granted))
		}
		g.warmth.answered(info.FirstToken)
		if g.firstTokenSlow(now, info.FirstToken) {
			g.turnCold(now)
		}
	}
	return g.drain(now)
}

// noteReturned keeps a permit that the next reports may still count. Work that
// failed may go on at the endpoint, so the caller leaves it out.
func (g *Gate) noteReturned(now time.Time, p permit) {
	if len(g.report.returned) < maxReturned {
		g.report.returned = append(g.report.returned, returnedPermit{granted: p.granted, at: now})
	}
}

// returnedSince counts the returned permits whose work the report includes. A
// cold endpoint's limit is exact, so nothing is taken off its report.
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

func (g *Gate) remove(id uint64, p permit) {
	delete(g.permits, id)
	g.queue.finished(p.workspace)
	if !p.granted.Before(g.report.cutoff) {
		g.report.grantedSince--
	}
}

// Renew extends the hold time of a router's permits. It returns those that are
// not known, which the router sends again with Adopt.
func (g *Gate) Renew(now time.Time, router string, permits []uint64) (unknown []uint64) {
	delete(g.lost, router)
	for _, id := range permits {
		p, ok := g.permits[id]
		if !ok || p.router != router {
			unknown = append(unknown, id)
			continue
		}
		p.expires = now.Add(g.config.Hold)
		g.permits[id] = p
	}
	return unknown
}

// Adopt counts the permits that a router holds from a former owner. A permit
// that is already counted is only extended. Adopted permits are counted even above
// the limit, because their work runs; like new ones they lapse soon if they are
// not renewed, since their release may have crossed the adoption.
func (g *Gate) Adopt(now time.Time, router string, held []api.HeldPermit) {
	delete(g.lost, router)
	for _, h := range held {
		p, known := g.permits[h.Permit]
		if !known {
			p = permit{workspace: h.Workspace}
			g.queue.started(h.Workspace)
		}
		p.router = router
		if until := now.Add(g.config.FirstHold); until.After(p.expires) {
			p.expires = until
		}
		g.permits[h.Permit] = p
		if !known && !p.granted.Before(g.report.cutoff) {
			g.report.grantedSince++
		}
	}
}

// RouterLost says that membership declared a router dead. Its permits are
// dropped as soon as a report, measured after no work can start on them, shows
// that their work has ended; otherwise they lapse with their hold time.
func (g *Gate) RouterLost(now time.Time, router string) {
	g.lost[router] = now
}

// dropLost drops the permits of dead routers if the report shows no more work
// than the other routers have. A router that was declared dead by mistake may
// still start work for the start-by time.
func (g *Gate) dropLost() {
	if len(g.lost) == 0 {
		return
	}
	for _, at := range g.lost {
		if !g.report.measured.After(at.Add(g.config.StartBy)) {
			return
		}
	}
	living := 0
	for _, p := range g.permits {
		if _, dead := g.lost[p.router]; !dead {
			living++
		}
	}
	if g.reportedWork() > living {
		return
	}
	for id, p := range g.permits {
		if _, dead := g.lost[p.router]; dead {
			g.remove(id, p)
		}
	}
	clear(g.lost)
}

// Held returns the permits in use, in no particular order.
func (g *Gate) Held() []Held {
	held := make([]Held, 0, len(g.permits))
	for id, p := range g.permits {
		held = append(held, Held{Permit: id, Workspace: p.workspace, Router: p.router})
	}
	return held
}
