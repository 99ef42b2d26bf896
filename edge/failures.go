package edge

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/mirror"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/records"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	// storeWitnesses is the number of routers that record an outage of the store:
	// it may turn some away and serve the others.
	storeWitnesses = 3
	// flushTimeout bounds the write of records when a shutdown begins, and lastWrite
	// that of what comes after, when the grace period is nearly over.
	flushTimeout = 2 * time.Second
	lastWrite    = 200 * time.Millisecond
)

// errNoCopies says that routers on the platform keep no copies of each other's
// records: what a router could not write is lost with it.
var errNoCopies = errors.New("edge: records have no copies at other routers")

type noCopies struct{}

// Send implements records.Sender.
func (noCopies) Send(string, api.PeerMessage) error { return errNoCopies }

// failures turns what the router notices into records for the morning report. All
// methods are safe for concurrent use and do not block.
type failures struct {
	keeper *records.Keeper
	router string
	logger *zap.Logger
	// alive returns the routers that were heard lately, this one among them.
	alive func(now time.Time) map[string]bool
}

var _ gateway.Reporter = (*failures)(nil)

func newFailures(router string, store objectstore.Store, alive func(time.Time) map[string]bool, metrics *telemetry.Metrics, logger *zap.Logger) *failures {
	f := &failures{router: router, logger: logger, alive: alive}
	f.keeper = records.NewKeeper(records.KeeperOptions{
		Store:       objectstore.NewClient(objectstore.DefaultClientConfig(), store, metrics),
		Sender:      noCopies{},
		Peers:       func() []string { return nil },
		Routers:     func() int { return len(alive(time.Now())) },
		Router:      router,
		Incarnation: uint64(time.Now().UnixMilli()),
		Metrics:     metrics,
		Logger:      logger,
	})
	return f
}

// run writes the records until ctx ends. The keeper's own last write may take longer
// than the process has; what flush did not write before is given up then.
func (f *failures) run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- f.keeper.Run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(lastWrite):
		return nil
	}
}

// flush writes what is not written yet.
func (f *failures) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := f.keeper.Flush(ctx); err != nil {
		f.logger.Warn("records not written", zap.Error(err))
	}
}

// rank returns how many living routers come before this one for the name. What all
// routers see is recorded by those that rank first.
func (f *failures) rank(name string) int {
	return placement.Rank(name, f.router, slices.Collect(maps.Keys(f.alive(time.Now()))))
}

// OutcomeUnknown implements gateway.Reporter.
func (f *failures) OutcomeUnknown(r gateway.FailedRequest) {
	f.keeper.Event(api.RecordKindOutcomeUnknown, r.Service+"/"+r.ID, "",
		fmt.Sprintf("The request %s (%s %s, route %s) of service %s has an unknown outcome: %s.", r.ID, r.Method, r.Target, r.Route, r.Service, r.Reason),
		fmt.Sprintf("Workspace %s was told that the request may have run.", r.Workspace),
		"The request is not sent again.",
		"Look up at the service whether the request took effect, and tell the workspace.")
}

// AnswerBroken implements gateway.Reporter.
func (f *failures) AnswerBroken(r gateway.FailedRequest) {
	f.keeper.Event(api.RecordKindAnswerBroken, r.Service+"/"+r.Route, "",
		fmt.Sprintf("Answers of service %s on route %s were not completed: %s.", r.Service, r.Route, r.Reason),
		"The callers saw that their answers were not complete.",
		"They were tried elsewhere where that is allowed.", "")
}

// EndpointLost implements gateway.Reporter.
func (f *failures) EndpointLost(entry roster.Entry) {
	if f.rank(entry.ID) > 0 {
		return
	}
	f.keeper.OpenOnce(api.RecordKindEndpointDown, entry.ID, entry.Zone,
		fmt.Sprintf("Endpoint %s of service %s at %s cannot be reached.", entry.ID, entry.Service, entry.Address),
		"Its prompts are read again at other endpoints.",
		"No work is sent to it until a connection shows that it is back.",
		fmt.Sprintf("Check the instance at %s.", entry.Address))
}

// EndpointBack implements gateway.Reporter. It covers endpoints that are gone for
// good, of which nothing is left to do.
func (f *failures) EndpointBack(id string) { f.keeper.End(api.RecordKindEndpointDown, id) }

// routerLost records a router that was silent for so long that its registration
// was removed.
func (f *failures) routerLost(router string) {
	f.keeper.Event(api.RecordKindRouterLost, router, "",
		fmt.Sprintf("Router %s is gone without leaving.", router),
		"Callers connected to it had to connect again.",
		"Its registration was removed.", "")
}

// storeSubject is the subject of records about outages of the store.
const storeSubject = "store"

func (f *failures) storeLost() {
	if f.rank(storeSubject) >= storeWitnesses {
		return
	}
	f.keeper.OpenOnce(api.RecordKindPlatformUnavailable, storeSubject, "",
		fmt.Sprintf("The platform's store does not answer router %s.", f.router),
		"Requests are served with what is known; changes arrive only through other routers.",
		"Endpoints whose entries lapse meanwhile are kept until shortly after the outage.", "")
}

func (f *failures) storeFound() { f.keeper.End(api.RecordKindPlatformUnavailable, storeSubject) }

// storeWatch tells failures when the store is lost and found.
type storeWatch struct {
	mirror.Receiver
	failures *failures
}

// Lost implements mirror.Receiver.
func (w storeWatch) Lost(err error) {
	w.failures.storeLost()
	w.Receiver.Lost(err)
}

// Found implements mirror.Receiver.
func (w storeWatch) Found() {
	w.failures.storeFound()
	w.Receiver.Found()
}
