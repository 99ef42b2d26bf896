package records

import (
	"sort"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	// maxCopiesPerOrigin bounds the copies held for one router. A router creates a
	// few records a minute during an outage, so this covers hours.
	maxCopiesPerOrigin = 256
	// maxCopyOrigins bounds the number of routers for which this router holds copies of
	// records. Each router sends its copies to two peers, so a router holds those of two
	// others on average. 32 allows for an uneven distribution.
	maxCopyOrigins = 32
)

// PeerCopies holds copies of other routers' records until they are in the object
// API. It is not safe for concurrent use.
type PeerCopies struct {
	origins map[string]*origin
}

// origin holds the copies of one router's records.
type origin struct {
	records map[string]api.Record
	// waitingSince is when the oldest copy was received, or when RemoveStored was last
	// called. Further copies do not change it: a router that alone cannot reach the
	// object API keeps sending copies, and its peers must still write them in time.
	waitingSince time.Time
}

// NewPeerCopies returns PeerCopies without copies.
func NewPeerCopies() *PeerCopies { return &PeerCopies{origins: map[string]*origin{}} }

// Add adds the records of a batch to the copies held for batch.Router, and returns
// how many copies were dropped for lack of space. Errors: ErrInvalidBatch.
func (h *PeerCopies) Add(batch api.RecordBatch, now time.Time) (dropped int, err error) {
	if err := checkBatch(batch); err != nil {
		return 0, err
	}
	if len(batch.Records) == 0 {
		return 0, nil
	}
	o := h.origins[batch.Router]
	if o == nil {
		if len(h.origins) >= maxCopyOrigins {
			return len(batch.Records), nil
		}
		o = &origin{records: map[string]api.Record{}, waitingSince: now}
		h.origins[batch.Router] = o
	}
	recordSet{byID: o.records}.add(batch.Records...)
	for len(o.records) > maxCopiesPerOrigin {
		o.dropOldest()
		dropped++
	}
	return dropped, nil
}

func (o *origin) dropOldest() {
	oldest := ""
	for id, record := range o.records {
		if oldest == "" || record.Sequence < o.records[oldest].Sequence {
			oldest = id
		}
	}
	delete(o.records, oldest)
}

// DueRouters returns the routers whose copies have been held for at least the duration
// wait, counted from their WaitingSince, in the order of their names.
func (h *PeerCopies) DueRouters(now time.Time, wait time.Duration) []string {
	var due []string
	for router, o := range h.origins {
		if now.Sub(o.waitingSince) >= wait {
			due = append(due, router)
		}
	}
	sort.Strings(due)
	return due
}

// WaitingSince returns the time since which the copies held for a router have waited to
// be written, or the zero time if there are none.
func (h *PeerCopies) WaitingSince(router string) time.Time {
	if o := h.origins[router]; o != nil {
		return o.waitingSince
	}
	return time.Time{}
}

// Batch returns the copies held for a router, least recently changed first, as
// many as fit into maxBytes of encoded size.
func (h *PeerCopies) Batch(router string, maxBytes int) api.RecordBatch {
	return packBatch(router, h.Records(router), maxBytes)
}

// Records returns the copies held for a router in the order of their ids.
func (h *PeerCopies) Records(router string) []api.Record {
	o := h.origins[router]
	if o == nil {
		return nil
	}
	return recordSet{byID: o.records}.sorted()
}

// RemoveStored removes the copies that are no longer needed because stored contains the
// same record in the same or a newer form. stored holds the router's records in the
// object API. The wait of the remaining copies starts again at now.
func (h *PeerCopies) RemoveStored(router string, now time.Time, stored []api.Record) {
	o := h.origins[router]
	if o == nil {
		return
	}
	for _, record := range stored {
		if copied, ok := o.records[record.ID]; ok && copied.Sequence <= record.Sequence {
			delete(o.records, record.ID)
		}
	}
	o.waitingSince = now
	if len(o.records) == 0 {
		delete(h.origins, router)
	}
}
