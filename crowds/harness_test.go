package crowds

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	// memoryMB and maxFDs are the limits in the settings, and the bounds of the peak resident size
	// and of the open descriptors.
	memoryMB = 96
	maxFDs   = 500
	// bodyBytes is the largest legal body.
	bodyBytes = 4 << 20
	// bigAnswerBytes is the size of the answer to a path that begins with /big/.
	bigAnswerBytes = 200 << 10
	// holdTime is how long a crowd stays connected. The ordinary request is sent within it.
	holdTime = 3 * time.Second
	// hangTimeout bounds waits that end much earlier unless the process hangs.
	hangTimeout = 60 * time.Second
	// crowdAddress and ordinaryAddress are the addresses from which connections are opened.
	crowdAddress, ordinaryAddress = "127.0.0.1", "127.0.0.2"
)

// Listeners and paths that a crowd calls.
type place struct {
	name      string
	path      string
	readiness bool
}

var (
	atRoute     = place{name: "route", path: "/unsafe/x"}
	atBigAnswer = place{name: "big answer", path: "/big/x"}
	atNoRoute   = place{name: "no route", path: "/nowhere/x"}
	atReadiness = place{name: "readiness", path: "/v1/ready", readiness: true}
	everywhere  = []place{atRoute, atNoRoute, atReadiness}
)

// head returns the head of a request without its final empty line.
func (p place) head(fields string) string {
	return "POST " + p.path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\nApi-Key: k0\r\nDeadline-Ms: 4000\r\n" + fields
}

// router is a process of the built binary with one endpoint and the stand-in of the store.
type router struct {
	callers, readiness string // addresses
	log                string // path of the log file
	command            *exec.Cmd
	exited             chan struct{}
}

var (
	buildOnce  sync.Once
	binaryPath string
	errBuild   error
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowds")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryPath = filepath.Join(dir, "hornbeamproxy")
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func binary(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		out, err := exec.Command("go", "build", "-o", binaryPath, "../cmd/hornbeamproxy").CombinedOutput()
		if err != nil {
			errBuild = fmt.Errorf("%w: %s", err, out)
		}
	})
	assert.NilError(t, errBuild)
	return binaryPath
}

func startRouter(t *testing.T) *router {
	t.Helper()
	store := httptest.NewServer(newStore(t))
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	for {
		r := &router{log: filepath.Join(t.TempDir(), "log")}
		settings := r.writeSettings(t, store.Listener.Addr().String())
		r.start(t, settings)
		if r.awaitReady() {
			return r
		}
		text, err := os.ReadFile(r.log)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(text), "address already in use"), "router is not ready: %s", text)
	}
}

func newStore(t *testing.T) *standin.Platform {
	t.Helper()
	endpoint := httptest.NewServer(http.HandlerFunc(serveEndpoint))
	t.Cleanup(func() {
		endpoint.CloseClientConnections()
		endpoint.Close()
	})
	platform := standin.NewPlatform("")
	route := func(name string) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "path_prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 4000,
			"service": "s", "attempts": 1,
		}
	}
	platform.SetSpec("config", "main", map[string]any{
		"version": 1, "routes": []map[string]any{route("unsafe"), route("big")},
		"services": []map[string]any{{"name": "s"}},
		"tenants":  []map[string]any{{"name": "w", "api_keys": []string{"k0"}}},
		"limits":   map[string]any{"max_body_bytes": bodyBytes},
	})
	platform.SetSpec("servers", "i-0", map[string]any{
		"service": "s", "address": endpoint.Listener.Addr().String(), "zone": "z", "version": "v1", "slots": 1000,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
	})
	return platform
}

// serveEndpoint answers with the size of the body, or with bigAnswerBytes.
func serveEndpoint(rw http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	rw.Header().Set("Server-Stamp", "s")
	if strings.HasPrefix(r.URL.Path, "/big/") {
		_, _ = rw.Write(bytes.Repeat([]byte("x"), bigAnswerBytes))
		return
	}
	_, _ = fmt.Fprint(rw, n)
}

