package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// Guards against goroutines that outlive closed streams, clients and servers.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newClient(t testing.TB) *Client {
	client := New(Options{})
	t.Cleanup(client.Close)
	return client
}

func newEngine(t testing.TB, config standin.EngineConfig) (*standin.Engine, string) {
	config.Models = []string{"m"}
	double := standin.NewEngine(config)
	server := httptest.NewServer(double)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		double.Close()
	})
	return double, server.URL
}

func chatRequest(url, id string, tokens int) StreamRequest {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":%d,"stream":true}`, tokens)
	return StreamRequest{
		URL: url, RequestID: id, ChatKey: "ab", Body: []byte(body),
		FirstByteTimeout: 200 * time.Millisecond,
		IdleTimeout:      200 * time.Millisecond,
	}
}

// readText reads a stream until an error, which is io.EOF for a complete stream.
func readText(s *Stream) (*DeliveredText, error) {
	text := NewDeliveredText(1 << 24)
	for {
		event, err := s.Next()
		if err != nil {
			return text, err
		}
		if !event.Done {
			text.Add(event.Data)
		}
	}
}

func generatedText(t *testing.T, r StreamRequest) string {
	want, err := standin.GeneratedText(r.Body)
	assert.NilError(t, err)
	return want
}

func textOf(t *testing.T, d *DeliveredText) string {
	text, ok := d.Text()
	assert.Assert(t, ok)
	return text
}

// Guards against lost, repeated or altered bytes in a stream of more than 1 MiB. Single
// reads of such a stream end within events.
func TestStreamIsByteIdentical(t *testing.T) {
	_, url := newEngine(t, standin.EngineConfig{})
	request := chatRequest(url, "large", 10_000)
	stream, err := newClient(t).Stream(context.Background(), request)
	assert.NilError(t, err)
	defer stream.Close()
	text, size, last := NewDeliveredText(1<<20), 0, Event{}
	for !last.Done {
		last, err = stream.Next()
		assert.NilError(t, err)
		size += len(last.Data)
		if !last.Done {
			text.Add(last.Data)
		}
	}
	assert.Assert(t, size > 1<<20, "%d", size)
	assert.Assert(t, textOf(t, text) == generatedText(t, request))
	assert.Equal(t, last.ID, 10_002)
	_, err = stream.Next()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against these faults: a stream that the endpoint broke off is reported as
// complete; a fault of the endpoint is reported with the wrong kind of error, so that the
// router retries wrongly or fails to retry.
func TestStreamFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.EngineFaults
		want   error
	}{
		{"cut", standin.EngineFaults{CutAfter: 3}, ErrIncomplete},
		{"no end marker", standin.EngineFaults{OmitEndMarker: true}, ErrIncomplete},
		{"crossed", standin.EngineFaults{WrongResponse: true}, ErrWrongRequestID},
		{"duplicate event", standin.EngineFaults{DuplicateAt: 4}, ErrEventGap},
		{"missing event", standin.EngineFaults{MissingAt: 4}, ErrEventGap},
		{"missing event before the end marker", standin.EngineFaults{MissingAt: 11}, ErrEventGap},
		{"refused", standin.EngineFaults{RefuseNotRun: true}, ErrNotStarted},
		{"hang", standin.EngineFaults{Hang: true}, ErrFirstByteTimeout},
		{"late", standin.EngineFaults{HeaderDelay: time.Second}, ErrFirstByteTimeout},
		{"closed", standin.EngineFaults{Close: true}, ErrIncomplete},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			double, url := newEngine(t, standin.EngineConfig{})
			double.SetFaults(c.faults)
			stream, err := newClient(t).Stream(context.Background(), chatRequest(url, "r1", 10))
			if err == nil {
				defer stream.Close()
				_, err = readText(stream)
			}
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, MayHaveRun(err), !errors.Is(c.want, ErrNotStarted))
			assert.Equal(t, MayHaveRun(err), double.Counters().Started == 1)
		})
	}
}

