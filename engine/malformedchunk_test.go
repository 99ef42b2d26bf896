package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an event of a chunk that lost bytes being returned, so that the chat goes on behind a wrong
// event.
func TestEventOfMalformedChunkIsNotReturned(t *testing.T) {
	var body strings.Builder
	for id := 1; id <= 6; id++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
		fmt.Fprintf(&body, "%x\r\n%s\r\n", len(event), event)
	}
	const head = "HTTP/1.1 200 X\r\n" + HeaderRequestID + ": ID\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastChunk := strings.LastIndex(body.String(), "id: 6")
	broken := 0
	for at := 1; at < lastChunk-40; at += 3 {
		for _, lost := range []int{1, 2, 4, 7, 17, 33} {
			url := newRawServer(t, respondRaw(head+body.String()[:at]+body.String()[at+lost:]))
			stream, err := newClient(t).Stream(context.Background(), chatRequest(url, "r1", 6))
			assert.NilError(t, err)
			for {
				event, err := stream.Next()
				if err != nil {
					assert.Assert(t, !errors.Is(err, io.EOF))
					broken++
					break
				}
				if want := fmt.Sprintf("piece %d", event.ID); string(event.Data) != want {
					t.Errorf("%d bytes lost from %d on: event %d is %q", lost, at, event.ID, event.Data)
				}
			}
			stream.Close()
		}
	}
	assert.Assert(t, broken > 100)
}

// Guards against an event being returned before the end mark of its chunk has arrived, if the chunk lacks
// bytes and a part of its end mark was taken for data.
func TestEventWaitsForEndMarkOfChunk(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		url := newRawServer(t, func(conn *net.TCPConn, request *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", HeaderRequestID, request.Header.Get(HeaderRequestID))
			for id := 1; id <= 3; id++ {
				event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
				chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
				if id == 2 {
					chunk = strings.Replace(chunk, "piece"[:lost], "", 1)
				}
				_, _ = io.WriteString(conn, chunk)
				time.Sleep(20 * time.Millisecond)
			}
			return false
		})
		stream, err := newClient(t).Stream(context.Background(), chatRequest(url, "r1", 3))
		assert.NilError(t, err)
		for {
			event, err := stream.Next()
			if err != nil {
				break
			}
			if want := fmt.Sprintf("piece %d", event.ID); string(event.Data) != want {
				t.Errorf("%d bytes lost: event %d is %q", lost, event.ID, event.Data)
			}
		}
		stream.Close()
	}
}