func (r *router) writeSettings(t *testing.T, store string) string {
	t.Helper()
	addresses, err := standin.FreeAddresses(4)
	assert.NilError(t, err)
	r.callers, r.readiness = addresses[0], addresses[1]
	text := fmt.Sprintf(`[router]
id = "r0"
zone = "z"
memory_mb = %d
max_fds = %d
[listen]
callers = %q
readiness = %q
metrics = %q
peers = %q
[store]
address = %q
`, memoryMB, maxFDs, addresses[0], addresses[1], addresses[2], addresses[3], store)
	path := filepath.Join(t.TempDir(), "router.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	if out, err := exec.Command(binary(t), "settings", "check", "--platform", path).CombinedOutput(); err != nil {
		// A build without the setting is measured by the same bound.
		assert.Assert(t, strings.Contains(string(out), "max_fds"), "%s", out)
		text = strings.Replace(text, fmt.Sprintf("max_fds = %d\n", maxFDs), "", 1)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	return path
}

func (r *router) start(t *testing.T, settings string) {
	t.Helper()
	log, err := os.Create(r.log)
	assert.NilError(t, err)
	r.command = exec.Command(binary(t), "router", "--settings", settings)
	r.command.Stderr = log
	assert.NilError(t, r.command.Start())
	r.exited = make(chan struct{})
	go func() {
		_ = r.command.Wait()
		_ = log.Close()
		close(r.exited)
	}()
	t.Cleanup(func() {
		_ = r.command.Process.Signal(syscall.SIGKILL)
		<-r.exited
	})
}

func (r *router) lives() bool {
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}

// awaitReady returns false if the process ends before it is ready.
func (r *router) awaitReady() bool {
	for end := time.Now().Add(hangTimeout); r.lives() && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.ready() {
			return true
		}
	}
	return false
}

// client opens a new connection from ordinaryAddress for each request.
var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ordinaryAddress)}}).DialContext,
}}

func (r *router) ready() bool {
	response, err := client.Get("http://" + r.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// answers reports whether an ordinary request is served.
func (r *router) answers() bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.callers+atRoute.path, strings.NewReader("body"))
	if err != nil {
		return false
	}
	request.Host = "h"
	for name, value := range map[string]string{"Request-Id": "ordinary", "Api-Key": "k0", "Deadline-Ms": "2000"} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == "4"
}

// descriptors returns the number of open descriptors, 0 if the process has ended.
func (r *router) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.command.Process.Pid))
	return len(entries)
}

// peakMB returns the peak resident size (VmHWM) in MB of 2^20 bytes.
func (r *router) peakMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	kb := 0
	_, _ = fmt.Sscan(after, &kb)
	return kb >> 10
}

// crowd is a number of callers that each do the same with a connection of their own.
type crowd struct {
	callers int
	// call uses an open connection until it has sent all that it wants; the connection then stays
	// open until the crowd ends.
	call func(conn net.Conn, to place)
}

// run sends the crowd to each place, each time to a new process, and checks the process.
func run(t *testing.T, c crowd, places ...place) {
	t.Helper()
	for _, to := range places {
		t.Run(to.name, func(t *testing.T) {
			r := startRouter(t)
			address := r.callers
			if to.readiness {
				address = r.readiness
			}
			var callers sync.WaitGroup
			var done atomic.Bool
			end := time.Now().Add(holdTime)
			for range c.callers {
				callers.Go(func() { join(address, to, c.call, end) })
			}
			watched := make(chan int)
			go func() { watched <- r.watchDescriptors(&done) }()
			time.Sleep(holdTime / 2)
			served := r.await(r.answers)
			ready := r.await(r.ready)
			callers.Wait()
			done.Store(true)
			descriptors, peak := <-watched, r.peakMB()
			t.Logf("peak resident size %d MB, %d descriptors", peak, descriptors)
			if !r.lives() {
				text, _ := os.ReadFile(r.log)
				t.Fatalf("the process ended: %s", text[max(0, len(text)-2000):])
			}
			assert.Check(t, peak < memoryMB, "peak resident size %d MB", peak)
			assert.Check(t, descriptors < maxFDs, "%d descriptors", descriptors)
			assert.Check(t, served, "an ordinary request is not answered")
			assert.Check(t, ready, "the readiness check is not answered")
		})
	}
}

// join opens a connection, lets call use it, and keeps it until end.
func join(address string, to place, call func(net.Conn, place), end time.Time) {
	dialer := net.Dialer{Timeout: holdTime, LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdAddress)}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	call(conn, to)
	time.Sleep(time.Until(end))
}

func (r *router) watchDescriptors(done *atomic.Bool) int {
	highest := 0
	for ; !done.Load(); time.Sleep(20 * time.Millisecond) {
		highest = max(highest, r.descriptors())
	}
	return highest
}

// await repeats a check until it holds, the process ends or hangTimeout passes.
func (r *router) await(check func() bool) bool {
	for end := time.Now().Add(hangTimeout); r.lives() && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if check() {
			return true
		}
	}
	return false
}

// sendAll writes b in pieces of the given size with a pause between them, until an error.
func sendAll(conn net.Conn, b []byte, piece int, pause time.Duration) error {
	for len(b) > 0 {
		n := min(piece, len(b))
		if _, err := conn.Write(b[:n]); err != nil {
			return errors.Join(errors.New("sending"), err)
		}
		b = b[n:]
		if pause > 0 {
			time.Sleep(pause)
		}
	}
	return nil
}
