package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

func startEngine(t *testing.T, config EngineConfig) (*Engine, string) {
	config.Models = []string{"m"}
	e := NewEngine(config)
	server := httptest.NewServer(e)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
		e.Close()
	})
	return e, server.URL
}

// complete runs a streamed completion of four tokens and returns its status, or 0
// if the connection failed.
func complete(ctx context.Context, url, id, text string) int {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":4,"stream":true}`, text)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Chat-Key", "ab")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Guards against counters that miss requests beyond the engine's limit: tests of
// admission bounds would then pass although the bound is exceeded.
func TestEngineCountsConcurrentWork(t *testing.T) {
	cases := []struct {
		readiness                                   api.Readiness
		limit, overLimit, overloaded, maxConcurrent int
	}{
		{api.ReadinessReady, 3, 2, 0, 5},
		{api.ReadinessLeaving, 3, 2, 0, 5},
		{api.ReadinessWarming, 2, 3, 3, 3},
	}
	for _, c := range cases {
		t.Run(string(c.readiness), func(t *testing.T) {
			e, url := startEngine(t, EngineConfig{MaxRunning: 3, TTFT: 100 * time.Millisecond})
			e.SetReadiness(c.readiness, 2)
			var calls sync.WaitGroup
			for i := range 5 {
				calls.Go(func() { complete(context.Background(), url, fmt.Sprint("r", i), "hello") })
			}
			calls.Wait()
			counters := e.Counters()
			assert.Equal(t, counters.Started, 5)
			assert.Equal(t, counters.StartedOverLimit, c.overLimit)
			assert.Equal(t, counters.Overloaded, c.overloaded)
			assert.Equal(t, counters.MaxConcurrent, c.maxConcurrent)
			for _, start := range e.CompletionStarts() {
				assert.Equal(t, start.Readiness, c.readiness)
				assert.Equal(t, start.Limit, c.limit)
			}
		})
	}
}

// Guards against a prefix cache that doesn't shorten the time to first token, which
// would hide the effect of cache reuse in measurements.
func TestEngineCacheShortensTTFT(t *testing.T) {
	const ttft = 200 * time.Millisecond
	e, url := startEngine(t, EngineConfig{TTFT: ttft})
	var took [2]time.Duration
	for i := range took {
		start := time.Now()
		assert.Equal(t, complete(context.Background(), url, fmt.Sprint("r", i), "hello"), http.StatusOK)
		took[i] = time.Since(start)
	}
	assert.Assert(t, took[0] >= ttft && took[1] < ttft, "%v", took)
	counters := e.Counters()
	assert.Equal(t, counters.CachedTokens*2, counters.PromptTokens)
}

// Guards against a FlapPeriod that makes the engine fail always or never.
func TestEngineFlaps(t *testing.T) {
	e, url := startEngine(t, EngineConfig{})
	e.SetFaults(EngineFaults{FlapPeriod: 20 * time.Millisecond})
	answered, failed := 0, 0
	for i := 0; i < 1000 && (answered == 0 || failed == 0); i++ {
		if complete(context.Background(), url, fmt.Sprint("r", i), "hello") == http.StatusOK {
			answered++
		} else {
			failed++
		}
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, answered > 0 && failed > 0)
}

// Guards against goroutines that outlive the proxy because a connection is frozen,
// delayed or idle when the proxy closes.
func TestFaultProxyCloses(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	target, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = target.Close() }()
	for _, faults := range []ProxyFaults{
		{}, {Freeze: true}, {DelayToTarget: time.Hour}, {DropFromTarget: true}, {Refuse: true},
	} {
		proxy, err := NewFaultProxy(target.Addr().String())
		assert.NilError(t, err)
		conn, err := net.Dial("tcp", proxy.Addr())
		assert.NilError(t, err)
		accepted, err := target.Accept()
		assert.NilError(t, err)
		assert.NilError(t, proxy.SetFaults(faults))
		_, err = conn.Write([]byte("x"))
		assert.NilError(t, err)
		time.Sleep(5 * time.Millisecond)
		proxy.Close()
		assert.Equal(t, proxy.Connections(), 0)
		_ = conn.Close()
		_ = accepted.Close()
	}
}
