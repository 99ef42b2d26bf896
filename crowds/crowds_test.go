package crowds

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Sizes of the crowds. largeCallers bodies of the largest legal size are twice memoryMB, and
// manyCallers connections are more than maxFDs.
const (
	largeCallers = 48
	manyCallers  = 600
	// shortOf is the number of bytes by which a body stops before its end.
	shortOf = 10
)

var largeBody = bytes.Repeat([]byte("b"), bodyBytes)

// declared sends a body with its length, in pieces, up to missing bytes before its end.
func declared(size, missing, piece int, pause time.Duration) func(net.Conn, place) {
	return func(conn net.Conn, to place) {
		head := to.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", size))
		if sendAll(conn, []byte(head), len(head), 0) == nil {
			_ = sendRepeated(conn, size-missing, piece, pause)
		}
	}
}

func sendRepeated(conn net.Conn, size, piece int, pause time.Duration) error {
	for size > 0 {
		n := min(size, len(largeBody))
		if err := sendAll(conn, largeBody[:n], piece, pause); err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// chunked sends a body in chunks; the last chunk is sent only if ends is set.
func chunked(size, chunk int, ends bool) func(net.Conn, place) {
	return func(conn net.Conn, to place) {
		_, err := io.WriteString(conn, to.head("Transfer-Encoding: chunked\r\n\r\n"))
		for sent := 0; err == nil && sent < size; sent += chunk {
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", chunk, largeBody[:chunk])
		}
		if err == nil && ends {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}
}

// Guards against memory that grows with the number of large bodies that arrive at once.
func TestBodiesInOnePiece(t *testing.T) {
	run(t, crowd{largeCallers, declared(bodyBytes, 0, bodyBytes, 0)}, everywhere...)
}

// Guards against memory that grows with large bodies that arrive in small pieces at once.
func TestBodiesInSmallPieces(t *testing.T) {
	run(t, crowd{largeCallers, declared(bodyBytes, 0, 1<<10, 0)}, everywhere...)
}

// Guards against chunked bodies that are not accounted, since their length is not declared.
func TestBodiesInChunks(t *testing.T) {
	run(t, crowd{largeCallers, chunked(bodyBytes, 32<<10, true)}, everywhere...)
}

// Guards against bodies that stop just short of their end and keep their memory.
func TestBodiesThatStopShort(t *testing.T) {
	run(t, crowd{largeCallers, declared(bodyBytes, shortOf, bodyBytes, 0)}, everywhere...)
}

// Guards against chunked bodies that stop before their last chunk and keep their memory.
func TestChunkedBodiesThatStopShort(t *testing.T) {
	run(t, crowd{largeCallers, chunked(bodyBytes-(32<<10), 32<<10, false)}, everywhere...)
}

// Guards against bodies far over the limit that are read before they are refused.
func TestOversizedBodies(t *testing.T) {
	run(t, crowd{largeCallers, declared(16*bodyBytes, 0, 1<<20, 0)}, everywhere...)
}

// Guards against chunked bodies far over the limit that are held beyond it.
func TestOversizedChunkedBodies(t *testing.T) {
	run(t, crowd{largeCallers, chunked(16*bodyBytes, 1<<20, true)}, everywhere...)
}

// Guards against heads of legal size whose very many short fields take many times their size in
// memory. Each stops before its end and stays open.
func TestManyHeaderFields(t *testing.T) {
	var fields strings.Builder
	for i := 0; fields.Len() < 15<<10; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	run(t, crowd{manyCallers, func(conn net.Conn, to place) {
		_, _ = io.WriteString(conn, to.head(fields.String()))
	}}, everywhere...)
}

// Guards against complete requests of very many short fields.
func TestCompleteRequestsOfManyHeaderFields(t *testing.T) {
	var fields strings.Builder
	for i := 0; fields.Len() < 15<<10; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	run(t, crowd{manyCallers, func(conn net.Conn, to place) {
		request := to.head(fields.String() + "Content-Length: 0\r\n\r\n")
		for range 8 {
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
		}
	}}, everywhere...)
}

// Guards against requests sent ahead without reading that pile up with their answers.
func TestRequestsSentAhead(t *testing.T) {
	run(t, crowd{manyCallers, func(conn net.Conn, to place) {
		request := to.head("Content-Length: 0\r\n\r\n")
		for range 500 {
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
		}
	}}, atRoute, atBigAnswer, atNoRoute, atReadiness)
}

// Guards against callers that send slowly and hold connections and memory.
func TestSlowSenders(t *testing.T) {
	run(t, crowd{manyCallers, declared(bodyBytes, 0, 512, 100*time.Millisecond)}, everywhere...)
}

// Guards against callers that read slowly and hold the unread rest of large answers.
func TestSlowReaders(t *testing.T) {
	run(t, crowd{manyCallers, func(conn net.Conn, to place) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10)
		}
		request := to.head("Content-Length: 0\r\n\r\n")
		for range 20 {
			_, _ = io.WriteString(conn, request)
		}
		buffer := make([]byte, 256)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}}, atBigAnswer, atNoRoute, atReadiness)
}

// Guards against callers that stop in the middle of a head and hold connections.
func TestCallersThatStopHalfWay(t *testing.T) {
	run(t, crowd{manyCallers, func(conn net.Conn, to place) {
		head := to.head("Content-Length: 4\r\n\r\nbody")
		_, _ = io.WriteString(conn, head[:len(head)/2])
	}}, everywhere...)
}
