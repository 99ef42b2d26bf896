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
	"github.com/hornbeamproxy/hornbeamproxy/outage"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/records"
	"github.com/hornbeamproxy/hornbeamproxy/rollout"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	// maxStoreOutageReporters is the number of routers that record an outage of the
	// store. One would not do, because the store may reject some routers and serve the
	// others.
	maxStoreOutageReporters = 3
	// outageReportedAfter is the time without an answer of the store after which an outage is
	// recorded. A connection that is cut off is none.
	outageReportedAfter = 2 * time.Second
	// flushTimeout bounds the write of records at the start of a shutdown.
	// finalWriteTimeout bounds the write at its end, of the records that were made during
	// the shutdown. It is short because the grace period is then nearly over.
	flushTimeout      = 2 * time.Second
	finalWriteTimeout = 200 * time.Millisecond
)

// errNoCopies is the error of noCopySender. Routers on the platform keep no copies of
// each other's records, so records that a router could not write are lost when it ends.
var errNoCopies = errors.New("edge: records have no copies at other routers")

// noCopySender is a records.Sender that sends nothing and always fails.
type noCopySender struct{}

// Send implements records.Sender.
func (noCopySender) Send(string, api.PeerMessage) error { return errNoCopies }

// reporter records the failures that the router detects, for the morning
// report. Its methods are safe for concurrent use; except run and flush, they do not
// block.
type reporter struct {
	rec    *records.Recorder
	router string
	logger *zap.Logger
	// alive returns the ids of the routers that were heard from recently, including
	// this one.
	alive func(now time.Time) map[string]bool
}

var _ gateway.Reporter = (*reporter)(nil)

func newReporter(router string, store objectstore.Store, alive func(time.Time) map[string]bool, metrics *telemetry.Metrics, logger *zap.Logger) *reporter {
	f := &reporter{router: router, logger: logger, alive: alive}
	f.rec = records.NewRecorder(records.RecorderOptions{
		Store:       objectstore.NewClient(objectstore.DefaultClientConfig(), store, metrics),
		Sender:      noCopySender{},
		Peers:       func() []string { return nil },
		RouterCount: func() int { return len(alive(time.Now())) },
		Router:      router,
		Incarnation: uint64(time.Now().UnixMilli()),
		Metrics:     metrics,
		Logger:      logger,
	})
	return f
}

// run writes the records until ctx ends. The recorder's final write may then take longer
// than the process has left, so run waits for that write no longer than
// finalWriteTimeout. Records that are not written by then are lost.
func (f *reporter) run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- f.rec.Run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(finalWriteTimeout):
		return nil
	}
}

// flush writes the records that are not written yet.
func (f *reporter) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := f.rec.Flush(ctx); err != nil {
		f.logger.Warn("records not written", zap.Error(err))
	}
}

// rank returns how many live routers rank before this one in the order that rendezvous
// hashing gives for a name. A failure that all routers detect is recorded only by those
// that rank first for its subject.
func (f *reporter) rank(name string) int {
	return placement.Rank(name, f.router, slices.Collect(maps.Keys(f.alive(time.Now()))))
}

// OutcomeUnknown implements gateway.Reporter.
func (f *reporter) OutcomeUnknown(r gateway.FailedRequest) {
	f.rec.RecordEvent(api.RecordKindOutcomeUnknown, r.Service+"/"+r.ID, "",
		fmt.Sprintf("The request %s (%s %s, route %s) of service %s has an unknown outcome: %s.", r.ID, r.Method, r.Target, r.Route, r.Service, r.Reason),
		fmt.Sprintf("Workspace %s was told that the request may have run.", r.Workspace),
		"The request is not sent again.",
		"Look up at the service whether the request took effect, and tell the workspace.")
}

// ResponseBroken implements gateway.Reporter.
func (f *reporter) ResponseBroken(r gateway.FailedRequest) {
	f.rec.RecordEvent(api.RecordKindAnswerBroken, r.Service+"/"+r.Route, "",
		fmt.Sprintf("Answers of service %s on route %s were not completed: %s.", r.Service, r.Route, r.Reason),
		"The callers saw that their answers were not complete.",
		"They were tried elsewhere where that is allowed.", "")
}

// EndpointUnreachable implements gateway.Reporter.
func (f *reporter) EndpointUnreachable(entry roster.Entry) {
	if f.rank(entry.ID) > 0 {
		return
	}
	f.rec.OpenOnce(api.RecordKindEndpointDown, entry.ID, entry.Zone,
		fmt.Sprintf("Endpoint %s of service %s at %s cannot be reached.", entry.ID, entry.Service, entry.Address),
		"Its prompts are read again at other endpoints.",
		"No work is sent to it until a connection shows that it is back.",
		fmt.Sprintf("Check the instance at %s.", entry.Address))
}

