package objectstore_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

func newClient(t *testing.T, handler http.Handler) (*objectstore.Client, *telemetry.Metrics) {
	t.Helper()
	server := httptest.NewServer(handler)
	metrics := telemetry.NewMetrics()
	backend := platform.NewStore(server.URL, "secret", metrics)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		backend.Close()
	})
	cfg := objectstore.DefaultClientConfig()
	cfg.Timeout = 100 * time.Millisecond
	cfg.ProbeInterval = 10 * time.Millisecond
	cfg.MaxProbeInterval = 20 * time.Millisecond
	return objectstore.NewClient(cfg, platform.KeyStore{Store: backend}, metrics), metrics
}

// Guards against a client that violates the contract of Store over HTTP, also for keys
// with reserved characters.
func TestClientImplementsStore(t *testing.T) {
	ctx := context.Background()
	stand := standin.NewPlatform("secret")
	stand.SetInstances([]api.Instance{{ID: "i1", Leaving: true}})
	client, metrics := newClient(t, stand)
	key := "claims/1/a b?%2F../ü"
	version, err := client.Put(ctx, key, []byte("1"), 0)
	assert.NilError(t, err)
	_, err = client.Put(ctx, key, []byte("2"), 0)
	assert.ErrorIs(t, err, objectstore.ErrConflict)
	_, err = client.Put(ctx, key, []byte("2"), version)
	assert.NilError(t, err)
	object, err := client.Get(ctx, key)
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), "2")
	objects, err := client.List(ctx, "claims/1/a b")
	assert.NilError(t, err)
	assert.DeepEqual(t, objects, []objectstore.Object{object})
	assert.ErrorIs(t, client.Delete(ctx, key, version), objectstore.ErrConflict)
	assert.NilError(t, client.Delete(ctx, key, object.Version))
	_, err = client.Get(ctx, key)
	assert.ErrorIs(t, err, objectstore.ErrNotFound)
	objects, next, err := client.Watch(ctx, "claims/", version, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, len(objects) == 1 && objects[0].Deleted && next > object.Version)
	list, err := client.Instances(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, list.Instances, []api.Instance{{ID: "i1", Leaving: true}})
	assert.Equal(t, metrics.Counter("platform.calls.put").Count(), int64(3))
	assert.Equal(t, metrics.Counter("platform.errors.conflict").Count(), int64(2))
}

// The response to a write is lost, or the write takes effect late. Guards against these
// faults: the write is retried; the write is reported as having no effect.
func TestLostAnswerIsAmbiguous(t *testing.T) {
	ctx := context.Background()
	stand := standin.NewPlatform("secret")
	client, _ := newClient(t, stand)
	stand.SetFaults(standin.PlatformFaults{LoseResponses: 1})
	_, err := client.Put(ctx, "a", []byte("1"), 0)
	assert.ErrorIs(t, err, objectstore.ErrAmbiguous)
	stand.SetFaults(standin.PlatformFaults{DelayWrites: 1, WriteDelay: 200 * time.Millisecond})
	_, err = client.Put(ctx, "b", []byte("1"), 0)
	assert.ErrorIs(t, err, objectstore.ErrAmbiguous)
	_, err = client.Get(ctx, "b")
	assert.ErrorIs(t, err, objectstore.ErrNotFound)
	time.Sleep(300 * time.Millisecond)
	_, err = client.Get(ctx, "b")
	assert.NilError(t, err)
	assert.Equal(t, stand.Calls()["put"], 2)
}

