package gateway

import (
	"net/http"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/routing"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is a caller's request in the product's terms.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	// Path is the path alone, for the choice of the route.
	Path   string
	Header http.Header // only what is forwarded
	Body   []byte
	Key    string
	// Deadline is how long the caller waits; 0 means that it did not say.
	Deadline time.Duration
	Model    string
	Parts    []Part
	// PromptTokens and OutputTokens are the sizes that the caller announced.
	PromptTokens, OutputTokens int
	// ResumeAfter is the id of the last event that the caller has; empty if the
	// request is new.
	ResumeAfter string
}

// SharedKey returns the hash of the prompt's last shared part for the model, or
// 0 if the prompt has no parts. The last part belongs to the request alone.
func (r *Request) SharedKey() uint64 {
	switch len(r.Parts) {
	case 0:
		return 0
	case 1:
		return nonZero(r.Parts[0].ID)
	}
	return nonZero(r.Parts[len(r.Parts)-2].ID)
}

func nonZero(key uint64) uint64 {
	if key == 0 {
		return 1
	}
	return key
}

// Send says how a request goes to one endpoint.
type Send struct {
	EndpointID string
	Workspace  string // empty if the request has none
	// Left is the time that the endpoint has.
	Left time.Duration
	// ResumeAfter replaces the request's own when the stream goes on.
	ResumeAfter string
	// Priority is 0 for the most urgent.
	Priority int
	// CopyFrom is the address (IP:PORT) of an endpoint that holds the prompt's
	// shared parts; empty if nothing is to be copied.
	CopyFrom string
}

// Answer is what the head of an endpoint's answer says.
type Answer struct {
	// ID is the request that is answered.
	ID string
	// Signed answers come from the endpoint's application; others were made up
	// on the way or are broken.
	Signed bool
	// NotRun says that the endpoint has not run the request and never will.
	NotRun bool
	// Misdirected says that another endpoint has the address now.
	Misdirected bool
	// Encoded bodies are not the endpoint's.
	Encoded bool
}

// Codec translates between HTTP headers and the product's terms.
// Implementations are safe for concurrent use.
type Codec interface {
	// Parse reads a caller's request without its body. An error says why the
	// request is malformed.
	Parse(r *http.Request) (*Request, error)
	// AppendRequest appends the whole request as it is sent to an endpoint.
	AppendRequest(dst []byte, request *Request, send Send) []byte
	// Answer reads the head of an endpoint's answer.
	Answer(response *http.Response) Answer
}

// priority returns the rank of a request: the workspace's if it has one.
func priority(route *routing.Route, workspace *routing.Workspace) int {
	rank := route.Priority
	if workspace != nil && workspace.Priority != nil {
		rank = *workspace.Priority
	}
	return min(max(rank, 0), 9)
}
