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
// the object API does not accept is sent to two peers. If there are records of this
// router that neither the object API nor a peer accepted, they are counted and logged,
// and Flush returns an error.
func (r *Recorder) Flush(ctx context.Context) error {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	now := r.opts.Now()
	r.recordCounts(now, true)
	err := r.flushOwn(ctx, now)
	for _, router := range r.copyOrigins() {
		if err == nil {
			err = r.writeCopiesOf(ctx, now, router, func() bool { return true })
		}
		if err != nil {
			r.handOverCopies(ctx, router)
		}
	}
	if err == nil {
		return nil
	}
	return r.handOverUnwritten(ctx, err)
}

// flushOwn writes this router's unwritten records. It gives up after shutdownTries failed
// attempts, and at once if an error is neither an unknown outcome nor a taken key.
func (r *Recorder) flushOwn(ctx context.Context, now time.Time) error {
	for failures := 0; ; {
		if r.pending == nil {
			r.pending = r.nextBatch(now)
		}
		if r.pending == nil {
			return nil
		}
		err := r.writePending(ctx, now)
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

// copyOrigins returns the routers for which this router holds copies of records.
func (r *Recorder) copyOrigins() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerCopies.DueRouters(r.opts.Now(), 0)
}

// handOverCopies sends the copies held for a router to other peers.
func (r *Recorder) handOverCopies(ctx context.Context, router string) {
	r.mu.Lock()
	list := r.peerCopies.Records(router)
	r.mu.Unlock()
	r.sendToPeers(ctx, router, list)
}

// sendToPeers sends records of one router to the peers, except to that router. It
// returns, by record id, the number of copies that were sent.
func (r *Recorder) sendToPeers(ctx context.Context, router string, list []api.Record) map[string]int {
	copies := map[string]int{}
	wanted := 0
	for _, peer := range r.opts.Peers() {
		if peer == router {
			continue
		}
		wanted++
		for _, record := range r.sendInBatches(ctx, peer, router, list) {
			copies[record.ID]++
		}
	}
	for _, record := range list {
		if copies[record.ID] < wanted {
			r.opts.Metrics.Counter("records.missing_copies").Inc(1)
		}
	}
	return copies
}

// sendInBatches sends records of one router in messages of bounded size until one
// cannot be sent, and returns the records that were sent.
func (r *Recorder) sendInBatches(ctx context.Context, peer, router string, list []api.Record) []api.Record {
	var sent []api.Record
	for len(sent) < len(list) {
		batch := packBatch(router, list[len(sent):], shutdownMessageBytes)
		if len(batch.Records) == 0 || !r.sendWithRetry(ctx, peer, batch) {
			break
		}
		sent = append(sent, batch.Records...)
	}
	return sent
}

// sendWithRetry repeats a failed send after a pause, because a full send queue
// drains quickly and the message cannot be sent later at shutdown.
func (r *Recorder) sendWithRetry(ctx context.Context, peer string, batch api.RecordBatch) bool {
	for try := 1; ; try++ {
		if r.send(peer, batch) {
			return true
		}
		if try == shutdownTries || !timing.Pause(ctx, shutdownPause) {
			return false
		}
	}
}

// handOverUnwritten sends all unwritten records to two peers at shutdown. If there are
// records that no peer accepted, it returns an error that wraps cause, the error of
// the failed write.
func (r *Recorder) handOverUnwritten(ctx context.Context, cause error) error {
	r.mu.Lock()
	unwritten := r.local.Batch(math.MaxInt).Records
	r.mu.Unlock()
	copies := r.sendToPeers(ctx, r.opts.Router, unwritten)
	lost := len(unwritten) - len(copies)
	if lost == 0 {
		return nil
	}
	r.opts.Metrics.Counter("records.lost").Inc(int64(lost))
	for _, record := range unwritten {
		if copies[record.ID] == 0 {
			r.opts.Logger.Error("record lost at shutdown", zap.Any("record", record))
		}
	}
	return fmt.Errorf("%d records lost at shutdown: %w", lost, cause)
}
