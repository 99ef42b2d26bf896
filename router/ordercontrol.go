package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/admin"
	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/endpointstate"
	"github.com/hornbeamproxy/hornbeamproxy/orders"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

const (
	// controlOwnershipKey is the name whose owner tries to acquire the control lease;
	// the holder of that lease sends the orders. Only one router tries, because 350
	// routers that all tried would together read the lease several times a second.
	controlOwnershipKey = "control"
	// controlCheckInterval is the time between two checks of whether this router owns
	// controlOwnershipKey.
	controlCheckInterval = 500 * time.Millisecond
	// maxOrderTimeout is the upper limit of the time-out for sending an order.
	maxOrderTimeout = 2 * time.Second
)

func (r *Router) buildControl() {
	limits := r.settings.Limits
	r.control = orders.NewController(orders.Config{
		Router: r.settings.Router.ID,
		Limits: orders.Limits{
			// An order must be sent well within the lifetime of the control lease,
			// which is limits.cold_lease as for all leases.
			OrderTimeout:       min(maxOrderTimeout, limits.ColdLease.Duration/3),
			LoadsPerSecond:     r.settings.Orders.LoadsPerSecond,
			MaxMissingFraction: r.settings.Orders.MaxMissingFraction,
		},
		Store:          r.store,
		Leases:         r.leases,
		EndpointClient: r.engine,
		View:           r.view,
		ReportedUnable: r.owner.isUnable,
		OnError: func(err error) {
			r.logger.Debug("object API call for orders failed", zap.Error(err))
		},
	})
}

// runControl runs the order controller while this router owns controlOwnershipKey,
// until ctx ends.
func (r *Router) runControl(ctx context.Context) error {
	return timing.Every(ctx, controlCheckInterval, func(time.Time) {
		if r.ownsControl() {
			r.runControllerWhileOwner(ctx)
		}
	})
}

func (r *Router) ownsControl() bool {
	return r.network.OwnerOf(controlOwnershipKey) == r.settings.Router.ID
}

// runControllerWhileOwner runs the order controller until this router no longer owns
// controlOwnershipKey. It returns after the controller has ended and thereby
// released the lease.
func (r *Router) runControllerWhileOwner(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.control.Run(ctx) // ends with the context only
	}()
	for r.ownsControl() && timing.Pause(ctx, controlCheckInterval) {
	}
	stop()
	<-done
}

// isUnable reports whether an endpoint that this router owns is not ready and thus
// adds no capacity.
func (o *admissionOwner) isUnable(endpoint string) bool {
	o.mu.Lock()
	owned := o.owned[endpoint]
	o.mu.Unlock()
	if owned == nil {
		return false
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	return owned.machine.State() != endpointstate.Ready
}

// Steps implements admin.StatusSource.
func (r *Router) Steps(revision uint64) []admin.Step {
	var steps []admin.Step
	for _, step := range r.control.Status(revision) {
		steps = append(steps, admin.Step{Name: step.Name, State: admin.StepState(step.State), Reason: step.Reason})
	}
	return steps
}

// recordFailedOrders opens a failure record for each step of the revision whose orders
// failed, and closes it when the step is done.
func (r *Router) recordFailedOrders(revision uint64) {
	if !r.ownsControl() {
		return
	}
	for _, step := range r.control.Status(revision) {
		switch step.State {
		case orders.StepFailed:
			r.failures.records.OpenOnce(api.RecordKindOrderFailed, step.Name, "",
				"An order did not succeed: "+step.Name+".",
				"The endpoint does not serve what the release note says.",
				"The order is repeated slowly. Reason: "+step.Reason+".",
				"Check the endpoint and the weight store.")
		case orders.StepDone:
			r.failures.records.CloseIfOpen(api.RecordKindOrderFailed, step.Name)
		}
	}
}
