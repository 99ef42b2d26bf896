package exchange

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamproxy/hornbeamproxy/mirror"
)

const (
	// fewRelays is the number of relays of a small fleet and manyRelays of one
	// with more than beatRouters routers: a disruption that hits a part of the
	// routers should leave one relay in touch.
	fewRelays  = 3
	manyRelays = 4
)

func relays(routers int) int {
	if routers > beatRouters {
		return manyRelays
	}
	return fewRelays
}

// rankNow returns the number of living routers that are relays before this one.
// All routers agree on it as far as they agree on who lives.
func (e *Exchange) rankNow(now time.Time) int {
	own := order(e.config.Router)
	rank := 0
	for id, p := range e.peers {
		if other := order(id); e.alive(p, now) && (other < own || other == own && id < e.config.Router) {
			rank++
		}
	}
	return rank
}

// order returns a router's place among the relays. By hash, relays lie in several
// zones although the routers of a zone have similar names.
func order(router string) uint64 { return xxhash.Sum64String(router) }

// Relay implements mirror.Peers. A router that has not found the others yet
// watches the store itself.
func (e *Exchange) Relay() (relay, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rank < relays(len(e.peers)+1), e.rank == 0
}

// Head implements mirror.Peers.
func (e *Exchange) Head(kind string) (uint64, bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var changed uint64
	found := false
	for _, p := range e.peers {
		if now.Sub(p.headsAt) >= headAge {
			continue
		}
		if head := p.heads[kind]; head.Fresh {
			found = true
			changed = max(changed, head.Changed)
		}
	}
	return changed, found
}

// Announce implements mirror.Peers.
func (e *Exchange) Announce(kind string, head mirror.Head) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heads[kind] = head
}

// Publish implements mirror.Peers. The first relay sends news at once; the others
// hold them until it should have announced them.
func (e *Exchange) Publish(news mirror.News) {
	e.mu.Lock()
	first := e.rank == 0
	if !first {
		if len(e.pending) == maxPending {
			e.pending = e.pending[1:]
		}
		e.pending = append(e.pending, pendingNews{news: news, at: time.Now()})
	}
	e.mu.Unlock()
	if first {
		e.broadcast(message{Router: e.config.Router, News: &news})
	}
}

// lateNews returns the news that no relay has announced in time. Callers hold
// e.mu.
func (e *Exchange) lateNews(now time.Time) []mirror.News {
	var late []mirror.News
	kept := e.pending[:0]
	for _, pending := range e.pending {
		switch {
		case e.announced(pending.news):
		case now.Sub(pending.at) < backupDelay:
			kept = append(kept, pending)
		default:
			late = append(late, pending.news)
		}
	}
	e.pending = kept
	return late
}

// announced reports whether a relay before this one has the news. Callers hold
// e.mu.
func (e *Exchange) announced(news mirror.News) bool {
	own := order(e.config.Router)
	for id, p := range e.peers {
		if order(id) < own && p.heads[news.Kind].Changed >= news.To {
			return true
		}
	}
	return false
}
