package router

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Guards against a chat that is placed at another endpoint, without its cache, when
// its next turn arrives with more messages.
func TestOpeningKeyIsTheSameOnEveryTurn(t *testing.T) {
	first, err := parseChatBody([]byte(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]}`))
	assert.NilError(t, err)
	second, err := parseChatBody([]byte(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"},{"role":"assistant","content":"b"},{"role":"user","content":"c"}]}`))
	assert.NilError(t, err)
	other, err := parseChatBody([]byte(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"d"}]}`))
	assert.NilError(t, err)
	key := chatKey("w", http.Header{}, first)
	assert.Equal(t, chatKey("w", http.Header{}, second), key)
	assert.Assert(t, chatKey("w", http.Header{}, other) != key)
	assert.Assert(t, chatKey("v", http.Header{}, first) != key)
}

// Guards against these faults: a bad body is accepted; its refusal lacks notRun although
// nothing was sent to an endpoint.
func TestParseChatBodyRefusesBadBodies(t *testing.T) {
	for _, body := range []string{``, `{`, `[]`, `{"messages":[{}]}`, `{"model":"m"}`, `{"model":1,"messages":[{}]}`} {
		_, err := parseChatBody([]byte(body))
		refused := asRefusal(err)
		assert.Equal(t, refused.reason, api.RefusalBadRequest, "body %q", body)
		assert.Assert(t, refused.notRun, "body %q", body)
	}
}

// Guards against a caller's deadline that is ignored or that outlives the limit.
func TestRequestDeadline(t *testing.T) {
	now := time.Now()
	tests := []struct {
		header string
		want   time.Duration
		fails  bool
	}{
		{"", time.Minute, false},
		{"1500", 1500 * time.Millisecond, false},
		{"3600000", time.Minute, false},
		{"0", 0, true},
		{"-1", 0, true},
		{"soon", 0, true},
	}
	for _, test := range tests {
		header := http.Header{}
		if test.header != "" {
			header.Set(headerDeadline, test.header)
		}
		deadline, err := requestDeadline(now, header, time.Minute)
		if test.fails {
			assert.Assert(t, err != nil, "header %q", test.header)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, deadline.Sub(now), test.want)
	}
}

// Guards against a non-idempotent call that is classified as idempotent and would be
// repeated.
func TestIsIdempotent(t *testing.T) {
	service := &api.Service{ID: "orders", IdempotentPaths: []string{"/stock", "/search/"}}
	tests := []struct {
		method, path string
		want         bool
	}{
		{"GET", "/holds", true},
		{"HEAD", "/holds", true},
		{"POST", "/holds", false},
		{"DELETE", "/holds/1", false},
		{"POST", "/stock", true},
		{"POST", "/stock/check", true},
		{"POST", "/stockholds", false},
		{"POST", "/search/x", true},
		{"POST", "/stock/../holds", false},
		{"POST", "/stock//holds", false},
		{"POST", "/stock/%2e%2e/holds", false},
	}
	for _, test := range tests {
		assert.Equal(t, isIdempotent(service, test.method, test.path), test.want, "%s %s", test.method, test.path)
	}
	writes := &api.Service{ID: "odd", IdempotentMethods: []string{"PUT"}}
	assert.Assert(t, isIdempotent(writes, "PUT", "/x"))
	assert.Assert(t, !isIdempotent(writes, "GET", "/x"))
}

// Guards against these faults: another workspace can read a stream with its handle; the
// tag of one stream's handle is valid for another stream.
func TestStreamHandleBelongsToItsWorkspace(t *testing.T) {
	r := &Router{streamHandleKey: deriveKey("secret", "stream handles")}
	ch := &chat{id: "r-1", routedRequest: routedRequest{workspace: &api.Workspace{ID: "mine"}}}
	handle := r.streamHandle(ch, &assignment{endpoint: &api.Endpoint{ID: "engine-1"}})
	endpoint, id, ok := r.parseStreamHandle("mine", handle)
	assert.Assert(t, ok)
	assert.Equal(t, endpoint+" "+id, "engine-1 r-1")
	_, _, ok = r.parseStreamHandle("other", handle)
	assert.Assert(t, !ok)
	_, _, ok = r.parseStreamHandle("mine", "engine-1~r-2~"+handle[len("engine-1~r-1~"):])
	assert.Assert(t, !ok)
}
