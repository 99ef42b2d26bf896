package engine

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

func runChat(t *testing.T, client *Client, url, id, chatKey string) {
	request := chatRequest(url, id, 4)
	request.ChatKey = chatKey
	stream, err := client.Stream(context.Background(), request)
	assert.NilError(t, err)
	defer stream.Close()
	_, err = readText(stream)
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against these faults: a load report lacks its age; it gives the wrong readiness
// for a cold engine; the test double does not count a request that a cold engine refuses
// because of overload.
func TestLoadReport(t *testing.T) {
	client, ctx := newClient(t), context.Background()
	double, url := newEngine(t, standin.EngineConfig{ID: "e", LoadLag: 40 * time.Millisecond})
	double.Restart(1)
	report, err := client.ReadLoad(ctx, url)
	assert.NilError(t, err)
	assert.Equal(t, report.Readiness, api.ReadinessReady)
	assert.Equal(t, report.AgeMs, 40)
	time.Sleep(50 * time.Millisecond)
	report, err = client.ReadLoad(ctx, url)
	assert.NilError(t, err)
	assert.Equal(t, report.Readiness, api.ReadinessCold)
	assert.Equal(t, report.Bearable, 1)
	assert.Equal(t, report.BootID, "e-1")

	double.SetReadiness(api.ReadinessCold, 0)
	_, err = client.Stream(ctx, chatRequest(url, "r1", 1))
	assert.ErrorIs(t, err, ErrStatus)
	assert.Equal(t, double.Counters().Overloaded, 1)
	assert.Equal(t, double.CompletionStarts()[0].Limit, 0)
}

// Guards against these faults: an order that the engine refuses because of its old fencing
// number is reported as accepted; an order is carried out twice.
func TestOrder(t *testing.T) {
	client, ctx := newClient(t), context.Background()
	for _, checks := range []bool{true, false} {
		double, url := newEngine(t, standin.EngineConfig{ChecksFencing: checks})
		order := api.Order{ID: "o1", Kind: api.OrderKindLoadModel, Model: "n", FencingNumber: 5}
		for range 2 {
			result, err := client.Order(ctx, url, order)
			assert.NilError(t, err)
			assert.Assert(t, result.Accepted)
		}
		assert.Equal(t, len(double.Orders()), 1)
		old := api.Order{ID: "o2", Kind: api.OrderKindUnloadModel, Model: "n", FencingNumber: 4}
		result, err := client.Order(ctx, url, old)
		assert.NilError(t, err)
		assert.Equal(t, result.Accepted, !checks)
		assert.Equal(t, result.FencingNumber, uint64(5))
	}
}

// Guards against these faults: the target does not use a KV cache that was moved to it;
// the cache is sent faster than the limit; the target stores a truncated export.
func TestMoveKV(t *testing.T) {
	client, ctx := newClient(t), context.Background()
	config := standin.EngineConfig{KVBytesPerToken: 4096}
	_, from := newEngine(t, config)
	target, to := newEngine(t, config)
	runChat(t, client, from, "r1", "ab")
	kv, err := client.ExportKV(ctx, from, "ab")
	assert.NilError(t, err)
	defer kv.Close()
	const burst = 1 << 10
	const wantTime = 50 * time.Millisecond
	perSecond := float64(kv.Size-burst) / wantTime.Seconds()
	start := time.Now()
	err = client.ImportKV(ctx, to, "ab", kv, rate.NewLimiter(rate.Limit(perSecond), burst))
	assert.NilError(t, err)
	elapsed := time.Since(start)
	assert.Assert(t, elapsed >= wantTime-time.Millisecond, "%v", elapsed)
	runChat(t, client, to, "r2", "ab")
	counters := target.Counters()
	assert.Assert(t, counters.PromptTokens > 0)
	assert.Equal(t, counters.CachedTokens, counters.PromptTokens)

	cut, err := client.ExportKV(ctx, from, "ab")
	assert.NilError(t, err)
	cut.Close()
	assert.Assert(t, client.ImportKV(ctx, to, "cd", cut, nil) != nil)
	_, err = client.ExportKV(ctx, to, "cd")
	assert.ErrorIs(t, err, ErrStatus)
}

// Guards against a view that contradicts the engine's cache when events are late
// or lost. The test compares the two only after the view has applied the newest event,
// because a lost event shows as a gap only when the next event arrives.
func TestCacheViewFollowsEngine(t *testing.T) {
	client, ctx := newClient(t), context.Background()
	double, url := newEngine(t, standin.EngineConfig{
		CacheTokens: 60,
		Events:      standin.EventConfig{LoseEvery: 9, SnapshotEvery: 7},
	})
	view := NewCacheView(100)
	known, unknown := 0, 0
	for i := range 40 {
		runChat(t, client, url, fmt.Sprint("r", i), fmt.Sprintf("%02x", i%12))
		events, err := client.CacheEvents(ctx, url, view.LastSequence())
		assert.NilError(t, err)
		view.Apply(events)
		if !view.ContentsKnown() {
			unknown++
			continue
		}
		known++
	}
	assert.Assert(t, known > 0 && unknown > 0, "%d %d", known, unknown)
	for !view.ContentsKnown() || view.LastSequence() != double.CacheSequence() {
		runChat(t, client, url, fmt.Sprint("s", view.LastSequence()), "00")
		events, err := client.CacheEvents(ctx, url, view.LastSequence())
		assert.NilError(t, err)
		view.Apply(events)
	}
	assert.Assert(t, view.Len() > 0)
	for i := range 12 {
		prefix := fmt.Sprintf("%02x", i)
		kv, err := client.ExportKV(ctx, url, prefix)
		assert.Equal(t, err == nil, view.Contains(prefix), prefix)
		if err == nil {
			kv.Close()
		}
	}
}

// Guards against these faults: a view holds more than maxChats chats; its contents stay
// known after a gap; its contents differ from those of a plain set to which the same
// events were applied since the last snapshot.
func FuzzCacheView(f *testing.F) {
	f.Add([]byte{0x20, 0x01, 0x12, 0x02, 0x41, 0x22, 0x03})
	f.Add([]byte{0x20, 0x01, 0x02, 0x03, 0x04, 0x05})
	f.Fuzz(func(t *testing.T, input []byte) {
		const maxChats = 4
		kinds := []api.CacheEventKind{api.CacheEventKindStored, api.CacheEventKindEvicted, api.CacheEventKindSnapshot, "other"}
		view := NewCacheView(maxChats)
		model, known := map[string]bool{}, false
		sequence := uint64(0)
		for _, b := range input {
			// Bits 0 to 3 give the chat, 4 and 5 the kind of the event, 6 and 7 the
			// step of the sequence number.
			step := []int{1, 0, 2, -1}[b>>6]
			if step < 0 && sequence == 0 {
				step = 0
			}
			before := view.LastSequence()
			sequence += uint64(step)
			event := api.CacheEvent{Sequence: sequence, Kind: kinds[b>>4&3], Prefix: string('a' + rune(b&15))}
			if event.Kind == api.CacheEventKindSnapshot {
				event.Prefixes = []string{event.Prefix, "z"}
			}
			view.Apply([]api.CacheEvent{event})
			if sequence > before {
				known = replay(model, known && sequence == before+1, event, maxChats)
			}
			assert.Equal(t, view.ContentsKnown(), known)
			assert.Assert(t, view.Len() <= maxChats)
			for r := 'a'; r <= 'z'; r++ {
				assert.Equal(t, view.Contains(string(r)), known && model[string(r)])
			}
		}
	})
}

// replay applies an event to model, a plain set, and returns whether its contents are
// known afterwards.
func replay(model map[string]bool, known bool, event api.CacheEvent, maxChats int) bool {
	switch event.Kind {
	case api.CacheEventKindSnapshot:
		clear(model)
		for _, prefix := range event.Prefixes {
			model[prefix] = true
		}
		known = true
	case api.CacheEventKindStored:
		model[event.Prefix] = true
	case api.CacheEventKindEvicted:
		delete(model, event.Prefix)
	default:
		known = false
	}
	return known && len(model) <= maxChats
}
