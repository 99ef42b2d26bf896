package gateway

import (
	"bytes"
	"testing"
)

// Guards against events of an endpoint that end the process, and against events that are
// changed while those that the caller has are left out.
func FuzzUnseen(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"), "1")
	f.Add([]byte("data: no id\n\n"), "7")
	f.Add([]byte("\n\n\n\nid:\n\n"), "")
	f.Fuzz(func(t *testing.T, received []byte, last string) {
		end := bytes.LastIndex(received, eventEnd)
		if end < 0 {
			return
		}
		events := received[:end+len(eventEnd)]
		s := streamState{lastID: last}
		rest := s.unseen(events)
		if !bytes.HasSuffix(events, rest) {
			t.Fatalf("%q is no end of %q", rest, events)
		}
		s.recordLastID(events)
	})
}
