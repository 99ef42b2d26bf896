package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// speak sends a whole request on a connection and returns the response, its body and the time that it
// took.
func speak(conn net.Conn, deadlineMS string) (*http.Response, string, time.Duration, error) {
	began := time.Now()
	_ = conn.SetDeadline(began.Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nApi-Key: k\r\nDeadline-Ms: %s\r\nContent-Length: 2\r\n\r\nxy", deadlineMS); err != nil {
		return nil, "", 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), time.Since(began), err
}

// Guards against connections that are closed or reset without an answer during a planned stop: those
// opened before or during it whose first request comes late, and idle ones that were kept.
func TestRequestOnConnectionDuringStop(t *testing.T) {
	for name, c := range map[string]struct {
		graceS         float64
		opened, spoken []time.Duration // after the stop began
	}{
		"long grace": {
			8,
			[]time.Duration{-4 * time.Second, -100 * time.Millisecond, 0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond},
			[]time.Duration{4 * time.Second, 5 * time.Second, 6 * time.Second, 7 * time.Second},
		},
		"short grace": {
			5,
			[]time.Duration{-100 * time.Millisecond, 0, 500 * time.Millisecond, 1500 * time.Millisecond},
			[]time.Duration{2600 * time.Millisecond, 3400 * time.Millisecond, 4200 * time.Millisecond},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.register("ready")
			s.configure("k")
			r := s.startWithGrace(t, "r1", c.graceS)
			eventually(t, 2*time.Second, "ready", r.ready)
			stopAt := time.Now().Add(-min(0, c.opened[0]))
			var group sync.WaitGroup
			for _, opened := range c.opened {
				for _, spoken := range c.spoken {
					group.Go(func() {
						time.Sleep(time.Until(stopAt.Add(opened)))
						conn, err := net.Dial("tcp", r.settings.Listen.Callers)
						if !assert.Check(t, err) {
							return
						}
						defer conn.Close()
						time.Sleep(time.Until(stopAt.Add(spoken)))
						response, body, took, err := speak(conn, "1500") //nolint:bodyclose // closed there
						if !assert.Check(t, err, "opened %s, spoken %s", opened, spoken) {
							return
						}
						assert.Check(t, response.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, "shutting_down"), "%d %s", response.StatusCode, body)
						assert.Check(t, response.Close && response.Header.Get("Retry-After") != "")
						assert.Check(t, took < time.Second, took)
					})
				}
			}
			for _, spoken := range c.spoken {
				group.Go(func() {
					conn, err := net.Dial("tcp", r.settings.Listen.Callers)
					if !assert.Check(t, err) {
						return
					}
					defer conn.Close()
					response, _, _, err := speak(conn, "1500") //nolint:bodyclose // closed there
					if !assert.Check(t, err) {
						return
					}
					assert.Check(t, response.StatusCode == http.StatusOK && !response.Close)
					time.Sleep(time.Until(stopAt.Add(spoken)))
					response, body, _, err := speak(conn, "5000") //nolint:bodyclose // closed there
					if !assert.Check(t, err, "kept connection, spoken %s", spoken) {
						return
					}
					assert.Check(t, response.Close)
					assert.Check(t, response.StatusCode == http.StatusOK || response.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, "shutting_down"), "%d %s", response.StatusCode, body)
				})
			}
			time.Sleep(time.Until(stopAt))
			r.stop()
			group.Wait()
			err := <-r.done
			r.done <- err
			grace := time.Duration(c.graceS * float64(time.Second))
			assert.Assert(t, time.Since(stopAt) < grace, "the router outlasts its grace period")
		})
	}
}

// Guards against a router that stays for its whole grace period although no caller is connected.
func TestStopWithoutConnections(t *testing.T) {
	s := newSite(t)
	s.configure("k")
	r := s.start(t, "r1")
	eventually(t, 2*time.Second, "ready", r.ready)
	began := time.Now()
	r.stop()
	err := <-r.done
	r.done <- err
	assert.Assert(t, time.Since(began) < 4*time.Second, time.Since(began))
}