// Guards against these faults: a stalled engine keeps a stream open beyond the idle
// timeout; the idle timeout counts the time between two calls of Next.
func TestStreamIdleTimeout(t *testing.T) {
	_, url := newEngine(t, standin.EngineConfig{TokenInterval: 40 * time.Millisecond})
	request := chatRequest(url, "slow", 3)
	request.IdleTimeout = 10 * time.Millisecond
	stream, err := newClient(t).Stream(context.Background(), request)
	assert.NilError(t, err)
	defer stream.Close()
	_, err = readText(stream)
	assert.ErrorIs(t, err, ErrIdleTimeout)
	assert.ErrorIs(t, err, ErrIncomplete)

	_, url = newEngine(t, standin.EngineConfig{})
	slowCaller, err := newClient(t).Stream(context.Background(), chatRequest(url, "slow-caller", 3))
	assert.NilError(t, err)
	defer slowCaller.Close()
	_, err = slowCaller.Next()
	assert.NilError(t, err)
	time.Sleep(300 * time.Millisecond)
	_, err = readText(slowCaller)
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against a failed connection attempt being reported as a request that may have
// run, which would prevent a safe retry.
func TestStreamFailedDialIsNotStarted(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	_, err := newClient(t).Stream(context.Background(), chatRequest(server.URL, "r1", 3))
	assert.ErrorIs(t, err, ErrNotStarted)
	assert.Assert(t, !MayHaveRun(err))
}

// Guards against repeated or lost text when a stream is resumed on its own endpoint
// and then continued on another.
func TestResumeAndContinue(t *testing.T) {
	client, ctx := newClient(t), context.Background()
	first, firstURL := newEngine(t, standin.EngineConfig{ID: "a"})
	_, secondURL := newEngine(t, standin.EngineConfig{ID: "b"})
	first.SetFaults(standin.EngineFaults{CutAfter: 40})
	request := chatRequest(firstURL, "r1", 100)
	text := NewDeliveredText(1 << 20)
	last := 0
	open := []func() (*Stream, error){
		func() (*Stream, error) { return client.Stream(ctx, request) },
		func() (*Stream, error) { return client.Resume(ctx, request, last) },
		func() (*Stream, error) {
			request.URL = secondURL
			return client.Continue(ctx, request, last, textOf(t, text))
		},
	}
	for i, f := range open {
		stream, err := f()
		assert.NilError(t, err)
		part, err := readText(stream)
		text.text.WriteString(textOf(t, part))
		last = stream.LastID()
		stream.Close()
		assert.Equal(t, errors.Is(err, io.EOF), i == 2, "%v", err)
	}
	assert.Equal(t, last, 102)
	assert.Equal(t, textOf(t, text), generatedText(t, request))
}

// Guards against an engine that goes on generating after a stream was cancelled or
// closed.
func TestCancel(t *testing.T) {
	client, ctx := newClient(t), context.Background()
	config := standin.EngineConfig{TokenInterval: 10 * time.Millisecond, ResumeWindow: 20 * time.Millisecond}
	double, url := newEngine(t, config)
	for i, cancel := range []bool{true, false} {
		id := fmt.Sprint("r", i)
		stream, err := client.Stream(ctx, chatRequest(url, id, 10_000))
		assert.NilError(t, err)
		_, err = stream.Next()
		assert.NilError(t, err)
		if cancel {
			assert.NilError(t, client.Cancel(ctx, url, id))
		}
		stream.Close()
		deadline := time.Now().Add(5 * time.Second)
		for double.Counters().Cancelled != i+1 && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, double.Counters().Cancelled, i+1)
	}
	assert.Equal(t, double.Running(), 0)
	assert.NilError(t, client.Cancel(ctx, url, "unknown"))
}

// Guards against these faults: a long completion takes unbounded memory; a completion
// that plain text can't represent is continued.
func TestDeliveredLimits(t *testing.T) {
	for _, data := range []string{
		`{"choices":[{"delta":{"content":"12345"}}]}`,
		`{"choices":[{"delta":{"tool_calls":[]}}]}`,
		`{"choices":[{"index":1,"delta":{"content":"1"}}]}`,
		`not json`,
	} {
		d := NewDeliveredText(4)
		d.Add([]byte(data))
		_, ok := d.Text()
		assert.Assert(t, !ok, data)
	}
}

// Guards against input on which the decoder panics, returns an id that is not one higher
// than the previous one, or returns more data than its bound.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: [DONE]\r\n\r\n"))
	f.Add([]byte(": c\n\nid:1\ndata:\ndata\n\nid: 3\ndata: x\n\n"))
	f.Add([]byte("data: " + strings.Repeat("x", 9000) + "\nid: 1\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		const maxBytes = 10_000
		decoder := NewDecoder(bytes.NewReader(input), 0, maxBytes)
		for want := 1; ; want++ {
			event, err := decoder.Next()
			if err != nil {
				known := errors.Is(err, io.EOF) || errors.Is(err, ErrIncomplete) ||
					errors.Is(err, ErrEventGap) || errors.Is(err, ErrTooLarge)
				assert.Assert(t, known, "%v", err)
				return
			}
			assert.Equal(t, event.ID, want)
			assert.Assert(t, len(event.Data) <= maxBytes)
		}
	})
}

// Reports the time and the allocations per event, which are spent for every token.
func BenchmarkDecoder(b *testing.B) {
	const events = 1000
	var input bytes.Buffer
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&input, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"},\"finish_reason\":null}]}\n\n", i)
	}
	reader := bytes.NewReader(input.Bytes())
	b.ReportAllocs()
	for b.Loop() {
		reader.Reset(input.Bytes())
		decoder := NewDecoder(reader, 0, 1<<20)
		for range events {
			if _, err := decoder.Next(); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
}
