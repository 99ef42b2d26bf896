package routerlog

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const lines = `{"level":"info","ts":"2026-09-05T22:00:00Z","msg":"router started","router":"r1","zone":"za"}
{"level":"info","ts":"2026-09-05T22:01:00Z","msg":"refused","router":"r1","request":"a","reason":"endpoint_full","service":"s","kind":"unsafe","workspace":"w","status":503,"may_have_run":false}
{"level":"info","ts":"2026-09-05T22:02:00Z","msg":"refused","router":"r1","request":"b","reason":"upstream_failed","service":"s","kind":"unsafe","workspace":"w","endpoint":"e","status":502,"may_have_run":true,"age":0.25}
not json
{"level":"info","ts":"2026-09-05T22:20:00Z","msg":"refused","router":"r2","request":"c","reason":"upstream_failed","service":"s","kind":"safe","status":502,"may_have_run":true}
{"level":"info","ts":"2026-09-05T22:20:01Z","msg":"response aborted","router":"r2","request":"d","reason":"upstream_incomplete","service":"t","kind":"stream"}
{"level":"warn","ts":"2026-09-05T22:20:02Z","msg":"endpoint ejected","router":"r2","endpoint":"e"}
{"level":"info","ts":"2026-09-05T22:30:00Z","msg":"router started","router":"r1","zone":"za"}
{"no":"line"}
`

func summarize(t *testing.T, input []byte) Summary {
	t.Helper()
	s := NewSummarizer()
	assert.NilError(t, Read(bytes.NewReader(input), func(l Line, _ []byte) { s.Add(l) }, s.AddBad))
	return s.Summary()
}

// Guards against requests that are counted with the wrong outcome: one that may have run
// counted as refused hides a doubled order. Also against a router that ended without a stop
// and is not shown.
func TestSummary(t *testing.T) {
	s := summarize(t, []byte(lines))
	assert.Equal(t, s.Lines, 7)
	assert.Equal(t, s.BadLines, 2)
	assert.DeepEqual(t, s.Requests, []Count{{"answer broken or lost", 2}, {"outcome unknown", 1}, {"refused, has not run", 1}})
	assert.Equal(t, len(s.Unknown), 1)
	assert.Equal(t, s.Unknown[0].Request, "b")
	assert.Equal(t, s.Unknown[0].Workspace, "w")
	assert.DeepEqual(t, s.Restarts, []Count{{"r1", 1}})
	assert.DeepEqual(t, s.Endpoints, []Count{{"e", 1}})
	assert.Equal(t, len(s.ByTime), 3)
	assert.DeepEqual(t, s.Ages[1], Ages{"outcome unknown", 0.25, 0.25, 0.25})
	assert.Equal(t, s.ByTime[0].Name, "2026-09-05T22:00:00Z outcome unknown")
	var text strings.Builder
	assert.NilError(t, s.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), "outcome unknown: za"))
}

// Guards against compressed files that are read as bad lines.
func TestCompressed(t *testing.T) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write([]byte(lines))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	assert.DeepEqual(t, summarize(t, compressed.Bytes()), summarize(t, []byte(lines)))
}

// Guards against a long or cut line that hides the lines after it, and against a last line
// without an end.
func TestBadLines(t *testing.T) {
	long := strings.Repeat("x", 3*maxLineBytes)
	good := strings.TrimSpace(strings.SplitN(lines, "\n", 2)[0])
	s := summarize(t, []byte(long+"\n"+good[:20]+"\n"+good))
	assert.Equal(t, s.BadLines, 2)
	assert.Equal(t, s.Lines, 1)
}

// Guards against memory that grows with the number of lines: tables and lists are bounded,
// and what is left out is counted.
func TestBounded(t *testing.T) {
	s := NewSummarizer()
	at := time.Unix(1000, 0)
	const requests = 3 * maxKeys
	for i := range requests {
		name := fmt.Sprint(i)
		s.Add(Line{
			At: at, Message: messageRefused, Router: name, Request: name, Reason: name, Service: name, Workspace: name,
			Kind: "unsafe", MayHaveRun: true,
		})
	}
	summary := s.Summary()
	assert.Equal(t, len(summary.Unknown)+summary.UnknownLeftOut, requests)
	for _, table := range [][]Count{summary.ByReason, summary.ByService, summary.ByWorkspace} {
		total := 0
		for _, count := range table {
			total += count.Lines
		}
		assert.Assert(t, len(table) <= maxKeys+1)
		assert.Equal(t, total, requests)
	}
	assert.Assert(t, len(s.routers) <= maxKeys)
}

// Guards against a page that needs other files, or in which a name from a line becomes markup.
func TestHTML(t *testing.T) {
	input := strings.ReplaceAll(lines, `"reason":"upstream_failed"`, `"reason":"<script src=x>"`)
	var page strings.Builder
	assert.NilError(t, summarize(t, []byte(input)).WriteHTML(&page))
	assert.Assert(t, strings.Contains(page.String(), "<svg") && strings.Contains(page.String(), "outcome unknown"))
	for _, bad := range []string{"<script", "<link", "src=\"", "href=\""} {
		assert.Assert(t, !strings.Contains(page.String(), bad), bad)
	}
	assert.NilError(t, Summary{}.WriteHTML(&page))
}

// BenchmarkRead measures the bytes a second of reading and summarizing.
func BenchmarkRead(b *testing.B) {
	input := bytes.Repeat([]byte(lines), 1000)
	b.SetBytes(int64(len(input)))
	for b.Loop() {
		s := NewSummarizer()
		if err := Read(bytes.NewReader(input), func(l Line, _ []byte) { s.Add(l) }, s.AddBad); err != nil {
			b.Fatal(err)
		}
	}
}
