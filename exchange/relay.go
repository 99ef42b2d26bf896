package exchange

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamproxy/hornbeamproxy/mirror"
)

const (
	// relayCount is the number of relays: a disruption that hits a part of the
	// routers should leave one in touch with the store.
	relayCount = 3
	// headAge is the age up to which what a relay announced counts, and the silence
	// after which another router takes its place.
	headAge = 900 * time.Millisecond
	// backupDelay is how long a relay waits for the first relay to pass on what
	// it has seen itself.
	backupDelay = 300 * time.Millisecond
	// maxPending bounds the news that a backup relay holds.
	maxPending = 32
)

type pendingNews struct {
	news mirror.News
	at   time.Time
}

var _ mirror.Peers = (*Exchange)(nil)

// rankNow returns the number of relays before this router. Routers become relays in
// the order of compareOrder. One that is heard as a relay counts, and so does one that
// has just become due; one that is due and silent is passed over. Callers hold e.mu.
func (e *Exchange) rankNow(now time.Time) int {
	rank := 0
	for _, p := range e.before {
		if rank >= relayCount {
			p.expectedAt = time.Time{}
			continue
		}
		if p.expectedAt.IsZero() {
			p.expectedAt = now
		}
		if now.Sub(p.relayAt) < headAge || now.Sub(p.expectedAt) < headAge {
			rank++
		}
	}
	return rank
}

// compareOrder puts routers with the larger link first, since a relay sends news to
// all, and then orders by hash: relays lie in several zones although the routers of a
// zone have similar names.
func compareOrder(a, b *peer) int {
	return cmp.Or(
		cmp.Compare(b.link, a.link),
		cmp.Compare(xxhash.Sum64String(a.id), xxhash.Sum64String(b.id)),
		cmp.Compare(a.id, b.id),
	)
}

// Relay implements mirror.Peers. A router that has not found the others yet
// watches the store itself.
func (e *Exchange) Relay() (relay, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rank < relayCount, e.rank == 0
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
		e.broadcast(&message{Router: e.config.Router, News: &news})
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
	for _, p := range e.before {
		if p.heads[news.Kind].Changed >= news.To {
			return true
		}
	}
	return false
}
