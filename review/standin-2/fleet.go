package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		exit(2)
	}
}

// record is what a case writes to record.txt. Times are in ms since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.1f ", float64(time.Since(r.began).Microseconds())/1000)
	fmt.Fprintf(r.file, format+"\n", args...)
}

// started are all processes that the case has started.
var started struct {
	mu   sync.Mutex
	list []*process
	dir  string
}

type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

// start starts a process whose lines on standard output go to onLine.
func start(name string, env []string, onLine func(string), args ...string) *process {
	command := exec.Command(args[0], args[1:]...)
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(started.dir, name+".log"))
	must(err)
	command.Stderr = log
	p := &process{name: name, command: command, ended: make(chan struct{})}
	if onLine == nil {
		command.Stdout = log
		must(command.Start())
		go func() { _ = command.Wait(); close(p.ended) }()
	} else {
		out, err := command.StdoutPipe()
		must(err)
		must(command.Start())
		go func() {
			lines := bufio.NewScanner(out)
			lines.Buffer(nil, 1<<20)
			for lines.Scan() {
				onLine(lines.Text())
			}
			_ = command.Wait()
			close(p.ended)
		}()
	}
	started.mu.Lock()
	started.list = append(started.list, p)
	started.mu.Unlock()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// exit ends all processes that the case has started, and the case.
func exit(code int) {
	started.mu.Lock()
	for _, p := range started.list {
		if p.running() {
			p.signal(syscall.SIGKILL)
		}
	}
	for _, p := range started.list {
		select {
		case <-p.ended:
		case <-time.After(5 * time.Second):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(started.dir)
	}
	os.Exit(code)
}

// freeAddress returns a loopback address with a port that is free for TCP and UDP. It lies below the
// range from which the system gives ports to connections, so that none of these takes it before the
// router does.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		socket, err := net.ListenPacket("udp", address)
		listener.Close()
		if err != nil {
			continue
		}
		socket.Close()
		return address
	}
	must(fmt.Errorf("no free port"))
	return ""
}

// router is a router process of the project, with the settings of a small deployment.
type router struct {
	*process
	id, zone, front, ready, file string
}

// startRouter starts a router as deploy/system.toml says.
func startRouter(id, zone, storeAddress string) *router {
	r := &router{id: id, zone: zone, front: freeAddress(), ready: freeAddress()}
	r.file = filepath.Join(started.dir, id+".toml")
	settings := fmt.Sprintf(`[router]
id = %q
zone = %q
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
features = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]

[listen]
callers = %q
readiness = %q
metrics = %q
peers = %q

[store]
address = %q
heartbeat_ms = 1200

[bounds]
grace_s = 8
retry_ratio = 0.2
retry_slack = 56
cold_factor = 1.5
cold_slack = 5
load_factor = 2
`, id, zone, r.front, r.ready, freeAddress(), freeAddress(), storeAddress)
	must(os.WriteFile(r.file, []byte(settings), 0o600))
	r.run()
	return r
}

func (r *router) run() {
	r.process = start(r.id, []string{"HORNBEAMPROXY_CONFIG=" + r.file}, nil, "target/hornbeamproxy", "router")
}

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + r.ready + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func awaitReady(routers []*router) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, r := range routers {
			all = all && r.isReady()
		}
		if all {
			return
		}
	}
	must(fmt.Errorf("a router is not ready after 15 s"))
}

// replica is a replica process of this program.
type replica struct {
	*process
	id, zone, service, address string
}

// entry is what the replica says of itself in the store.
func (r *replica) entry(state string, seq int) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 64,
		"state": state, "cold_left_ms": 0, "seq": seq, "born": time.Now().UnixMilli() / 1e6 * 1e6,
	}
}

// startReplica starts a replica. Each line that it prints is passed to onLine.
func startReplica(id, zone, service string, onLine func(id, line string), flags ...string) *replica {
	r := &replica{id: id, zone: zone, service: service, address: freeAddress()}
	args := append([]string{os.Args[0], "replica", "-id", id, "-address", r.address}, flags...)
	r.process = start(id, nil, func(line string) { onLine(id, line) }, args...)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", r.address); err == nil {
			conn.Close()
			return r
		}
		if time.Now().After(end) {
			must(fmt.Errorf("replica %s does not listen", id))
		}
	}
}

func field(line, name string) string {
	for _, word := range strings.Fields(line) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			return value
		}
	}
	return ""
}
