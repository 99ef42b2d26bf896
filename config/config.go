// Package config reads the settings of a router from a TOML file. It reports
// the problems of a file together, each with its line and key.
package config

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Problem is one error in a settings file. Line is 0 if the key is absent from
// the file.
type Problem struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Key  string `json:"key"`
	Text string `json:"text"`
}

func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", p.File, p.Key, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Error holds all problems of one settings file.
type Error struct {
	Problems []Problem
}

func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Secrets holds the values that the settings refer to by file or environment
// variable. They are never logged.
type Secrets struct {
	PlatformToken string
	PeerSecret    string
	AdminToken    string
}

// Load reads and validates a settings file. In the returned settings all
// optional sections are non-nil, and defaults replace absent values. Problems in
// the file's content are returned as *Error.
func Load(path string) (*api.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return Parse(path, text)
}

// Parse decodes and validates the text of a settings file; file is the name
// that problems show. Errors are of type *Error.
func Parse(file string, text []byte) (*api.Settings, error) {
	settings := &api.Settings{
		Limits: &api.LimitSettings{},
		Claims: &api.ClaimSettings{},
		Retry:  &api.RetrySettings{},
		Orders: &api.OrderSettings{},
		Log:    &api.LogSettings{},
	}
	decoder := newDecoder(file, text)
	decoder.decode(settings)
	applyDefaults(settings)
	decoder.validate(settings)
	if len(decoder.problems) > 0 {
		return nil, &Error{Problems: decoder.problems}
	}
	return settings, nil
}

// ReadSecrets reads the secrets that the settings refer to. A file or variable
// that is empty is an error. If the settings name both for a secret, the environment
// variable takes precedence; if they name neither, the secret is empty.
func ReadSecrets(settings *api.Settings) (Secrets, error) {
	var secrets Secrets
	var err error
	secrets.PlatformToken, err = readSecret("platform.token", settings.Platform.TokenFile, settings.Platform.TokenEnv)
	if err != nil {
		return Secrets{}, err
	}
	secrets.PeerSecret, err = readSecret("peers.secret", settings.Peers.SecretFile, settings.Peers.SecretEnv)
	if err != nil {
		return Secrets{}, err
	}
	secrets.AdminToken, err = readSecret("admin.token", settings.Admin.TokenFile, settings.Admin.TokenEnv)
	if err != nil {
		return Secrets{}, err
	}
	return secrets, nil
}

func readSecret(key, file, env string) (string, error) {
	if env != "" {
		value := os.Getenv(env)
		if value == "" {
			return "", fmt.Errorf("%s: environment variable %s is empty", key, env)
		}
		return value, nil
	}
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("%s: %w", key, err)
	}
	value := strings.TrimSpace(string(text))
	if value == "" {
		return "", fmt.Errorf("%s: file %s is empty", key, file)
	}
	return value, nil
}

func applyDefaults(s *api.Settings) {
	setDuration(&s.Platform.Timeout, 2*time.Second)
	setDuration(&s.Peers.GossipInterval, 200*time.Millisecond)
	setInt(&s.Peers.Fanout, 3)
	setInt(&s.Peers.ControlBytesPerSecond, 1500)
	setFloat(&s.Limits.LoadMultiple, 1.25)
	setDuration(&s.Limits.WithdrawWithin, 3*time.Second)
	setDuration(&s.Platform.WatchWait, min(2*time.Second, s.Limits.WithdrawWithin.Duration*2/3))
	setDuration(&s.Limits.PermitTimeout, 150*time.Millisecond)
	setInt(&s.Limits.QueueLength, 64)
	setDuration(&s.Limits.QueueWait, 5*time.Second)
	setDuration(&s.Limits.RequestTimeout, 5*time.Minute)
	setDuration(&s.Limits.FirstByteTimeout, 10*time.Second)
	setInt(&s.Limits.MaxBodyBytes, 1<<20)
	setInt(&s.Limits.MaxHeaderBytes, 32<<10)
	setDuration(&s.Limits.DrainTimeout, 5*time.Minute)
	setDuration(&s.Limits.LoadPollInterval, 500*time.Millisecond)
	setInt(&s.Limits.CacheMoveBytesPerSecond, 64<<20)
	setDuration(&s.Limits.ColdLease, 6*time.Second)
	setInt(&s.Claims.Shards, 64)
	setDuration(&s.Claims.CommitInterval, 50*time.Millisecond)
	setDuration(&s.Claims.Retention, 24*time.Hour)
	setDuration(&s.Claims.Timeout, 2*time.Second)
	setInt(&s.Claims.MaxOutcomeBytes, 16<<10)
	setFloat(&s.Retry.BudgetFraction, 0.1)
	setFloat(&s.Retry.BudgetFloor, 3)
	setDuration(&s.Retry.BaseDelay, 20*time.Millisecond)
	setDuration(&s.Retry.MaxDelay, time.Second)
	setInt(&s.Retry.MaxAttempts, 5)
	setFloat(&s.Orders.LoadsPerSecond, 0.5)
	setFloat(&s.Orders.MaxMissingFraction, 0.1)
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
}

func setDuration(target *api.Duration, value time.Duration) {
	if target.Duration == 0 {
		target.Duration = value
	}
}

func setInt(target *int, value int) {
	if *target == 0 {
		*target = value
	}
}

func setFloat(target *float64, value float64) {
	if *target == 0 {
		*target = value
	}
}
