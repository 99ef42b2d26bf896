package records

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

// Flush writes all records, or sends them to two peers if the object API does
// not take them. Records that neither took are counted, logged and returned as an
// error.
func (k *Keeper) Flush(ctx context.Context) error {
	k.work.Lock()
	defer k.work.Unlock()
	now := k.opts.Now()
	k.count(now, true)
	err := k.flushOwn(ctx, now)
	for _, router := range k.heldRouters() {
		if err == nil {
			err = k.writeHeldOf(ctx, now, router, func() bool { return true })
		}
		if err != nil {
			k.passOn(ctx, router)
		}
	}
	if err == nil {
		return nil
	}
	return k.sendAll(ctx, err)
}

func (k *Keeper) flushOwn(ctx context.Context, now time.Time) error {
	for failures := 0; ; {
		if k.pending == nil {
			k.pending = k.nextBatch(now)
		}
		if k.pending == nil {
			return nil
		}
		err := k.writePending(ctx, now)
		if err == nil {
			continue
		}
		failures++
		again := errors.Is(err, objectstore.ErrAmbiguous) || errors.Is(err, errKeyTaken)
		if !again || failures == shutdownTries || !timing.Pause(ctx, shutdownPause) {
			return err
		}
	}
}

func (k *Keeper) heldRouters() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held.Due(k.opts.Now(), 0)
}

// passOn sends the copies held for a router to two peers.
func (k *Keeper) passOn(ctx context.Context, router string) {
	k.mu.Lock()
	list := k.held.Records(router)
	k.mu.Unlock()
	k.sendToPeers(ctx, router, list)
}

// sendToPeers sends records of one router to the peers other than it, and
// returns how many copies of each id were taken.
func (k *Keeper) sendToPeers(ctx context.Context, router string, list []api.Record) map[string]int {
	copies := map[string]int{}
	wanted := 0
	for _, peer := range k.opts.Peers() {
		if peer == router {
			continue
		}
		wanted++
		for _, record := range k.sendList(ctx, peer, router, list) {
			copies[record.ID]++
		}
	}
	for _, record := range list {
		if copies[record.ID] < wanted {
			k.opts.Metrics.Counter("records.missing_copies").Inc(1)
		}
	}
	return copies
}

// sendList sends records of one router in messages of bounded size, until one is
// not taken, and returns what was sent.
func (k *Keeper) sendList(ctx context.Context, peer, router string, list []api.Record) []api.Record {
	var sent []api.Record
	for len(sent) < len(list) {
		batch := packBatch(router, list[len(sent):], shutdownMessageBytes)
		if len(batch.Records) == 0 || !k.sendRepeatedly(ctx, peer, batch) {
			break
		}
		sent = append(sent, batch.Records...)
	}
	return sent
}

// sendRepeatedly tries again after a pause, because a full queue empties soon and
// there is no later chance at shutdown.
func (k *Keeper) sendRepeatedly(ctx context.Context, peer string, batch api.RecordBatch) bool {
	for try := 1; ; try++ {
		if k.send(peer, batch) {
			return true
		}
		if try == shutdownTries || !timing.Pause(ctx, shutdownPause) {
			return false
		}
	}
}

// sendAll sends all unwritten records to two peers at shutdown. cause is why
// they could not be written.
func (k *Keeper) sendAll(ctx context.Context, cause error) error {
	k.mu.Lock()
	unsaved := k.book.Batch(math.MaxInt).Records
	k.mu.Unlock()
	copies := k.sendToPeers(ctx, k.opts.Router, unsaved)
	lost := len(unsaved) - len(copies)
	if lost == 0 {
		return nil
	}
	k.opts.Metrics.Counter("records.lost").Inc(int64(lost))
	for _, record := range unsaved {
		if copies[record.ID] == 0 {
			k.opts.Logger.Error("record lost at shutdown", zap.Any("record", record))
		}
	}
	return fmt.Errorf("%d records lost at shutdown: %w", lost, cause)
}
