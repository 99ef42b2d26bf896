// Package localfleet runs routers in one process on loopback, in front of the simulated
// platform and endpoints of a standin.Site. The demo and the measures use it.
package localfleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/httpcheck"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/server"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// StartTimeout is the time within which a router must be ready after its start.
const StartTimeout = 20 * time.Second

// maxIdleConnsPerRouter bounds the idle connections of Fleet.Client to one router.
const maxIdleConnsPerRouter = 64

// Options of a fleet.
type Options struct {
	// Site is the running site. Fleet.Close closes it.
	Site *standin.Site
	// Zones has the availability zone of each router; one router is started for each
	// entry.
	Zones  []string
	Logger *zap.Logger
	// Policy replaces the placement policy of the routers; nil means their default policy.
	Policy placement.Policy
	// LoadPollInterval is the time between two load polls of an engine. 0 means 100 ms.
	LoadPollInterval time.Duration
	// NoAdmissionLimits switches off the routers' admission limits.
	NoAdmissionLimits bool
}

// Fleet is a site and its running routers.
type Fleet struct {
	Site    *standin.Site
	Routers []*Router
	Client  *http.Client
}

// Router is one router that runs in this process.
type Router struct {
	ID, Zone string
	// CallersURL and AdminURL are the base URLs of the listeners for callers and for
	// operators.
	CallersURL, AdminURL string
	Metrics              *telemetry.Metrics

	stop context.CancelFunc
	done chan error
}

// Start starts the routers one after the other and waits for each until it is ready. The
// caller must close the returned fleet, even if Start returns an error.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{
		Site:   o.Site,
		Client: &http.Client{Transport: httpcheck.Transport{Base: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerRouter}}},
	}
	var seeds []string
	for i, zone := range o.Zones {
		addresses, err := standin.FreeAddresses(3)
		if err != nil {
			return f, err
		}
		r, err := startRouter(o, fmt.Sprintf("router-%d", i+1), zone, addresses, seeds)
		if err != nil {
			return f, err
		}
		f.Routers = append(f.Routers, r)
		seeds = append(seeds, addresses[1])
	}
	return f, nil
}

func startRouter(o Options, id, zone string, addresses, seeds []string) (*Router, error) {
	settings, err := routerSettings(o, id, zone, addresses, seeds)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &Router{
		ID:         id,
		Zone:       zone,
		CallersURL: "http://" + addresses[0],
		AdminURL:   "http://" + addresses[2],
		Metrics:    telemetry.NewMetrics(),
		stop:       stop,
		done:       make(chan error, 1),
	}
	started := make(chan struct{})
	options := server.Options{
		Settings: settings,
		Secrets: config.Secrets{
			PlatformToken: standin.SitePlatformToken,
			PeerSecret:    standin.SitePeerSecret,
			AdminToken:    standin.SiteAdminToken,
		},
		Logger:            o.Logger,
		Metrics:           r.Metrics,
		Policy:            o.Policy,
		NoAdmissionLimits: o.NoAdmissionLimits,
		Started:           func() { close(started) },
	}
	go func() { r.done <- server.Run(ctx, options) }()
	select {
	case <-started:
		return r, nil
	case err := <-r.done:
		stop()
		return nil, fmt.Errorf("starting %s: %w", id, err)
	case <-time.After(StartTimeout):
		stop()
		return nil, fmt.Errorf("starting %s: not ready after %s", id, StartTimeout)
	}
}

// routerSettings returns the settings of a router. The addresses are those of the
// listeners for callers, peers and operators.
func routerSettings(o Options, id, zone string, addresses, seeds []string) (*api.Settings, error) {
	poll := o.LoadPollInterval
	if poll == 0 {
		poll = 100 * time.Millisecond
	}
	text, err := toml.Marshal(map[string]any{
		"router":   map[string]any{"id": id, "zone": zone},
		"listen":   map[string]any{"callers": addresses[0], "peers": addresses[1], "admin": addresses[2]},
		"platform": map[string]any{"url": o.Site.PlatformServer.URL},
		"peers":    map[string]any{"seeds": append([]string{}, seeds...), "secret_env": "UNUSED"},
		"admin":    map[string]any{"token_env": "UNUSED"},
		"limits":   map[string]any{"load_poll_interval": poll.String(), "withdraw_within": "3s"},
	})
	if err != nil {
		return nil, fmt.Errorf("encoding settings: %w", err)
	}
	return config.Parse(id, text)
}

// Close shuts down all routers concurrently and then closes the site. It returns the joined
// errors of the routers that did not stop cleanly.
func (f *Fleet) Close() error {
	errs := make([]error, len(f.Routers))
	var waiting sync.WaitGroup
	for i, r := range f.Routers {
		r.stop()
		waiting.Go(func() { errs[i] = <-r.done })
	}
	waiting.Wait()
	f.Client.CloseIdleConnections()
	f.Site.Close()
	return errors.Join(errs...)
}

// AcceptNote posts a release note to the admin listener of a router. It returns an error if
// the router does not accept the note.
func (f *Fleet) AcceptNote(r *Router, note api.Note) error {
	body, err := toml.Marshal(note)
	if err != nil {
		return fmt.Errorf("encoding note: %w", err)
	}
	request, err := http.NewRequest(http.MethodPost, r.AdminURL+"/notes/accept", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+standin.SiteAdminToken)
	response, err := f.Client.Do(request)
	if err != nil {
		return fmt.Errorf("posting note: %w", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("posting note: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("posting note: status %d: %s", response.StatusCode, answer)
	}
	return nil
}
