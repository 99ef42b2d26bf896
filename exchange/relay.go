package exchange

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamproxy/hornbeamproxy/mirror"
)

const (
	// relayCount is the number of relays. There are several so that an outage that
	// affects a part of the routers leaves one connected to the store.
	relayCount = 3
	// relayTimeout is the time after a relay's last datagram at which its heads expire
	// and another router takes its place.
	relayTimeout = 900 * time.Millisecond
	// backupDelay is how long a backup relay holds back changes that it has read from
	// the store, so that a relay of a lower rank can forward them. All relays but the
	// one of rank 0 are backup relays.
	backupDelay = 300 * time.Millisecond
	// maxPending bounds the number of batches that a backup relay holds back. Beyond
	// it, the oldest is dropped.
	maxPending = 32
)

// pendingBatch is a batch that a backup relay holds back.
type pendingBatch struct {
	batch mirror.Batch
	at    time.Time // when Publish was called
}

var _ mirror.Peers = (*Exchange)(nil)

// computeRank returns this router's rank, the number of relays among its predecessors, and
// updates the expectedAt of the predecessors. Routers become relays in the order of
// compareRelayOrder. A peer counts as a relay if its last message as a relay arrived less
// than relayTimeout ago, or if it has been expected to be one for less than relayTimeout.
// All other peers are skipped, so that the next routers in the order take their place.
// Callers hold e.mu.
func (e *Exchange) computeRank(now time.Time) int {
	rank := 0
	for _, p := range e.predecessors {
		if rank >= relayCount {
			p.expectedAt = time.Time{}
			continue
		}
		if p.expectedAt.IsZero() {
			p.expectedAt = now
		}
		if now.Sub(p.relayAt) < relayTimeout || now.Sub(p.expectedAt) < relayTimeout {
			rank++
		}
	}
	return rank
}

// compareRelayOrder orders routers by descending link capacity, since a relay sends
// batches to all others, and then by the hash of their ids. The hash spreads the relays
// over several zones although the routers of a zone have similar names.
func compareRelayOrder(a, b *peer) int {
	return cmp.Or(
		cmp.Compare(b.linkMbps, a.linkMbps),
		cmp.Compare(xxhash.Sum64String(a.id), xxhash.Sum64String(b.id)),
		cmp.Compare(a.id, b.id),
	)
}

// RelayRole implements mirror.Peers. A router that does not know any other is no relay.
func (e *Exchange) RelayRole() (relay, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := len(e.peers) > 0
	return known && e.rank < relayCount, known && e.rank == 0
}

// RelayRank returns the number of relays that come before this router: relayCount if it is none, or
// if the routers are not known yet.
func (e *Exchange) RelayRank() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.routers == nil {
		return relayCount
	}
	return e.rank
}

// RelaysHeard implements mirror.Peers.
func (e *Exchange) RelaysHeard() bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if now.Sub(p.relayAt) < relayTimeout {
			return true
		}
	}
	return false
}

// RelayHead implements mirror.Peers.
func (e *Exchange) RelayHead(kind string) mirror.Head {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var newest mirror.Head
	for _, p := range e.peers {
		head := p.heads[kind]
		if now.Sub(p.headsAt) >= relayTimeout || !head.Fresh {
			continue
		}
		newest.Fresh = true
		newest.Changed = max(newest.Changed, head.Changed)
		if head.AnsweredAt.After(newest.AnsweredAt) {
			newest.AnsweredAt = head.AnsweredAt
		}
	}
	return newest
}

// headsToSend returns the heads with their AgeMS.
func headsToSend(now time.Time, heads map[string]mirror.Head) map[string]mirror.Head {
	sent := make(map[string]mirror.Head, len(heads))
	for kind, head := range heads {
		head.AgeMS = uint32(ageMS(now, head.AnsweredAt, math.MaxUint32))
		sent[kind] = head
	}
	return sent
}

// receivedHeads returns the heads of a message with their AnsweredAt.
func receivedHeads(now time.Time, heads map[string]mirror.Head) map[string]mirror.Head {
	known := make(map[string]mirror.Head, len(heads))
	for kind, head := range heads {
		head.AnsweredAt = timeOfAge(now, head.AgeMS)
		known[kind] = head
	}
	return known
}

// Announce implements mirror.Peers.
func (e *Exchange) Announce(kind string, head mirror.Head) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heads[kind] = head
}

// Publish implements mirror.Peers. The relay of rank 0 sends a batch at once. Any other
// relay holds it back for backupDelay. It then sends the batch only if no relay of a lower
// rank has announced the changes meanwhile.
func (e *Exchange) Publish(batch mirror.Batch) {
	e.mu.Lock()
	first := e.rank == 0
	if !first {
		if len(e.pending) == maxPending {
			e.pending = e.pending[1:]
		}
		e.pending = append(e.pending, pendingBatch{batch: batch, at: time.Now()})
	}
	e.mu.Unlock()
	if first {
		e.broadcastBatch(&batch)
	}
}

// overdueBatches drops the pending batches that a relay of a lower rank has announced. It
// removes and returns the others that have been held back for at least backupDelay.
// Callers hold e.mu.
func (e *Exchange) overdueBatches(now time.Time) []mirror.Batch {
	var late []mirror.Batch
	kept := e.pending[:0]
	for _, pending := range e.pending {
		switch {
		case e.announcedByPredecessor(pending.batch):
		case now.Sub(pending.at) < backupDelay:
			kept = append(kept, pending)
		default:
			late = append(late, pending.batch)
		}
	}
	e.pending = kept
	return late
}

// announcedByPredecessor reports whether a relay of a lower rank has announced a head that
// includes all changes of the batch. Callers hold e.mu.
func (e *Exchange) announcedByPredecessor(batch mirror.Batch) bool {
	for _, p := range e.predecessors {
		if p.heads[batch.Kind].Changed >= batch.To {
			return true
		}
	}
	return false
}
