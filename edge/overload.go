package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/intake"
	"github.com/hornbeamproxy/hornbeamproxy/overload"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

// Defaults of the settings under [limits]. Callers within the platform's limits stay below them.
const (
	defaultOperatorConnections = 64
	defaultHeaderFields        = 4096 // the platform's limit of 16 KiB has room for so many fields of four bytes
	defaultHeaderKB            = 32   // KiB; the platform's own limit is 16 KiB
	defaultUnreadMS            = 10_000
)

const (
	// maxDescriptors bounds the descriptors of a process whose settings name none and whose own
	// limit is higher.
	maxDescriptors = 1 << 16
	// relieveInterval is the time between two looks for transfers to end.
	relieveInterval = 100 * time.Millisecond
	// headStallAge is how long a connection may be in the middle of a head, or of a transfer without
	// progress, while others wait for a place.
	headStallAge = time.Second
	// operatorTimeout bounds each part of a request at the readiness and metrics listeners.
	operatorTimeout = 5 * time.Second
	// operatorHeaderBytes bounds the head of a request there.
	operatorHeaderBytes = 16 << 10
)

// intakes are the accounts of a process and the listeners that use them.
type intakes struct {
	limits  config.EdgeLimits // with the defaults filled in
	account *overload.Account
	slots   *overload.Slots
	callers *intake.Listener // nil before listen
	pressed bool             // used by relieve only
}

// newIntakes returns the accounts for the settings.
func newIntakes(s *config.EdgeSettings) *intakes {
	limits := s.Limits
	maxFDs := s.Router.MaxFDs
	if maxFDs == 0 {
		maxFDs = ownDescriptors()
	}
	callers, endpoints := overload.SplitDescriptors(maxFDs)
	setDefault(&limits.Connections, callers)
	setDefault(&limits.ConnectionsPerAddress, limits.Connections/2)
	setDefault(&limits.EndpointConnections, endpoints)
	setDefault(&limits.OperatorConnections, defaultOperatorConnections)
	setDefault(&limits.HeaderFields, defaultHeaderFields)
	setDefault(&limits.HeaderKB, defaultHeaderKB)
	setDefault(&limits.UnreadMS, defaultUnreadMS)
	return &intakes{
		limits: limits, account: overload.New(overload.BudgetFor(s.Router.MemoryMB)),
		slots: overload.NewSlots(limits.EndpointConnections),
	}
}

func setDefault[T int | float64](value *T, byDefault T) {
	if *value == 0 {
		*value = byDefault
	}
}

// ownDescriptors returns the process's own limit of descriptors, at most maxDescriptors.
func ownDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// listenForCallers opens the callers' listener and binds it to the server.
func (p *process) listenForCallers(server *http.Server) (*callerListener, error) {
	limits := &p.intakes.limits
	listener, err := intake.Listen(p.options.Settings.Listen.Callers, intake.Config{
		Limits: overload.Limits{
			Total: limits.Connections, PerAddress: limits.ConnectionsPerAddress, StallAge: headStallAge,
		},
		Account: p.intakes.account, Metrics: p.metrics, Logger: p.logger, MaxHeaderFields: limits.HeaderFields,
		WriteTimeout: milliseconds(limits.UnreadMS),
	})
	if err != nil {
		return nil, fmt.Errorf("listening for callers: %w", err)
	}
	p.intakes.callers = listener
	server.ConnState = func(c net.Conn, state http.ConnState) { listener.ConnState(c.(*callerConn).Conn, state) }
	server.MaxHeaderBytes = limits.HeaderKB << 10
	p.registerGauges()
	return newCallerListener(listener), nil
}

// newOperatorServer returns the server of the readiness or metrics listener with its listener.
func (p *process) newOperatorServer(handler http.Handler, address string) (*http.Server, *intake.Listener, error) {
	listener, err := intake.Listen(address, intake.Config{
		Limits: overload.Limits{Total: p.intakes.limits.OperatorConnections},
		// Checks and metrics are answered also when callers have used up the account.
		Account: overload.New(0), Metrics: p.metrics, Logger: p.logger, MaxHeaderFields: p.intakes.limits.HeaderFields,
	})
	if err != nil {
		return nil, nil, fmt.Errorf("opening the readiness or metrics listener: %w", err)
	}
	server := &http.Server{
		Handler: p.refuseBodies(handler), ReadTimeout: operatorTimeout, ReadHeaderTimeout: operatorTimeout,
		WriteTimeout: operatorTimeout, IdleTimeout: operatorTimeout, MaxHeaderBytes: operatorHeaderBytes,
		ConnState: listener.ConnState,
	}
	return server, listener, nil
}

// refuseBodies closes the connections of requests with a body, without reading it.
func (p *process) refuseBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			p.metrics.Counter("overload.operator_body").Inc(1)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// registerGauges makes the accounts visible in the metrics.
func (p *process) registerGauges() {
	gauge := func(name string, value func() int64) {
		_ = p.metrics.Registry.Register(name, metrics.NewFunctionalGauge(value))
	}
	gauge("overload.bytes", p.intakes.account.Used)
	for _, kind := range overload.Kinds() {
		gauge("overload.bytes."+kind.String(), func() int64 { return p.intakes.account.UsedFor(kind) })
	}
	gauge("overload.connections", func() int64 { return int64(p.intakes.callers.Count()) })
	gauge("overload.endpoint_slots", p.intakes.slots.Used)
}

// relieve ends the transfers that the account chooses while it is pressed, until ctx ends.
func (p *process) relieve(ctx context.Context) error {
	return timing.Every(ctx, relieveInterval, func(now time.Time) {
		account := p.intakes.account
		if pressed := account.Pressed(); pressed != p.intakes.pressed {
			p.intakes.pressed = pressed
			p.logger.Info("memory pressure", zap.Bool("pressed", pressed), zap.Int64("bytes", account.Used()))
		}
		for _, lease := range account.Victims(now) {
			p.metrics.Counter("overload.ended").Inc(1)
			p.logger.Info("transfer ended for memory", zap.Stringer("kind", lease.Kind()), zap.Int64("bytes", lease.Bytes()),
				zap.Int64("used", account.Used()))
			lease.End()
		}
	})
}
