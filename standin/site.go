package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// SiteConfig is the configuration of a Site.
type SiteConfig struct {
	// Zones are the availability zones; endpoints are assigned to them round robin.
	Zones []string
	// Engines and Services are the numbers of model engines and of replicas of
	// the service "orders".
	Engines, Services int
	// Workspaces is the number of workspaces.
	Workspaces int
	// Engine is the configuration of each engine; NewSite sets ID and Models.
	Engine EngineConfig
	// MaxInflight is the limit on requests in flight that Site.Note sets for each endpoint.
	MaxInflight int
}

// Secrets and names that every site uses.
const (
	SitePlatformToken = "platform-token"
	SitePeerSecret    = "peer-secret"
	SiteAdminToken    = "admin-token"
	// SiteModel is the model that all engines serve.
	SiteModel = "drafts"
	// SiteService is the id of the plain service.
	SiteService = "orders"
)

// Site simulates the surroundings of one fleet of routers: a platform and the endpoints
// behind the routers. The platform and each endpoint have a loopback listener of their
// own.
type Site struct {
	Config         SiteConfig
	Platform       *Platform
	PlatformServer *httptest.Server
	Engines        []*SiteEngine
	Services       []*SiteReplica
}

// SiteEngine is one of the endpoints of a site: a model engine with its listener.
type SiteEngine struct {
	*Engine
	ID, Zone string
	Server   *httptest.Server
}

// SiteReplica is one of the endpoints of a site: a replica of the plain service with its
// listener.
type SiteReplica struct {
	*Service
	ID, Zone string
	Server   *httptest.Server
}

// NewSite starts the test doubles of a site. The caller must close it.
func NewSite(config SiteConfig) *Site {
	site := &Site{Config: config, Platform: NewPlatform(SitePlatformToken)}
	site.PlatformServer = httptest.NewServer(site.Platform)
	for i := range config.Engines {
		engineConfig := config.Engine
		engineConfig.ID = fmt.Sprintf("engine-%d", i+1)
		engineConfig.Models = []string{SiteModel}
		engine := NewEngine(engineConfig)
		site.Engines = append(site.Engines, &SiteEngine{
			Engine: engine,
			ID:     engineConfig.ID,
			Zone:   site.zone(i),
			Server: httptest.NewServer(engine),
		})
	}
	for i := range config.Services {
		service := NewService(map[string]int{"goatskin": 1 << 30})
		site.Services = append(site.Services, &SiteReplica{
			Service: service,
			ID:      fmt.Sprintf("orders-%d", i+1),
			Zone:    site.zone(i),
			Server:  httptest.NewServer(service),
		})
	}
	return site
}

func (s *Site) zone(i int) string { return s.Config.Zones[i%len(s.Config.Zones)] }

// Close stops all test doubles.
func (s *Site) Close() {
	for _, engine := range s.Engines {
		engine.Kill()
	}
	for _, service := range s.Services {
		service.Server.CloseClientConnections()
		service.Server.Close()
	}
	s.PlatformServer.CloseClientConnections()
	s.PlatformServer.Close()
}

// Kill stops the engine as the end of its process would: open connections are closed and
// new ones are refused.
func (e *SiteEngine) Kill() {
	_ = e.Server.Listener.Close()
	e.Server.CloseClientConnections()
	e.Close()
	e.Server.Close()
}

// Disconnect closes the engine's connections and refuses new ones until Reconnect. The
// engine itself keeps running.
func (e *SiteEngine) Disconnect() {
	_ = e.Server.Listener.Close()
	e.Server.CloseClientConnections()
}

// Reconnect listens on the engine's address again. It returns an error if the address is
// no longer free.
func (e *SiteEngine) Reconnect() error {
	listener, err := net.Listen("tcp", e.Server.Listener.Addr().String())
	if err != nil {
		return fmt.Errorf("reconnecting %s: %w", e.ID, err)
	}
	e.Server.Listener = listener
	go func() { _ = e.Server.Config.Serve(listener) }()
	return nil
}

// WorkspaceKey returns the API key of the workspace with index i, counted from 0.
func WorkspaceKey(i int) string { return fmt.Sprintf("key-of-workspace-%d", i) }

// Note returns the release note, i.e. the change of the fleet's configuration, that adds
// the whole site.
func (s *Site) Note() api.Note {
	parts := &api.NoteParts{
		Models:   []api.Model{{ID: SiteModel}},
		Services: []api.Service{{ID: SiteService}},
	}
	for _, zone := range s.Config.Zones {
		parts.Zones = append(parts.Zones, api.Zone{ID: zone, Region: "region-1"})
	}
	for _, engine := range s.Engines {
		parts.Endpoints = append(parts.Endpoints, api.Endpoint{
			ID:          engine.ID,
			Instance:    "instance-of-" + engine.ID,
			Zone:        engine.Zone,
			URL:         engine.Server.URL,
			Models:      []string{SiteModel},
			MaxInflight: s.Config.MaxInflight,
		})
	}
	for _, service := range s.Services {
		parts.Endpoints = append(parts.Endpoints, api.Endpoint{
			ID:          service.ID,
			Instance:    "instance-of-" + service.ID,
			Zone:        service.Zone,
			URL:         service.Server.URL,
			Service:     SiteService,
			MaxInflight: s.Config.MaxInflight,
		})
	}
	for i := range s.Config.Workspaces {
		digest := sha256.Sum256([]byte(WorkspaceKey(i)))
		parts.Workspaces = append(parts.Workspaces, api.Workspace{
			ID:        fmt.Sprintf("workspace-%d", i),
			KeySha256: hex.EncodeToString(digest[:]),
		})
	}
	return api.Note{Title: "Add the site", Author: "site", Added: parts}
}

// RunsOfKey returns the number of runs with an idempotency key over all replicas.
func (s *Site) RunsOfKey(key string) int {
	runs := 0
	for _, service := range s.Services {
		runs += len(service.RunsOfKey(key))
	}
	return runs
}

// StartsAfter returns the number of completions that started in the zone after the given
// time.
func (s *Site) StartsAfter(zone string, after time.Time) int {
	count := 0
	for _, engine := range s.Engines {
		if engine.Zone != zone {
			continue
		}
		for _, start := range engine.CompletionStarts() {
			if start.At.After(after) {
				count++
			}
		}
	}
	return count
}

// The ports of FreeAddresses are below the ephemeral range, from which the system takes
// ports for outgoing connections and for listeners on port 0. A port from that range could
// be taken after FreeAddresses returned it and before the caller listens on it.
const (
	firstPort = 10_000
	portCount = 10_000
	// portStep separates the first ports of test processes that run at the same time.
	portStep = 97
)

var nextPort atomic.Int64

// FreeAddresses returns count loopback addresses (host:port) on which no process listens
// over TCP or UDP. It returns an error if it finds fewer.
func FreeAddresses(count int) ([]string, error) {
	var addresses []string
	for range portCount {
		if len(addresses) == count {
			return addresses, nil
		}
		port := firstPort + (int64(os.Getpid())*portStep+nextPort.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return nil, fmt.Errorf("finding %d free ports: found %d", count, len(addresses))
}

// isFree reports whether this process can listen on the address over TCP and UDP.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return packets.Close() == nil
}
