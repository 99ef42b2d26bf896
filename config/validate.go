package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// validate checks the ranges of all values after defaults are in place.
func (d *decoder) validate(s *api.Settings) {
	d.required("router.id", s.Router.ID)
	d.required("router.zone", s.Router.Zone)
	d.address("listen.callers", s.Listen.Callers)
	d.address("listen.peers", s.Listen.Peers)
	d.address("listen.admin", s.Listen.Admin)
	if (s.Listen.TlsCertFile == "") != (s.Listen.TlsKeyFile == "") {
		d.add("listen.tls_cert_file", "tls_cert_file and tls_key_file go together")
	}
	d.httpURL("platform.url", s.Platform.URL)
	for _, seed := range s.Peers.Seeds {
		d.address("peers.seeds", seed)
	}
	d.secret("peers.secret_file", s.Peers.SecretFile, s.Peers.SecretEnv)
	d.secret("admin.token_file", s.Admin.TokenFile, s.Admin.TokenEnv)
	d.validateLimits(s)
	d.validateClaims(s)
	d.validateRetry(s)
	d.floatRange("orders.loads_per_second", s.Orders.LoadsPerSecond, 0.001, 1000)
	d.floatRange("orders.max_missing_fraction", s.Orders.MaxMissingFraction, 0.001, 1)
	d.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
}

func (d *decoder) validateLimits(s *api.Settings) {
	d.durationRange("platform.timeout", s.Platform.Timeout, 10*time.Millisecond, time.Minute)
	d.durationRange("platform.watch_wait", s.Platform.WatchWait, 100*time.Millisecond, 5*time.Minute)
	if s.Platform.WatchWait.Duration >= s.Limits.WithdrawWithin.Duration {
		d.addOnce("platform.watch_wait", fmt.Sprintf("%s is not shorter than limits.withdraw_within, %s", s.Platform.WatchWait, s.Limits.WithdrawWithin))
	}
	d.intRange("peers.fanout", s.Peers.Fanout, 1, 16)
	d.durationRange("peers.gossip_interval", s.Peers.GossipInterval, 20*time.Millisecond, 10*time.Second)
	d.intRange("peers.control_bytes_per_second", s.Peers.ControlBytesPerSecond, 100, 1<<20)
	d.floatRange("limits.load_multiple", s.Limits.LoadMultiple, 1, 10)
	d.durationRange("limits.withdraw_within", s.Limits.WithdrawWithin, 500*time.Millisecond, time.Minute)
	d.durationRange("limits.permit_timeout", s.Limits.PermitTimeout, 5*time.Millisecond, 10*time.Second)
	d.intRange("limits.queue_length", s.Limits.QueueLength, 1, 10_000)
	d.durationRange("limits.queue_wait", s.Limits.QueueWait, time.Millisecond, time.Minute)
	d.durationRange("limits.request_timeout", s.Limits.RequestTimeout, time.Second, time.Hour)
	d.durationRange("limits.first_byte_timeout", s.Limits.FirstByteTimeout, 10*time.Millisecond, 5*time.Minute)
	d.intRange("limits.max_body_bytes", s.Limits.MaxBodyBytes, 1024, 64<<20)
	d.intRange("limits.max_header_bytes", s.Limits.MaxHeaderBytes, 1024, 1<<20)
	d.durationRange("limits.drain_timeout", s.Limits.DrainTimeout, time.Second, time.Hour)
	d.durationRange("limits.load_poll_interval", s.Limits.LoadPollInterval, 20*time.Millisecond, time.Minute)
	d.intRange("limits.cache_move_bytes_per_second", s.Limits.CacheMoveBytesPerSecond, 1, 1<<40)
	d.durationRange("limits.cold_lease", s.Limits.ColdLease, 500*time.Millisecond, 5*time.Minute)
}

func (d *decoder) validateClaims(s *api.Settings) {
	d.intRange("claims.shards", s.Claims.Shards, 1, 1024)
	d.durationRange("claims.commit_interval", s.Claims.CommitInterval, time.Millisecond, 10*time.Second)
	d.durationRange("claims.retention", s.Claims.Retention, time.Minute, 30*24*time.Hour)
	d.durationRange("claims.timeout", s.Claims.Timeout, 10*time.Millisecond, time.Minute)
	d.intRange("claims.max_outcome_bytes", s.Claims.MaxOutcomeBytes, 1, 64<<10)
}

func (d *decoder) validateRetry(s *api.Settings) {
	d.floatRange("retry.budget_fraction", s.Retry.BudgetFraction, 0.001, 1)
	d.floatRange("retry.budget_floor", s.Retry.BudgetFloor, 0.01, 1000)
	d.durationRange("retry.base_delay", s.Retry.BaseDelay, time.Millisecond, time.Minute)
	d.durationRange("retry.max_delay", s.Retry.MaxDelay, time.Millisecond, time.Minute)
	d.intRange("retry.max_attempts", s.Retry.MaxAttempts, 1, 20)
}

// addOnce leaves out a key that already has a problem.
func (d *decoder) addOnce(key, text string) {
	for _, problem := range d.problems {
		if problem.Key == key {
			return
		}
	}
	d.add(key, text)
}

func (d *decoder) required(key, value string) {
	if value == "" {
		d.addOnce(key, "is required")
	}
}

func (d *decoder) address(key, value string) {
	if value == "" {
		d.addOnce(key, "is required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.addOnce(key, fmt.Sprintf("%q is not an IP address and port", value))
	}
}

func (d *decoder) httpURL(key, value string) {
	if value == "" {
		d.addOnce(key, "is required")
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		d.addOnce(key, fmt.Sprintf("%q is not an http or https URL", value))
	}
}

func (d *decoder) secret(key, file, env string) {
	if file == "" && env == "" {
		d.addOnce(key, "name a file or an environment variable")
	}
}

func (d *decoder) oneOf(key, value string, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	d.addOnce(key, fmt.Sprintf("%q is not one of %v", value, allowed))
}

func (d *decoder) durationRange(key string, value api.Duration, low, high time.Duration) {
	if value.Duration < low || value.Duration > high {
		d.addOnce(key, fmt.Sprintf("%s is not between %s and %s", value, low, high))
	}
}

func (d *decoder) intRange(key string, value, low, high int) {
	if value < low || value > high {
		d.addOnce(key, fmt.Sprintf("%d is not between %d and %d", value, low, high))
	}
}

func (d *decoder) floatRange(key string, value, low, high float64) {
	if value < low || value > high {
		d.addOnce(key, fmt.Sprintf("%g is not between %g and %g", value, low, high))
	}
}
