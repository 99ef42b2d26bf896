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
	// controlName is the name under which the router that asks for the control
	// lease is chosen. If all routers asked, 350 of them would read the lease
	// several times a second together.
	controlName = "control"
	// controlCheck is how often that choice is looked at.
	controlCheck = 500 * time.Millisecond
	// longestOrder bounds the sending of an order.
	longestOrder = 2 * time.Second
)

func (r *Router) buildControl() {
	limits := r.settings.Limits
	r.control = orders.NewController(orders.Config{
		Router: r.settings.Router.ID,
		Limits: orders.Limits{
			// An order must be sent well within the lease's lifetime.
			OrderTimeout:    min(longestOrder, limits.ColdLease.Duration/3),
			LoadsPerSecond:  r.settings.Orders.LoadsPerSecond,
			MissingFraction: r.settings.Orders.MaxMissingFraction,
		},
		Store:     r.store,
		Leases:    r.leases,
		Endpoints: r.engine,
		View:      r.view,
		Missing:   r.owner.isMissing,
		OnError: func(err error) {
			r.logger.Debug("orders: call to the object API failed", zap.Error(err))
		},
	})
}

// runControl runs the controller of orders while this router is the one that
// asks for the control lease.
func (r *Router) runControl(ctx context.Context) error {
	return timing.Every(ctx, controlCheck, func(time.Time) {
		if r.ownsControl() {
			r.controlWhileOwner(ctx)
		}
	})
}

func (r *Router) ownsControl() bool {
	return r.cluster.OwnerOf(controlName) == r.settings.Router.ID
}

// controlWhileOwner returns once the controller has ended, which releases the
// lease.
func (r *Router) controlWhileOwner(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.control.Run(ctx) // ends with the context only
	}()
	for r.ownsControl() && timing.Pause(ctx, controlCheck) {
	}
	stop()
	<-done
}

// isMissing says that an endpoint owned by this router adds no capacity now.
func (o *admissionOwner) isMissing(endpoint string) bool {
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

// recordFailedOrders keeps a record of each step that orders could not reach.
func (r *Router) recordFailedOrders(view uint64) {
	if !r.ownsControl() {
		return
	}
	for _, step := range r.control.Status(view) {
		switch step.State {
		case orders.StepFailed:
			r.failures.keeper.OpenOnce(api.RecordKindOrderFailed, step.Name, "",
				"An order did not succeed: "+step.Name+".",
				"The endpoint does not serve what the release note says.",
				"The order is repeated slowly. Reason: "+step.Reason+".",
				"Check the endpoint and the weight store.")
		case orders.StepDone:
			r.failures.keeper.End(api.RecordKindOrderFailed, step.Name)
		}
	}
}
