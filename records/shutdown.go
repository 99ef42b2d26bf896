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

// Flush writes all unwritten records and the copies held for other routers. What
// the object API does not accept is sent to two peers. Records of this router that
// neither accepted are counted and logged, and Flush returns an error.
func (k *Keeper) Flush(ctx context.Context) error {
	k.stepMu.Lock()
	defer k.stepMu.Unlock()
	now := k.opts.Now()
	k.recordCounts(now, true)
	err := k.flushOwn(ctx, now)
	for _, router := range k.copyOrigins() {
		if err == nil {
			err = k.writeCopiesOf(ctx, now, router, func() bool { return true })
		}
		if err != nil {
			k.handOverCopies(ctx, router)
		}
	}
	if err == nil {
		return nil
	}
	return k.handOverUnwritten(ctx, err)
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

func (k *Keeper) copyOrigins() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.peerCopies.Due(k.opts.Now(), 0)
}

// handOverCopies sends the copies held for a router to other peers.
func (k *Keeper) handOverCopies(ctx context.Context, router string) {
	k.mu.Lock()
	list := k.peerCopies.Records(router)
	k.mu.Unlock()
	k.sendToPeers(ctx, router, list)
}

// sendToPeers sends records of one router to the peers, except to that router, and
// returns the number of copies sent by record id.
func (k *Keeper) sendToPeers(ctx context.Context, router string, list []api.Record) map[string]int {
	copies := map[string]int{}
	wanted := 0
	for _, peer := range k.opts.Peers() {
		if peer == router {
			continue
		}
		wanted++
		for _, record := range k.sendInBatches(ctx, peer, router, list) {
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

// sendInBatches sends records of one router in messages of bounded size until one
// cannot be sent, and returns the records that were sent.
func (k *Keeper) sendInBatches(ctx context.Context, peer, router string, list []api.Record) []api.Record {
	var sent []api.Record
	for len(sent) < len(list) {
		batch := packBatch(router, list[len(sent):], shutdownMessageBytes)
		if len(batch.Records) == 0 || !k.sendWithRetry(ctx, peer, batch) {
			break
		}
		sent = append(sent, batch.Records...)
	}
	return sent
}

// sendWithRetry repeats a failed send after a pause, because a full send queue
// drains quickly and the message cannot be sent later at shutdown.
func (k *Keeper) sendWithRetry(ctx context.Context, peer string, batch api.RecordBatch) bool {
	for try := 1; ; try++ {
		if k.send(peer, batch) {
			return true
		}
		if try == shutdownTries || !timing.Pause(ctx, shutdownPause) {
			return false
		}
	}
}

// handOverUnwritten sends all unwritten records to two peers at shutdown. cause is
// the error with which they could not be written; the error returned for records
// that no peer accepted wraps it.
func (k *Keeper) handOverUnwritten(ctx context.Context, cause error) error {
	k.mu.Lock()
	unwritten := k.local.Batch(math.MaxInt).Records
	k.mu.Unlock()
	copies := k.sendToPeers(ctx, k.opts.Router, unwritten)
	lost := len(unwritten) - len(copies)
	if lost == 0 {
		return nil
	}
	k.opts.Metrics.Counter("records.lost").Inc(int64(lost))
	for _, record := range unwritten {
		if copies[record.ID] == 0 {
			k.opts.Logger.Error("record lost at shutdown", zap.Any("record", record))
		}
	}
	return fmt.Errorf("%d records lost at shutdown: %w", lost, cause)
}
