package claims

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// Guards against these faults: an attempt runs twice; an attempt runs after its caller
// received "not run"; a release that was not acknowledged is not sent again.
func TestAttemptRunsOnceAndNotAfterAbandon(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := NewAttempts(DefaultAttemptsConfig("r1"))
	run, _ := table.Begin(0, "k", "d")
	assert.Assert(t, table.HandleGrant(now, run))
	assert.Assert(t, !table.HandleGrant(now, run))
	assert.Assert(t, !table.Abandon(now, run.Attempt))
	late, _ := table.Begin(0, "k", "d")
	assert.Assert(t, table.Abandon(now, late.Attempt))
	assert.Assert(t, !table.HandleGrant(now, late))
	due := table.Due(now, 10)
	assert.Equal(t, len(due), 1)
	assert.Equal(t, len(table.Due(now, 10)), 0)
	table.Acknowledge(now, due[0], api.ClaimReply{Result: api.ClaimResultUnavailable})
	now = now.Add(firstReportDelay)
	due = table.Due(now, 10)
	assert.Equal(t, due[0].State, api.ClaimStateReleased)
	table.Acknowledge(now, due[0], api.ClaimReply{Result: api.ClaimResultDone})
	assert.Assert(t, !table.HandleGrant(now, late))
	assert.Equal(t, len(table.Due(now, 10)), 1, "a grant after the release is released again")
}

// Guards against a table, or unreported outcome bodies, that grow without bound
// during an outage.
func TestAttemptsAreBounded(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := NewAttempts(AttemptsConfig{Router: "r1", MaxAttempts: 2, MaxOutcomeBytes: 8, MaxUnreportedBytes: 8})
	for i := range 2 {
		request, ok := table.Begin(0, "k", "d")
		assert.Assert(t, ok)
		assert.Assert(t, table.HandleGrant(now, request))
		table.Complete(now, request.Attempt, &api.ClaimOutcome{Status: 200, Body: make([]byte, 8)})
		assert.Equal(t, table.unreportedBytes, 8, "attempt %d", i)
	}
	_, ok := table.Begin(0, "k", "d")
	assert.Assert(t, !ok)
	for _, update := range table.Due(now, 10) {
		table.Acknowledge(now, update, api.ClaimReply{Result: api.ClaimResultDone})
	}
	assert.Equal(t, table.unreportedBytes, 0)
}

// Guards against a key that is run twice and against an outcome that is never recorded,
// while the platform loses responses and limits the rate of writes. The claims go
// through the real client over HTTP.
func TestClaimsOverFaultyPlatform(t *testing.T) {
	platformServer := standin.NewPlatform("secret")
	server := httptest.NewServer(platformServer)
	defer server.Close()
	platformServer.SetFaults(standin.PlatformFaults{LoseProbability: 0.2, Seed: 1, WritesPerSecond: 300})
	cfg := objectstore.DefaultClientConfig()
	metrics := telemetry.NewMetrics()
	backend := platform.NewStore(server.URL, "secret", metrics)
	defer backend.Close()
	owners := make([]*Owner, 2)
	for i := range owners {
		owners[i] = testOwner(objectstore.NewClient(cfg, platform.KeyStore{Store: backend}, metrics))
		defer owners[i].Close()
	}
	table := NewAttempts(DefaultAttemptsConfig("r1"))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go ReportOutcomes(ctx, table, SystemClock{}, func(ctx context.Context, update api.ClaimUpdate) api.ClaimReply {
		return owners[0].HandleUpdate(ctx, update)
	})
	const keys = 10
	var runs [keys]atomic.Int32
	var callers sync.WaitGroup
	for i := range 8 * keys {
		callers.Go(func() {
			key := fmt.Sprintf("k%d", i%keys)
			for range 200 {
				request, ok := table.Begin(0, key, "d")
				assert.Check(t, ok)
				reply := owners[i%2].Handle(ctx, request)
				now := time.Now()
				switch {
				case reply.Result != api.ClaimResultGranted:
					table.HandleRefusal(now, request.Attempt, reply)
				case table.HandleGrant(now, request):
					runs[i%keys].Add(1)
					table.Complete(now, request.Attempt, &api.ClaimOutcome{Status: 200})
				}
				if reply.Result == api.ClaimResultDone {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			t.Errorf("no outcome of %s", key)
		})
	}
	callers.Wait()
	for i := range runs {
		assert.Equal(t, runs[i].Load(), int32(1), "runs of k%d", i)
	}
}
