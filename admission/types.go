// Package admission decides which requests an endpoint receives. A Gate is the
// state machine of one endpoint's admission owner: it counts permits, keeps the
// queue, and applies the load bound and the limit of a cold endpoint. It does
// no I/O, starts no goroutine and reads no clock. A Set holds the gates of one
// router for concurrent use.
package admission

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/endpointstate"
)

// Config holds the settings of a Gate. Zero fields get the default given.
type Config struct {
	// Endpoint is the id of the endpoint.
	Endpoint string
	// Nonce makes the permit ids of this gate differ from those of every other
	// owner of the endpoint, earlier gates of the same router included.
	Nonce uint32
	// LoadMultiple is the highest load as a multiple of the pool's mean.
	// Default 1.25.
	LoadMultiple float64
	// StartBy is the time in which work may start on a permit. Default 1 s.
	StartBy time.Duration
	// Hold is the time after which a permit that is not renewed is dropped.
	// Default 15 s.
	Hold time.Duration
	// FirstHold is the same time before the first renewal. It is shorter, because
	// a permit whose grant or release was lost is never renewed and would block
	// half of a cold endpoint for as long as Hold. Default 15 s.
	FirstHold time.Duration
	// QueueLength is the number of requests that may wait. Default 64.
	QueueLength int
	// WorkspaceShare is the fraction of the endpoint that one workspace may use
	// while others wait. Default 0.5.
	WorkspaceShare float64
	// PoolMaxAge is the age from which the pool's load is not used. Default 3 s.
	PoolMaxAge time.Duration
	// ReportMaxAge is the age from which a load report does not allow grants at
	// a cold endpoint. Default 2 s.
	ReportMaxAge time.Duration
	// MovedChats is the number of moved chats remembered. Default 4096.
	MovedChats int
	// Unbounded grants every request unless the endpoint takes no work at all.
	// It exists to measure placement without admission.
	Unbounded bool
}

// Defaults of Config.
const (
	DefaultLoadMultiple   = 1.25
	DefaultStartBy        = time.Second
	DefaultHold           = time.Minute
	DefaultFirstHold      = 15 * time.Second
	DefaultQueueLength    = 64
	DefaultWorkspaceShare = 0.5
	DefaultPoolMaxAge     = 3 * time.Second
	DefaultReportMaxAge   = 2 * time.Second
	DefaultMovedChats     = 4096
	// DefaultMaxInflight applies when neither the release notes nor the
	// endpoint's report name a limit.
	DefaultMaxInflight = 64
)

func orDefault[T int | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.LoadMultiple, DefaultLoadMultiple)
	orDefault(&c.StartBy, DefaultStartBy)
	orDefault(&c.Hold, DefaultHold)
	orDefault(&c.FirstHold, DefaultFirstHold)
	orDefault(&c.QueueLength, DefaultQueueLength)
	orDefault(&c.WorkspaceShare, DefaultWorkspaceShare)
	orDefault(&c.PoolMaxAge, DefaultPoolMaxAge)
	orDefault(&c.ReportMaxAge, DefaultReportMaxAge)
	orDefault(&c.MovedChats, DefaultMovedChats)
	return c
}

// Request asks for a permit.
type Request struct {
	// ID names the request in outcomes and in Cancel. It is unique over routers.
	ID string
	// Router is the id of the router that asks.
	Router    string
	Workspace string
	// Priority is 0 to 9; higher is served first.
	Priority int
	// Deadline is the time until which the request may be queued. The zero time
	// means that it is refused at once when the endpoint is full.
	Deadline time.Time
	// ChatKey is looked up in the table of moved chats. 0 skips the lookup, as
	// a router does after the endpoint of a redirect refused it.
	ChatKey uint64
	// PoolInflight is the load of the whole pool when the router has just asked
	// all its endpoints, and 0 otherwise. It is newer than the load from gossip,
	// which lets a burst through a small pool without a wait for the next round.
	PoolInflight int
}

// Grant is a permit.
type Grant struct {
	PermitID uint64
	// StartBy is measured from the time at which the router sent its request.
	// It includes the time that the request spent in the queue.
	StartBy time.Duration
	// Term is the term of the cold lease; 0 for a warm endpoint.
	Term uint64
	// Inflight is the endpoint's load with this permit.
	Inflight int
}

// Outcome is the decision on one request. Exactly one of Grant, Refusal and
// Redirect is set.
type Outcome struct {
	RequestID string
	// Router is the router that sent the request.
	Router   string
	Grant    Grant
	Refusal  api.Refusal
	Redirect string
}

// Granted says whether the outcome is a permit.
func (o Outcome) Granted() bool {
	return o.Grant.PermitID != 0
}

// ReleaseInfo is what a router tells about the work done on a permit.
type ReleaseInfo struct {
	// FirstToken is the time to the first token; 0 when unknown.
	FirstToken time.Duration
	// Failed says that the endpoint failed the request.
	Failed bool
	// MovedChat is the key of a chat that is now cached at MovedTo; 0 for none.
	MovedChat uint64
	MovedTo   string
}

// PoolLoad is the load of the endpoint's pool.
type PoolLoad struct {
	// Inflight is the number of requests in flight in the pool.
	Inflight int
	// Ready is the number of ready endpoints.
	Ready int
	// FirstToken is the pool's median time to the first token; 0 when unknown.
	FirstToken time.Duration
	// Age is the time since the figures were current.
	Age time.Duration
}

// Lease is the state of the endpoint's cold lease as seen by this router. It has
// the fields of lease.Lease, so that one converts to the other.
type Lease struct {
	Held       bool
	Term       uint64
	ValidUntil time.Time
	GrantsFrom time.Time
}

// Settings is what the release notes and the router's observation say about the
// endpoint.
type Settings struct {
	// MaxInflight is the number of requests that it may run; 0 when not set.
	MaxInflight int
	// State is the endpoint's state as the router sees it.
	State endpointstate.State
	// NeedsLease says that the endpoint is cold or warming, which a state such
	// as Suspect hides.
	NeedsLease bool
	// NoReports says that the endpoint publishes no load report, as plain
	// services do. It then needs no first report to receive work.
	NoReports bool
}

func (s Settings) cold() bool {
	return s.NeedsLease || s.State.NeedsLease()
}

// Held is a permit in use.
type Held struct {
	Permit    uint64
	Workspace string
	Router    string
}