// Guards against wrong classification of response codes: a write may be retried
// only when it provably had no effect.
func TestStatusOfWrites(t *testing.T) {
	for _, c := range []struct {
		status int
		want   error
		calls  int
	}{
		{http.StatusInternalServerError, objectstore.ErrAmbiguous, 1},
		{http.StatusServiceUnavailable, objectstore.ErrUnavailable, 3},
		{http.StatusTooManyRequests, objectstore.ErrUnavailable, 3},
		{http.StatusForbidden, objectstore.ErrUnavailable, 1},
		{http.StatusTemporaryRedirect, objectstore.ErrAmbiguous, 1},
		{http.StatusOK, objectstore.ErrAmbiguous, 1}, // without version
	} {
		calls := 0
		client, _ := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls++
			w.WriteHeader(c.status)
		}))
		_, err := client.Put(context.Background(), "a", nil, 0)
		assert.ErrorIs(t, err, c.want, "status %d", c.status)
		assert.Equal(t, calls, c.calls, "status %d", c.status)
	}
}

// Guards against a write that is reported as ambiguous although it was never sent.
func TestUnsentWriteHadNoEffect(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	metrics := telemetry.NewMetrics()
	backend := platform.KeyStore{Store: platform.NewStore(server.URL, "", metrics)}
	client := objectstore.NewClient(objectstore.DefaultClientConfig(), backend, metrics)
	_, err := client.Put(context.Background(), "a", nil, 0)
	assert.ErrorIs(t, err, objectstore.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, objectstore.ErrAmbiguous))
}

// Guards against these faults: calls wait during an outage instead of failing at once; a
// write is used as a probe; calls still fail after the store has recovered.
func TestOutageFailsFastAndRecovers(t *testing.T) {
	ctx := context.Background()
	stand := standin.NewPlatform("secret")
	client, _ := newClient(t, stand)
	stand.SetFaults(standin.PlatformFaults{Latency: time.Minute})
	for client.Healthy() {
		_, _ = client.Get(ctx, "a")
	}
	before := stand.Calls()
	var callers sync.WaitGroup
	start := time.Now()
	for range 200 {
		callers.Go(func() {
			_, err := client.Put(ctx, "a", nil, 0)
			assert.Check(t, errors.Is(err, objectstore.ErrUnavailable))
		})
	}
	callers.Wait()
	assert.Assert(t, time.Since(start) < time.Second)
	after := stand.Calls()
	assert.Equal(t, after["put"], before["put"])
	assert.Assert(t, after["instances"]-before["instances"] <= 2)
	assert.Assert(t, client.SinceSuccess() > 0)
	stand.SetFaults(standin.PlatformFaults{})
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline) && !client.Healthy(); {
		_, _ = client.Get(ctx, "a")
		time.Sleep(5 * time.Millisecond)
	}
	_, err := client.Put(ctx, "a", nil, 0)
	assert.NilError(t, err)
}

// Guards against these faults: reads are never retried; retries exceed the budget; rate
// limiting is taken for an outage.
func TestReadsAreRetriedWithinBudget(t *testing.T) {
	stand := standin.NewPlatform("secret")
	client, metrics := newClient(t, stand)
	stand.SetFaults(standin.PlatformFaults{ReadsPerSecond: 0.001})
	for range 50 {
		_, _ = client.Get(context.Background(), "a")
	}
	retries := metrics.Counter("retries.platform_unavailable").Count()
	assert.Assert(t, retries >= 1 && retries <= 50*0.1+3*5, "%d retries", retries)
	assert.Assert(t, client.Healthy(), "a rate limit is not an outage")
}

// Guards against a simulated store whose reads ignore its setting StaleFor and return
// new writes at once.
func TestStaleReads(t *testing.T) {
	ctx := context.Background()
	stand := standin.NewPlatform("secret")
	client, _ := newClient(t, stand)
	stand.SetFaults(standin.PlatformFaults{StaleFor: 200 * time.Millisecond})
	_, err := client.Put(ctx, "a", nil, 0)
	assert.NilError(t, err)
	_, err = client.Get(ctx, "a")
	assert.ErrorIs(t, err, objectstore.ErrNotFound)
	time.Sleep(250 * time.Millisecond)
	_, err = client.Get(ctx, "a")
	assert.NilError(t, err)
}
