package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// memoryMB is the memory above which the platform ends a router.
const memoryMB = 284

// endlessStarts are what faulty endpoints send before bytes without end. ID stands for the id of the
// request.
var endlessStarts = []string{
	"",
	"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nX-Long: ",
	"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n\r\n",
	"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
}

// Guards against a router that keeps what faulty endpoints send without end, in a head or in a body,
// until its memory is used up, so that the requests of other callers end with it. Half of the callers
// do not read what they get.
func TestEndlessBytesEndNoRouter(t *testing.T) {
	const faulty, sound, length = 48, 4, 6 * time.Second
	h := newHarness(t, build(t))
	for i, start := range endlessStarts {
		h.platform.SetSpec("servers", fmt.Sprintf("bad-%d", i), map[string]any{
			"service": "bad", "address": listenEndless(t, start), "zone": "z", "slots": faulty, "state": "ready", "born": 1,
			"version": "1", "cold_left_ms": 0, "seq": 1,
		})
	}
	h.platform.SetSpec("config", "main", map[string]any{
		"version": 100,
		"routes": []map[string]any{
			{"name": "unsafe", "kind": "unsafe", "host": "h", "path_prefix": "/unsafe/", "timeout_ms": 4000, "service": "s", "attempts": 1},
			{"name": "bad", "kind": "unsafe", "host": "h", "path_prefix": "/bad/", "timeout_ms": 4000, "service": "bad", "attempts": 1},
			{"name": "badstream", "kind": "streaming", "host": "h", "path_prefix": "/badstream/", "timeout_ms": 4000, "service": "bad", "attempts": 1},
		},
		"services": []map[string]any{{"name": "s"}, {"name": "bad"}},
		"tenants":  []map[string]any{{"name": "w", "api_keys": []string{"k0"}}},
	})
	time.Sleep(time.Second)
	router := h.routers[0]
	var callers sync.WaitGroup
	end := time.Now().Add(length)
	for i := range faulty {
		callers.Go(func() {
			for time.Now().Before(end) {
				callFaulty(router.callers, []string{"/bad/", "/badstream/"}[i%2], i%4 < 2, end)
			}
		})
	}
	for i := range sound {
		callers.Go(func() {
			client := &http.Client{Timeout: 5 * time.Second}
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("sound-%d-%d", i, n)
				if status, body := callSound(client, router.callers, id); status != http.StatusOK || body != id+" body" {
					h.addProblem("%s: status %d, body %q", id, status, body)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	highest := 0
	for time.Now().Before(end) {
		highest = max(highest, residentMB(router.command.Process.Pid))
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	assert.Equal(t, len(h.problems), 0, "%v", h.problems)
	assert.Assert(t, highest < memoryMB, "%d MB", highest)
	assert.Assert(t, !router.awaitExit(0), "the router has ended")
	t.Logf("the router held %d MB at most", highest)
}

// listenEndless returns the address of an endpoint that answers each connection with the start and
// then with bytes without end.
func listenEndless(t *testing.T, start string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(start, "ID", request.Header.Get("Request-Id")))
				block := bytes.Repeat([]byte("x"), 64<<10)
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// callFaulty calls a route whose endpoints are faulty. A caller that does not read keeps its
// connection until the end.
func callFaulty(address, path string, reads bool, end time.Time) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	_, _ = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: h\r\nRequest-Id: bad\r\nApi-Key: k0\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody", path)
	if !reads {
		time.Sleep(min(time.Until(end), 4*time.Second))
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

func callSound(client *http.Client, address, id string) (int, string) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/unsafe/x", strings.NewReader("body"))
	request.Host = "h"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Api-Key", "k0")
	request.Header.Set("Deadline-Ms", "4000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// residentMB returns the resident memory of a process in MB, 0 if it has ended.
func residentMB(pid int) int {
	var size, resident int
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	_, _ = fmt.Sscan(string(text), &size, &resident)
	return resident * os.Getpagesize() >> 20
}