// EndpointRecovered implements gateway.Reporter. It is also called for endpoints that
// were removed, which need no further action.
func (f *reporter) EndpointRecovered(id string) { f.rec.CloseIfOpen(api.RecordKindEndpointDown, id) }

// EndpointPaused implements gateway.Reporter. Each router counts its own pauses, since they concern only
// the router that was answered.
func (f *reporter) EndpointPaused(service string, d time.Duration) { f.rec.RecordPause(service, d) }

// PromptQuarantined implements gateway.Reporter.
func (f *reporter) PromptQuarantined(part string, until time.Time) {
	if f.rank(part) > 0 {
		return
	}
	f.rec.RecordEvent(api.RecordKindPromptQuarantined, part, "",
		fmt.Sprintf("Several endpoints exited when they began to answer prompts with the part %s.", part),
		"Requests with this part are refused as not run.",
		fmt.Sprintf("They are refused until %s, or until an answer to one of them succeeds.", until.UTC().Format(time.RFC3339)),
		"Look in the logs for 'endpoint exited with requests in flight', and report the prompt to those who run the engines.")
}

// recordRolloutEnded records the verdict of a roll-out.
func (f *reporter) recordRolloutEnded(r rollout.Rollout, s rollout.Status) {
	if f.rank(r.ID) > 0 {
		return
	}
	text, next := fmt.Sprintf("The roll-out of version %s of service %s is done.", r.Target, r.Service), ""
	effect := "All requests go to this version."
	if s.State == rollout.RolledBack {
		text = fmt.Sprintf("Version %s of service %s was rolled back: %s.", r.Target, r.Service, s.Reason)
		effect = "No more requests go to this version."
		next = "Look in the logs for 'rollout decided' with this service. Order the version again when it is mended."
	}
	f.rec.RecordEvent(api.RecordKindRolloutEnded, r.Service+"/"+r.Target, "", text, effect, "", next)
}

// recordRouterLost records a router whose registration was removed because it had been
// silent for too long.
func (f *reporter) recordRouterLost(router string) {
	f.rec.RecordEvent(api.RecordKindRouterLost, router, "",
		fmt.Sprintf("Router %s is gone without leaving.", router),
		"Callers connected to it had to connect again.",
		"Its registration was removed.", "")
}

// storeSubject is the subject of records about outages of the store.
const storeSubject = "store"

// partitionSubject is the subject of records about partitions between this router and the store.
func (f *reporter) partitionSubject() string { return storeSubject + "/" + f.router }

// beginOutage records an outage of the store, unless enough other routers do.
func (f *reporter) beginOutage() {
	if f.rank(storeSubject) >= maxStoreOutageReporters {
		return
	}
	f.rec.OpenOnce(api.RecordKindPlatformUnavailable, storeSubject, "",
		fmt.Sprintf("The platform's store does not answer router %s.", f.router),
		"Requests are served with what is known; changes arrive only through other routers.",
		"Endpoints whose entries lapse meanwhile are kept until shortly after the outage.", "")
}

// beginPartition records that this router is cut off from the store, which only it can tell.
func (f *reporter) beginPartition() {
	f.rec.OpenOnce(api.RecordKindPlatformUnavailable, f.partitionSubject(), "",
		fmt.Sprintf("The platform's store answers other routers, but not router %s.", f.router),
		"Its requests are served with what is known; changes arrive only through other routers.", "",
		fmt.Sprintf("Check the network between router %s and the store.", f.router))
}

// endOutage ends the records of the outage and the partition.
func (f *reporter) endOutage() {
	f.rec.CloseIfOpen(api.RecordKindPlatformUnavailable, storeSubject)
	f.rec.CloseIfOpen(api.RecordKindPlatformUnavailable, f.partitionSubject())
}

// outageReceiver is a mirror.Receiver that also records the outages of the store, and the partitions
// between it and this router.
type outageReceiver struct {
	mirror.Receiver
	failures *reporter
	outages  *outage.Tracker
}

// StoreUnavailable implements mirror.Receiver.
func (o outageReceiver) StoreUnavailable(answeredAt time.Time, err error) {
	last := o.outages.LastAnswer()
	switch {
	case !answeredAt.IsZero() && last.Sub(answeredAt) >= outageReportedAfter:
		o.failures.beginPartition()
	case time.Since(last) >= outageReportedAfter:
		o.failures.beginOutage()
	}
	o.Receiver.StoreUnavailable(answeredAt, err)
}

// StoreAvailable implements mirror.Receiver.
func (o outageReceiver) StoreAvailable() {
	o.failures.endOutage()
	o.Receiver.StoreAvailable()
}
