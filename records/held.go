package records

import (
	"sort"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	// maxHeldRecords bounds the copies held for one router. A router makes a few
	// records a minute in an outage, so this covers hours.
	maxHeldRecords = 256
	// maxHeldOrigins bounds the routers that copies are held for. Each router
	// sends to two peers, so the mean is two; this allows for uneven choices.
	maxHeldOrigins = 32
)

// Held keeps copies of other routers' records until they are in the object API.
// It is not safe for concurrent use.
type Held struct {
	origins map[string]*origin
}

type origin struct {
	records map[string]api.Record
	// first is the receipt of the oldest copy. Copies that follow do not move it,
	// so that a router which alone cannot reach the object API still gets its
	// records written by its peers.
	first time.Time
}

// NewHeld returns an empty set of copies.
func NewHeld() *Held { return &Held{origins: map[string]*origin{}} }

// Take adds the copies of a batch under their origin and returns how many copies
// were dropped for lack of room. Errors: ErrInvalidBatch.
func (h *Held) Take(batch api.RecordBatch, now time.Time) (dropped int, err error) {
	if err := checkBatch(batch); err != nil {
		return 0, err
	}
	if len(batch.Records) == 0 {
		return 0, nil
	}
	o := h.origins[batch.Router]
	if o == nil {
		if len(h.origins) >= maxHeldOrigins {
			return len(batch.Records), nil
		}
		o = &origin{records: map[string]api.Record{}, first: now}
		h.origins[batch.Router] = o
	}
	recordSet{byID: o.records}.add(batch.Records...)
	for len(o.records) > maxHeldRecords {
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

// Due lists the routers whose oldest copy was received at least wait ago.
func (h *Held) Due(now time.Time, wait time.Duration) []string {
	var due []string
	for router, o := range h.origins {
		if now.Sub(o.first) >= wait {
			due = append(due, router)
		}
	}
	sort.Strings(due)
	return due
}

// Since returns when the oldest copy of a router was received.
func (h *Held) Since(router string) time.Time {
	if o := h.origins[router]; o != nil {
		return o.first
	}
	return time.Time{}
}

// Batch returns copies held for a router within maxBytes of encoded size.
func (h *Held) Batch(router string, maxBytes int) api.RecordBatch {
	return packBatch(router, h.Records(router), maxBytes)
}

// Records returns the copies held for a router.
func (h *Held) Records(router string) []api.Record {
	o := h.origins[router]
	if o == nil {
		return nil
	}
	return recordSet{byID: o.records}.sorted()
}

// Stored drops the copies that the object API holds in the same or a newer form.
// Copies that came meanwhile wait anew from now.
func (h *Held) Stored(router string, now time.Time, stored []api.Record) {
	o := h.origins[router]
	if o == nil {
		return
	}
	for _, record := range stored {
		if held, ok := o.records[record.ID]; ok && held.Sequence <= record.Sequence {
			delete(o.records, record.ID)
		}
	}
	o.first = now
	if len(o.records) == 0 {
		delete(h.origins, router)
	}
}
