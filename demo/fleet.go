// Package demo plays a short scenario against routers and stand-ins in one
// process, all on loopback, and checks that every guarantee held.
package demo

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
	"github.com/hornbeamproxy/hornbeamproxy/server"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// startTimeout bounds the start of one router.
const startTimeout = 20 * time.Second

// fleet is a site with routers in front of it.
type fleet struct {
	site    *standin.Site
	routers []*routerProcess
	client  *http.Client
}

// routerProcess is one router, run in this process.
type routerProcess struct {
	id, zone string
	callers  string
	admin    string
	stop     context.CancelFunc
	done     chan error
}

// startFleet starts the routers one after the other, each in its zone.
func startFleet(site *standin.Site, zones []string, logger *zap.Logger) (*fleet, error) {
	f := &fleet{site: site, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	var seeds []string
	for i, zone := range zones {
		addresses, err := standin.FreeAddresses(3)
		if err != nil {
			return f, err
		}
		r, err := startRouter(site, fmt.Sprintf("router-%d", i+1), zone, addresses, seeds, logger)
		if err != nil {
			return f, err
		}
		f.routers = append(f.routers, r)
		seeds = append(seeds, addresses[1])
	}
	return f, nil
}

func startRouter(site *standin.Site, id, zone string, addresses, seeds []string, logger *zap.Logger) (*routerProcess, error) {
	settings, err := routerSettings(site, id, zone, addresses, seeds)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &routerProcess{
		id:      id,
		zone:    zone,
		callers: "http://" + addresses[0],
		admin:   "http://" + addresses[2],
		stop:    stop,
		done:    make(chan error, 1),
	}
	started := make(chan struct{})
	options := server.Options{
		Settings: settings,
		Secrets: config.Secrets{
			PlatformToken: standin.SitePlatformToken,
			PeerSecret:    standin.SitePeerSecret,
			AdminToken:    standin.SiteAdminToken,
		},
		Logger:  logger,
		Started: func() { close(started) },
	}
	go func() { r.done <- server.Run(ctx, options) }()
	select {
	case <-started:
		return r, nil
	case err := <-r.done:
		stop()
		return nil, fmt.Errorf("start %s: %w", id, err)
	case <-time.After(startTimeout):
		stop()
		return nil, fmt.Errorf("start %s: not ready after %s", id, startTimeout)
	}
}

func routerSettings(site *standin.Site, id, zone string, addresses, seeds []string) (*api.Settings, error) {
	text, err := toml.Marshal(map[string]any{
		"router":   map[string]any{"id": id, "zone": zone},
		"listen":   map[string]any{"callers": addresses[0], "peers": addresses[1], "admin": addresses[2]},
		"platform": map[string]any{"url": site.PlatformServer.URL},
		"peers":    map[string]any{"seeds": append([]string{}, seeds...), "secret_env": "UNUSED"},
		"admin":    map[string]any{"token_env": "UNUSED"},
		"limits":   map[string]any{"load_poll_interval": "100ms", "withdraw_within": "3s"},
	})
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	return config.Parse(id, text)
}

// close shuts all routers down at once and then ends the site. It returns the
// errors of routers that did not stop cleanly.
func (f *fleet) close() error {
	errs := make([]error, len(f.routers))
	var waiting sync.WaitGroup
	for i, r := range f.routers {
		r.stop()
		waiting.Go(func() { errs[i] = <-r.done })
	}
	waiting.Wait()
	f.client.CloseIdleConnections()
	f.site.Close()
	return errors.Join(errs...)
}

// accept accepts a release note through a router's admin listener.
func (f *fleet) accept(r *routerProcess, note api.Note) error {
	body, err := toml.Marshal(note)
	if err != nil {
		return fmt.Errorf("encode note: %w", err)
	}
	request, err := http.NewRequest(http.MethodPost, r.admin+"/notes/accept", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+standin.SiteAdminToken)
	response, err := f.client.Do(request)
	if err != nil {
		return fmt.Errorf("accept note: %w", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("accept note: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("accept note: status %d: %s", response.StatusCode, answer)
	}
	return nil
}
