package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site file perruque-hub, in force in all cases.
const (
	stableWindow = 3 * time.Second
	drainTime    = 2 * time.Second
	configTime   = 2 * time.Second
	graceTime    = 8 * time.Second
	memoryMB     = 284
)

// router is a router of the project, started as its own process with the command of the deploy
// file and settings in the form of its template.
type router struct {
	id, zone                 string
	callers, readiness, file string
	gate                     *gate
	command                  *exec.Cmd
	exited                   chan struct{}
}

// fleet holds the router processes of a case.
type fleet struct {
	root, folder string
	record       *record
	routers      []*router
	stopping     sync.Once
}

func newFleet(root string, r *record) *fleet {
	folder, err := os.MkdirTemp("", "review-")
	check(err)
	return &fleet{root: root, folder: folder, record: r}
}

// freePort returns a free loopback address outside the range from which the system takes the
// ports of other connections, so that it is still free when the router opens it.
func freePort(network string) string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 18000+rand.IntN(12000))
		if network == "udp" {
			if socket, err := net.ListenPacket("udp", address); err == nil {
				_ = socket.Close()
				return address
			}
			continue
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// add prepares a router; start starts its process.
func (f *fleet) add(id, zone, storeAddress string) *router {
	p := &router{
		id: id, zone: zone, callers: freePort("tcp"), readiness: freePort("tcp"), gate: newGate(storeAddress),
		file: filepath.Join(f.folder, id+".toml"),
	}
	settings := fmt.Sprintf(`[router]
id = %q
zone = %q
memory_mb = %d
link_mbps = 1000.0

[listen]
callers = %q
readiness = %q
metrics = %q
peers = %q

[store]
address = %q

[bounds]
grace_s = 8
retry_ratio = 0.2
retry_slack = 56
cold_factor = 1.5
cold_slack = 5
load_factor = 2
`, id, zone, memoryMB, p.callers, p.readiness, freePort("tcp"), freePort("udp"), p.gate.address)
	check(os.WriteFile(p.file, []byte(settings), 0o600))
	f.routers = append(f.routers, p)
	return p
}

func (f *fleet) start(p *router) {
	log, err := os.OpenFile(filepath.Join(f.folder, p.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	p.command = exec.Command("target/hornbeamproxy", "router")
	p.command.Dir = f.root
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMPROXY_CONFIG=" + p.file}
	p.command.Stdout, p.command.Stderr = log, log
	check(p.command.Start())
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		err := command.Wait()
		f.record.now("router %s: process %d ended: %v", p.id, command.Process.Pid, err)
		_ = log.Close()
		close(exited)
	}(p.command, p.exited)
	f.record.now("router %s: process %d started, zone %s, callers %s", p.id, p.command.Process.Pid, p.zone, p.callers)
}

// awaitReady waits until all routers are ready. It fails the case if they are not in time.
func (f *fleet) awaitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for _, p := range f.routers {
		for {
			response, err := client.Get("http://" + p.readiness + "/v1/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				f.stop()
				cannotRun("router %s is not ready: %v", p.id, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.now("all routers are ready")
}

// stop ends all processes of the fleet and removes its folder.
func (f *fleet) stop() {
	f.stopping.Do(func() {
		for _, p := range f.routers {
			if p.command != nil {
				_ = p.command.Process.Signal(syscall.SIGKILL)
				<-p.exited
			}
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(f.folder)
		}
	})
}
