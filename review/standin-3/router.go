package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// router is a process of the system, started with the command of the deploy file and settings in the
// form of the deploy file's template.
type router struct {
	id, zone                          string
	front, ready, metrics, peers, dir string
	store                             string
	graceS                            float64
	memoryMB                          int
	features                          string
	command                           *exec.Cmd
	exited                            chan struct{}
	state                             *os.ProcessState
}

var binary = "target/hornbeamproxy"

var ports = struct {
	sync.Mutex
	next int
}{next: 20000 + os.Getpid()%400*20}

// freeAddress returns a loopback address on which nothing listens over TCP or UDP.
func freeAddress() string {
	ports.Lock()
	defer ports.Unlock()
	for {
		ports.next++
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address
	}
}

func newRouter(dir, id, zone, storeAddress string) *router {
	return &router{
		id: id, zone: zone, store: storeAddress, graceS: 8, memoryMB: 284, dir: filepath.Join(dir, id),
		front: freeAddress(), ready: freeAddress(), metrics: freeAddress(), peers: freeAddress(),
		features: `"base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"`,
	}
}

func (r *router) file() string { return filepath.Join(r.dir, "node.toml") }

func (r *router) writeSettings() {
	check(os.MkdirAll(r.dir, 0o755))
	text := fmt.Sprintf(`[router]
id = %q
zone = %q
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
features = [%s]

[listen]
callers = %q
readiness = %q
metrics = %q
peers = %q

[store]
address = %q
heartbeat_ms = 1200

[bounds]
grace_s = %g
retry_ratio = 0.2
retry_slack = 56
cold_factor = 1.5
cold_slack = 5
load_factor = 2
`, r.id, r.zone, r.memoryMB, r.features, r.front, r.ready, r.metrics, r.peers, r.store, r.graceS)
	temporary := r.file() + ".new"
	check(os.WriteFile(temporary, []byte(text), 0o644))
	check(os.Rename(temporary, r.file()))
}

func (r *router) start() {
	r.writeSettings()
	log, err := os.OpenFile(filepath.Join(r.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	r.command = exec.Command(binary, "router")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMPROXY_CONFIG=" + r.file()}
	r.command.Stdout, r.command.Stderr = log, log
	// The process ends with this one, whatever happens.
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(r.command.Start())
	exited := make(chan struct{})
	r.exited = exited
	command := r.command
	go func() {
		_ = command.Wait()
		r.state = command.ProcessState
		_ = log.Close()
		close(exited)
	}()
}

func (r *router) signal(s syscall.Signal) { _ = r.command.Process.Signal(s) }

func (r *router) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get("http://" + r.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *router) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			return true
		}
	}
	return false
}

func (r *router) running() bool {
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}
