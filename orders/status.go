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

// StatusKey is the object that holds the steps that are not done.
const StatusKey = "status/orders"

const (
	statusTimeout = 2 * time.Second
	// maxSteps, maxReasonBytes and ids of up to 128 bytes bound the object to about
	// 350 KB. 600 endpoints take at most 210 KB.
	maxSteps       = 1000
	maxReasonBytes = 200
)

// statusWriter belongs to the goroutine of Run.
type statusWriter struct {
	open    bool
	last    time.Time
	written api.OrderStatus
	// version of the object; 0 when it must be read.
	version uint64
}

func (c *Controller) writeStatus(ctx context.Context, now time.Time, revision uint64, steps []Step) {
	w := &c.status
	if w.open || now.Sub(w.last) < c.config.StatusInterval {
		return
	}
	status := encodeSteps(steps)
	status.Revision, status.Router, status.Term = revision, c.config.Router, c.progress.Term()
	if sameStatus(status, w.written) {
		return
	}
	w.open, w.last = true, now
	version := w.version
	c.wg.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		newVersion, err := c.putStatus(callCtx, status, version)
		if err != nil && ctx.Err() == nil {
			c.config.OnError(fmt.Errorf("orders: write %s: %w", StatusKey, err))
		}
		c.post(ctx, func() {
			w.open, w.version = false, newVersion
			if err == nil {
				w.written = status
			}
		})
	})
}

// errNewerStatus says that a later holder has written the status.
var errNewerStatus = errors.New("a later holder has written it")

// putStatus returns version 0 after a failure, so that the object is read again.
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

// readStatus returns version 0 for an object that does not exist.
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

func encodeSteps(steps []Step) api.OrderStatus {
	status := api.OrderStatus{Steps: []api.OrderStep{}}
	for _, step := range steps {
		switch {
		case step.State == StepDone:
		case len(status.Steps) == maxSteps:
			status.Omitted++
		default:
			status.Steps = append(status.Steps, api.OrderStep{
				Endpoint: step.Name, Failed: step.State == StepFailed, Reason: bounded(step.Reason),
			})
		}
	}
	return status
}

// bounded cuts a reason, which may quote an endpoint. CBOR text must be UTF-8.
func bounded(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
}

func sameStatus(a, b api.OrderStatus) bool {
	return a.Revision == b.Revision && a.Term == b.Term && a.Omitted == b.Omitted && slices.Equal(a.Steps, b.Steps)
}

// Status returns the steps that follow from the release notes up to a revision,
// as the holder last wrote them; any router can ask. Each endpoint is compared
// with the newest revision, which includes all earlier ones. Status reads the
// object API and is safe for concurrent use.
func (c *Controller) Status(revision uint64) []Step {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, version, err := c.readStatus(ctx)
	view := c.config.View()
	// Endpoints of a newer revision are not in the status, which doesn't make them
	// done.
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
		if _, ok := wantedOn(view, &endpoints[i]); ok {
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
