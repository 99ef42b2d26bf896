package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// BenchmarkSmallRequest measures a request of 4 bytes on a kept connection, with its endpoint.
func BenchmarkSmallRequest(b *testing.B) {
	f := newTestGateway(b, newEndpoint(b, "i", answer(200, "", "ok"))).configure()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for b.Loop() {
		_, _ = io.WriteString(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nApi-Key: key\r\nContent-Length: 4\r\n\r\nbody")
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(err, response)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// BenchmarkHeldBytes measures the live heap for each request in flight that waits for its endpoint, of
// declared and of chunked bodies. The sender and the endpoint hold no bodies.
func BenchmarkHeldBytes(b *testing.B) {
	const inFlight, size, chunk = 16, 4 << 20, 32 << 10
	block := strings.Repeat("b", chunk)
	for _, chunked := range []bool{false, true} {
		b.Run(fmt.Sprintf("chunked=%t", chunked), func(b *testing.B) {
			for b.Loop() {
				e := newEndpoint(b, "i", answer(200, "", "ok"))
				arrived, measured := make(chan bool), make(chan bool)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				e.listener.Close()
				e.listener = listener
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						go func() {
							defer conn.Close()
							request, _ := http.ReadRequest(bufio.NewReader(conn))
							_, _ = io.Copy(io.Discard, request.Body)
							arrived <- true
							<-measured
						}()
					}
				}()
				f := newTestGateway(b, e).configure()
				before := liveHeap()
				for range inFlight {
					conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
					if err != nil {
						b.Fatal(err)
					}
					defer conn.Close()
					go sendBody(conn, block, size, chunked)
				}
				for range inFlight {
					<-arrived
				}
				b.ReportMetric(float64(liveHeap()-before)/inFlight/size, "held/body")
				close(measured)
				listener.Close()
			}
		})
	}
}

func sendBody(conn net.Conn, block string, size int, chunked bool) {
	framing := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, _ = fmt.Fprintf(conn, "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nApi-Key: key\r\n%s\r\n\r\n", framing)
	for sent := 0; sent < size; sent += len(block) {
		if chunked {
			_, _ = fmt.Fprintf(conn, "%x\r\n", len(block))
		}
		_, _ = io.WriteString(conn, block)
		if chunked {
			_, _ = io.WriteString(conn, "\r\n")
		}
	}
	if chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// liveHeap returns the bytes of the heap in use after a collection.
func liveHeap() int64 {
	time.Sleep(20 * time.Millisecond)
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
