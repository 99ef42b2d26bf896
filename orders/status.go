package orders

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// StatusKey is the key of the status object, which lists the steps that are not done.
const StatusKey = "status/orders"

const (
	statusTimeout = 2 * time.Second
	// maxSteps and maxReasonBytes bound the status object to about 350 KB, with endpoint
	// ids of up to 128 bytes. 600 endpoints take at most 210 KB.
	maxSteps       = 1000
	maxReasonBytes = 200
)

// statusWriter is the state of writing the status object. It belongs to the goroutine
// of Run.
type statusWriter struct {
	writing   bool
	lastWrite time.Time
	written   api.OrderStatus
	// version is that of the object; 0 if the object must be read first.
	version uint64
}

// writeStatus writes the status in a goroutine if it has changed, at most one write at
// a time and one per StatusInterval.
func (c *Controller) writeStatus(ctx context.Context, now time.Time, revision uint64, steps []Step) {
	w := &c.status
	if w.writing || now.Sub(w.lastWrite) < c.config.StatusInterval {
		return
	}
	status := encodeSteps(steps)
	status.Revision, status.Router, status.Term = revision, c.config.Router, c.progress.Term()
	if sameStatus(status, w.written) {
		return
	}
	w.writing, w.lastWrite = true, now
	version := w.version
	c.wg.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		newVersion, err := c.putStatus(callCtx, status, version)
		if err != nil && ctx.Err() == nil {
			c.config.OnError(fmt.Errorf("orders: writing %s: %w", StatusKey, err))
		}
		c.post(ctx, func() {
			w.writing, w.version = false, newVersion
			if err == nil {
				w.written = status
			}
		})
	})
}

// errNewerStatus is returned if the stored status is from a later term.
var errNewerStatus = errors.New("the stored status is from a later term")

// putStatus writes the status by a conditional write and returns its version. It returns
// version 0 after a failure, so that the object is read again before the next write.
func (c *Controller) putStatus(ctx context.Context, status api.OrderStatus, version uint64) (uint64, error) {
	if version == 0 {
		stored, at, err := c.readStatus(ctx)
		if err != nil {
			return 0, err
		}
		if stored.Term > status.Term {
			return 0, errNewerStatus
		}
		version = at
	}
	value, err := cbor.Marshal(status)
	if err != nil {
		return 0, err
	}
	newVersion, err := c.config.Store.Put(ctx, StatusKey, value, version)
	if err != nil {
		return 0, err
	}
	return newVersion, nil
}

// readStatus returns the stored status and its version; version 0 if there is none.
func (c *Controller) readStatus(ctx context.Context) (api.OrderStatus, uint64, error) {
	var status api.OrderStatus
	object, err := c.config.Store.Get(ctx, StatusKey)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		return status, 0, nil
	case err != nil:
		return status, 0, err
	}
	err = cbor.Unmarshal(object.Value, &status)
	return status, object.Version, err
}

// encodeSteps returns the status for the steps that are not done, up to maxSteps.
func encodeSteps(steps []Step) api.OrderStatus {
	status := api.OrderStatus{Steps: []api.OrderStep{}}
	for _, step := range steps {
		switch {
		case step.State == StepDone:
		case len(status.Steps) == maxSteps:
			status.Omitted++
		default:
			status.Steps = append(status.Steps, api.OrderStep{
				Endpoint: step.Name, Failed: step.State == StepFailed, Reason: truncateReason(step.Reason),
			})
		}
	}
	return status
}

// truncateReason bounds the length of a reason and makes it valid UTF-8, as CBOR text
// requires. A reason may quote an endpoint's response.
func truncateReason(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
}

func sameStatus(a, b api.OrderStatus) bool {
	return a.Revision == b.Revision && a.Term == b.Term && a.Omitted == b.Omitted && slices.Equal(a.Steps, b.Steps)
}

// Status returns one step for each endpoint that gets orders, as the lease holder last
// wrote them to the object API. It works at any router. It returns a single waiting step
// if the written status cannot be read, is older than revision, or is older than the
// newest revision that this router has applied. Status is safe for concurrent use.
func (c *Controller) Status(revision uint64) []Step {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, version, err := c.readStatus(ctx)
	view := c.config.View()
	// A status of an older revision lacks the endpoints that were added later. They must
	// not count as done.
	revision = max(revision, view.Revision())
	switch {
	case err != nil:
		return []Step{{Name: "orders", State: StepWaiting, Reason: "status can't be read: " + err.Error()}}
	case version == 0 || status.Revision < revision:
		return []Step{{Name: "orders", State: StepWaiting, Reason: "the endpoints were not compared with this revision yet"}}
	}
	open := make(map[string]api.OrderStep, len(status.Steps))
	for _, step := range status.Steps {
		open[step.Endpoint] = step
	}
	endpoints := view.State().Endpoints
	var steps []Step
	for i := range endpoints {
		if _, ok := desiredFor(view, &endpoints[i]); ok {
			steps = append(steps, decodeStep(endpoints[i].ID, open))
		}
	}
	if status.Omitted > 0 {
		reason := fmt.Sprintf("%d more endpoints are not done", status.Omitted)
		steps = append(steps, Step{Name: "orders", State: StepWaiting, Reason: reason})
	}
	return steps
}

func decodeStep(endpoint string, open map[string]api.OrderStep) Step {
	step, ok := open[endpoint]
	switch {
	case !ok:
		return Step{Name: endpoint, State: StepDone}
	case step.Failed:
		return Step{Name: endpoint, State: StepFailed, Reason: step.Reason}
	}
	return Step{Name: endpoint, State: StepWaiting, Reason: step.Reason}
}
