package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// validate checks required values, formats and ranges after the defaults are set.
func (d *decoder) validate(s *api.Settings) {
	d.requireValue("router.id", s.Router.ID)
	d.requireValue("router.zone", s.Router.Zone)
	d.checkAddress("listen.callers", s.Listen.Callers)
	d.checkAddress("listen.peers", s.Listen.Peers)
	d.checkAddress("listen.admin", s.Listen.Admin)
	if (s.Listen.TlsCertFile == "") != (s.Listen.TlsKeyFile == "") {
		d.addProblem("listen.tls_cert_file", "tls_cert_file and tls_key_file go together")
	}
	d.checkHTTPURL("platform.url", s.Platform.URL)
	for _, seed := range s.Peers.Seeds {
		d.checkAddress("peers.seeds", seed)
	}
	d.requireSecret("peers.secret_file", s.Peers.SecretFile, s.Peers.SecretEnv)
	d.requireSecret("admin.token_file", s.Admin.TokenFile, s.Admin.TokenEnv)
	d.validateLimits(s)
	d.validateClaims(s)
	d.validateRetry(s)
	d.checkFloatRange("orders.loads_per_second", s.Orders.LoadsPerSecond, 0.001, 1000)
	d.checkFloatRange("orders.max_missing_fraction", s.Orders.MaxMissingFraction, 0.001, 1)
	d.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
}

func (d *decoder) validateLimits(s *api.Settings) {
	d.checkDurationRange("platform.timeout", s.Platform.Timeout, 10*time.Millisecond, time.Minute)
	d.checkDurationRange("platform.watch_wait", s.Platform.WatchWait, 100*time.Millisecond, 5*time.Minute)
	if s.Platform.WatchWait.Duration >= s.Limits.WithdrawWithin.Duration {
		d.addFirstProblem("platform.watch_wait", fmt.Sprintf("%s is not shorter than limits.withdraw_within, %s", s.Platform.WatchWait, s.Limits.WithdrawWithin))
	}
	d.checkIntRange("peers.fanout", s.Peers.Fanout, 1, 16)
	d.checkDurationRange("peers.gossip_interval", s.Peers.GossipInterval, 20*time.Millisecond, 10*time.Second)
	d.checkIntRange("peers.control_bytes_per_second", s.Peers.ControlBytesPerSecond, 100, 1<<20)
	d.checkFloatRange("limits.load_multiple", s.Limits.LoadMultiple, 1, 10)
	d.checkDurationRange("limits.withdraw_within", s.Limits.WithdrawWithin, 500*time.Millisecond, time.Minute)
	d.checkDurationRange("limits.permit_timeout", s.Limits.PermitTimeout, 5*time.Millisecond, 10*time.Second)
	d.checkIntRange("limits.queue_length", s.Limits.QueueLength, 1, 10_000)
	d.checkDurationRange("limits.queue_wait", s.Limits.QueueWait, time.Millisecond, time.Minute)
	d.checkDurationRange("limits.request_timeout", s.Limits.RequestTimeout, time.Second, time.Hour)
	d.checkDurationRange("limits.first_byte_timeout", s.Limits.FirstByteTimeout, 10*time.Millisecond, 5*time.Minute)
	d.checkIntRange("limits.max_body_bytes", s.Limits.MaxBodyBytes, 1024, 64<<20)
	d.checkIntRange("limits.max_header_bytes", s.Limits.MaxHeaderBytes, 1024, 1<<20)
	d.checkDurationRange("limits.drain_timeout", s.Limits.DrainTimeout, time.Second, time.Hour)
	d.checkDurationRange("limits.load_poll_interval", s.Limits.LoadPollInterval, 20*time.Millisecond, time.Minute)
	d.checkIntRange("limits.cache_move_bytes_per_second", s.Limits.CacheMoveBytesPerSecond, 1, 1<<40)
	d.checkDurationRange("limits.cold_lease", s.Limits.ColdLease, 500*time.Millisecond, 5*time.Minute)
}

func (d *decoder) validateClaims(s *api.Settings) {
	d.checkIntRange("claims.shards", s.Claims.Shards, 1, 1024)
	d.checkDurationRange("claims.commit_interval", s.Claims.CommitInterval, time.Millisecond, 10*time.Second)
	d.checkDurationRange("claims.retention", s.Claims.Retention, time.Minute, 30*24*time.Hour)
	d.checkDurationRange("claims.timeout", s.Claims.Timeout, 10*time.Millisecond, time.Minute)
	d.checkIntRange("claims.max_outcome_bytes", s.Claims.MaxOutcomeBytes, 1, 64<<10)
}

func (d *decoder) validateRetry(s *api.Settings) {
	d.checkFloatRange("retry.budget_fraction", s.Retry.BudgetFraction, 0.001, 1)
	d.checkFloatRange("retry.budget_floor", s.Retry.BudgetFloor, 0.01, 1000)
	d.checkDurationRange("retry.base_delay", s.Retry.BaseDelay, time.Millisecond, time.Minute)
	d.checkDurationRange("retry.max_delay", s.Retry.MaxDelay, time.Millisecond, time.Minute)
	d.checkIntRange("retry.max_attempts", s.Retry.MaxAttempts, 1, 20)
}

// addFirstProblem adds the problem unless the key already has one.
func (d *decoder) addFirstProblem(key, text string) {
	for _, problem := range d.problems {
		if problem.Key == key {
			return
		}
	}
	d.addProblem(key, text)
}

func (d *decoder) requireValue(key, value string) {
	if value == "" {
		d.addFirstProblem(key, "is required")
	}
}

func (d *decoder) checkAddress(key, value string) {
	if value == "" {
		d.addFirstProblem(key, "is required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.addFirstProblem(key, fmt.Sprintf("%q is not an IP address and port", value))
	}
}

func (d *decoder) checkHTTPURL(key, value string) {
	if value == "" {
		d.addFirstProblem(key, "is required")
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		d.addFirstProblem(key, fmt.Sprintf("%q is not an http or https URL", value))
	}
}

func (d *decoder) requireSecret(key, file, env string) {
	if file == "" && env == "" {
		d.addFirstProblem(key, "name a file or an environment variable")
	}
}

func (d *decoder) checkOneOf(key, value string, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	d.addFirstProblem(key, fmt.Sprintf("%q is not one of %v", value, allowed))
}

func (d *decoder) checkDurationRange(key string, value api.Duration, low, high time.Duration) {
	if value.Duration < low || value.Duration > high {
		d.addFirstProblem(key, fmt.Sprintf("%s is not between %s and %s", value, low, high))
	}
}

func (d *decoder) checkIntRange(key string, value, low, high int) {
	if value < low || value > high {
		d.addFirstProblem(key, fmt.Sprintf("%d is not between %d and %d", value, low, high))
	}
}

func (d *decoder) checkFloatRange(key string, value, low, high float64) {
	if value < low || value > high {
		d.addFirstProblem(key, fmt.Sprintf("%g is not between %g and %g", value, low, high))
	}
}
