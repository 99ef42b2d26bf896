// Package server runs a router as a process: it opens the listeners for callers,
// operators and peers, starts the router and shuts it down gracefully.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/admin"
	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/router"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// Timeouts of the listeners for callers and operators.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Options configures one router process. Settings, Secrets and Logger are required.
type Options struct {
	Settings *api.Settings
	Secrets  config.Secrets
	Logger   *zap.Logger
	// Metrics is the router's registry; nil means a new one.
	Metrics *telemetry.Metrics
	// Policy is the placement policy; nil means rendezvous hashing. Measurements set
	// other policies for comparison.
	Policy placement.Policy
	// NoAdmissionLimits disables the admission limits, to measure placement alone.
	NoAdmissionLimits bool
	// Started is called once the router accepts requests; it may be nil.
	Started func()
}

// Run serves until ctx is cancelled. It then shuts down gracefully and returns nil: it
// turns readiness off, hands over the endpoints and claim shards that the router owns,
// finishes the requests in progress and records the outcomes. An error during the start
// is returned at once, unless ctx was cancelled meanwhile. If a listener or the router's
// background loops fail later, Run shuts down in the same way and returns the error.
func Run(ctx context.Context, o Options) error {
	s, err := newServer(o)
	if err != nil {
		return err
	}
	defer s.closeListeners()
	if err := s.listen(); err != nil {
		return err
	}
	return s.run(ctx)
}

type server struct {
	options     Options
	metrics     *telemetry.Metrics
	router      *router.Router
	callers     *http.Server
	admin       *http.Server
	serveErrors chan error
}

func newServer(o Options) (*server, error) {
	registry := o.Metrics
	if registry == nil {
		registry = telemetry.NewMetrics()
	}
	backend := platform.KeyStore{Store: platform.NewStore(o.Settings.Platform.URL, o.Secrets.PlatformToken, registry)}
	clientConfig := objectstore.DefaultClientConfig()
	clientConfig.Timeout = o.Settings.Platform.Timeout.Duration
	store := objectstore.NewClient(clientConfig, backend, registry)
	r, err := router.New(router.Config{
		Settings:          o.Settings,
		Secrets:           o.Secrets,
		Store:             store,
		Instances:         store,
		Logger:            o.Logger,
		Metrics:           registry,
		Policy:            o.Policy,
		NoAdmissionLimits: o.NoAdmissionLimits,
	})
	if err != nil {
		return nil, err
	}
	adminHandler, group := admin.New(r, registry, o.Secrets.AdminToken)
	admin.RegisterNotes(group, r.Acceptor(), r.Syncer(), r)
	admin.RegisterReport(group, r.Records())
	s := &server{
		options:     o,
		metrics:     registry,
		router:      r,
		serveErrors: make(chan error, 2),
	}
	s.callers = s.httpServer(r.Handler())
	s.admin = s.httpServer(adminHandler)
	return s, nil
}

func (s *server) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.options.Settings.Limits.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(s.options.Logger),
	}
}

// listen opens the callers' and operators' listeners. The router opens the
// peers' listener itself.
func (s *server) listen() error {
	addresses := s.options.Settings.Listen
	if err := s.serve(s.admin, addresses.Admin); err != nil {
		return err
	}
	return s.serve(s.callers, addresses.Callers)
}

func (s *server) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening for callers or operators: %w", err)
	}
	addresses := s.options.Settings.Listen
	if addresses.TlsCertFile != "" {
		certificate, err := tls.LoadX509KeyPair(addresses.TlsCertFile, addresses.TlsKeyFile)
		if err != nil {
			return fmt.Errorf("loading certificate: %w", err)
		}
		listener = tls.NewListener(listener, &tls.Config{
			Certificates: []tls.Certificate{certificate},
			MinVersion:   tls.VersionTLS12,
			NextProtos:   []string{"http/1.1"},
		})
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.serveErrors <- fmt.Errorf("serving %s: %w", address, err)
		}
	}()
	return nil
}

func (s *server) run(ctx context.Context) error {
	defer s.router.Close()
	if err := s.router.Start(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	if s.options.Started != nil {
		s.options.Started()
	}
	s.options.Logger.Info("router ready", zap.String("router", s.options.Settings.Router.ID))
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-s.serveErrors:
	case <-s.router.Done():
		failure = errLoopsEnded
	}
	s.shutDown()
	return failure
}

var errLoopsEnded = errors.New("server: the router's background loops have ended")

// shutDown turns readiness off, keeps accepting requests for limits.withdraw_within, and
// then finishes the requests in progress, for which it waits at most limits.drain_timeout.
// It keeps accepting requests because the load balancer and the peers may need
// withdraw_within to notice that the router is no longer ready.
func (s *server) shutDown() {
	limits := s.options.Settings.Limits
	s.options.Logger.Info("shutting down")
	s.router.StartLeaving()
	time.Sleep(limits.WithdrawWithin.Duration)
	ctx, cancel := context.WithTimeout(context.Background(), limits.DrainTimeout.Duration)
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		s.options.Logger.Warn("drain timeout passed; aborting requests in progress", zap.Error(err))
	}
	s.router.Flush(ctx)
}

func (s *server) closeListeners() {
	_ = s.callers.Close()
	_ = s.admin.Close()
}
