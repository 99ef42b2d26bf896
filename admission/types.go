// Package admission decides which requests an endpoint receives. A Gate is the
// state machine of one endpoint's admission owner: it counts permits, keeps the
// queue, and applies the load bound and the limit of a cold endpoint. It does
// no I/O, starts no goroutine and reads no clock. A Set holds the gates of one
// router for concurrent use.
//
// An endpoint is cold while its caches are empty, warming while they fill, and warm
// afterwards. Its bearable load is the number of requests that it can run at once
// while it is cold or warming. Only the holder of the endpoint's cold lease grants
// permits there during that time.
package admission

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/endpointstate"
)

// Config holds the settings of a Gate. Zero fields take the documented default.
type Config struct {
	// Endpoint is the id of the endpoint.
	Endpoint string
	// Nonce makes the permit ids of this gate differ from those of every other
	// owner of the endpoint, earlier gates of the same router included.
	Nonce uint32
	// LoadMultiple bounds the endpoint's load. It is a multiple of the mean load of
	// the endpoints in the pool. Default 1.25.
	LoadMultiple float64
	// StartBy is the time within which work on a permit must start. Default 1 s.
	StartBy time.Duration
	// HoldTime is how long a permit is kept after its last renewal. Default 1 min.
	HoldTime time.Duration
	// FirstHoldTime is how long a permit that was never renewed is kept after it was
	// granted or adopted. It is shorter than HoldTime, because a permit is never renewed
	// if the message that grants or releases it was lost. At a cold endpoint with a
	// bearable load of 2, one such permit blocks half of the load until it is
	// dropped. Default 15 s.
	FirstHoldTime time.Duration
	// QueueLength is the number of requests that may be queued. Default 64.
	QueueLength int
	// WorkspaceShare is the fraction of the endpoint's limit that one workspace
	// may use while others wait. Default 0.5.
	WorkspaceShare float64
	// PoolLoadMaxAge is the age above which the pool's load is stale and ignored.
	// Default 3 s.
	PoolLoadMaxAge time.Duration
	// ReportMaxAge is the age from which a load report is too old to grant permits
	// at a cold endpoint. Default 2 s.
	ReportMaxAge time.Duration
	// MaxMovedChats is the number of moved chats remembered. Default 4096.
	MaxMovedChats int
	// NoLimits grants every request unless the endpoint takes no work at all.
	// It exists to measure placement without admission.
	NoLimits bool
}

// Defaults of Config.
const (
	DefaultLoadMultiple   = 1.25
	DefaultStartBy        = time.Second
	DefaultHoldTime       = time.Minute
	DefaultFirstHoldTime  = 15 * time.Second
	DefaultQueueLength    = 64
	DefaultWorkspaceShare = 0.5
	DefaultPoolLoadMaxAge = 3 * time.Second
	DefaultReportMaxAge   = 2 * time.Second
	DefaultMaxMovedChats  = 4096
	// DefaultMaxInflight is the limit of requests in flight at an endpoint for which
	// neither the release notes nor the load report set one.
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
	orDefault(&c.HoldTime, DefaultHoldTime)
	orDefault(&c.FirstHoldTime, DefaultFirstHoldTime)
	orDefault(&c.QueueLength, DefaultQueueLength)
	orDefault(&c.WorkspaceShare, DefaultWorkspaceShare)
	orDefault(&c.PoolLoadMaxAge, DefaultPoolLoadMaxAge)
	orDefault(&c.ReportMaxAge, DefaultReportMaxAge)
	orDefault(&c.MaxMovedChats, DefaultMaxMovedChats)
	return c
}

// Request asks for a permit.
type Request struct {
	// ID identifies the request in outcomes and in Cancel. It is unique across
	// routers.
	ID string
	// Router is the id of the requesting router.
	Router    string
	Workspace string
	// Priority is 0 to 9; higher is served first.
	Priority int
	// Deadline is the time until which the request may be queued. A request with
	// the zero time is not queued but refused at once when the endpoint is full.
	Deadline time.Time
	// ChatKey is looked up in the table of moved chats. 0 skips the lookup; a
	// router sends 0 after the endpoint of a redirect has refused the request.
	ChatKey uint64
	// PoolInflight is the number of requests in flight in the endpoint's whole pool. It
	// is set only if the router has just asked for a permit for every endpoint of the
	// pool and each was refused because of its load limit; 0 otherwise. It is newer than
	// the load from gossip, so requests in a burst at a small pool need not wait for the
	// next gossip round.
	PoolInflight int
}

// Grant is a permit.
type Grant struct {
	PermitID uint64
	// StartBy is the time within which work must start, measured from when the
	// router sent its request. It includes the time that the request was queued.
	StartBy time.Duration
	// Term is the term of the cold lease; 0 for a warm endpoint.
	Term uint64
	// Inflight is the endpoint's load including this permit.
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
	Redirect string // id of the endpoint that the request's chat has moved to
}

// Granted reports whether the outcome is a permit.
func (o Outcome) Granted() bool {
	return o.Grant.PermitID != 0
}

// ReleaseInfo describes the work done on a permit that a router releases.
type ReleaseInfo struct {
	// FirstTokenTime is the time to the first token; 0 when unknown.
	FirstTokenTime time.Duration
	// Failed is set if the endpoint failed the request.
	Failed bool
	// MovedChat is the key of a chat whose cache is now at the endpoint MovedTo, or 0
	// if no chat has moved. If MovedTo is empty or the gate's own endpoint, the
	// chat's redirect is removed.
	MovedChat uint64
	MovedTo   string
}

// PoolLoad is the load of the endpoint's pool.
type PoolLoad struct {
	// Inflight is the number of requests in flight in the pool.
	Inflight int
	// Ready is the number of ready endpoints.
	Ready int
	// FirstTokenTime is the pool's median time to the first token; 0 when unknown.
	FirstTokenTime time.Duration
	// Age is the time since the figures were measured.
	Age time.Duration
}

// Lease is the state of the endpoint's cold lease as seen by this router. It has
// the same fields, with the same meaning, as lease.Lease, so that a value of either
// type converts to the other.
type Lease struct {
	Held       bool
	Term       uint64
	ValidUntil time.Time
	GrantsFrom time.Time
}

// Settings holds the endpoint's settings from the release notes and its state as
// observed by the router.
type Settings struct {
	// MaxInflight is the number of requests that the endpoint may run at once; 0
	// when not set.
	MaxInflight int
	// State is the endpoint's state as the router sees it.
	State endpointstate.State
	// NeedsLease is set if the endpoint is cold or warming, also when a state
	// that takes precedence, such as Suspect, hides that.
	NeedsLease bool
	// NoReports is set for an endpoint that publishes no load reports, such as a
	// plain service. Such an endpoint receives work without a first report.
	NoReports bool
}

func (s Settings) cold() bool {
	return s.NeedsLease || s.State.NeedsLease()
}

// HeldPermit is a permit in use by a router.
type HeldPermit struct {
	PermitID  uint64
	Workspace string
	Router    string
}
