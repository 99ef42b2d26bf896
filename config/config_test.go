package config

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func goodText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("testdata/good.toml")
	assert.NilError(t, err)
	return string(text)
}

// Guards against defaults that overwrite given values or are not applied.
func TestLoadGoodFile(t *testing.T) {
	settings, err := Load("testdata/good.toml")
	assert.NilError(t, err)
	assert.Equal(t, settings.Limits.LoadMultiple, 1.5)
	assert.Equal(t, settings.Platform.Timeout.Duration, time.Second)
	assert.Equal(t, settings.Limits.WithdrawWithin.Duration, 3*time.Second)
	assert.Equal(t, settings.Claims.Shards, 64)
}

// Guards against invalid values that are accepted, and against messages without
// the file, line or key.
func TestBadFiles(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown key", "timeout =", "timeuot =", []string{"f.toml:13: platform.timeuot: unknown key"}},
		{"unknown table", "[limits]", "[limit]", []string{"f.toml:22: limit: unknown key"}},
		{"missing", `id = "router-1"`, "", []string{"f.toml: router.id: is required"}},
		{"host name", "127.0.0.1:8080", "localhost:8080", []string{`listen.callers: "localhost:8080" is not an IP address and port`}},
		{"bad duration", `"1s"`, `"1 second"`, []string{"f.toml:13: platform.timeout: \"1 second\" is not a duration"}},
		{"number as duration", `"1s"`, `1`, []string{"f.toml:13: platform.timeout: must be a duration in quotes"}},
		{"out of range", "1.5", "0.5", []string{"f.toml:23: limits.load_multiple: 0.5 is not between 1 and 10"}},
		{"explicit zero", "1.5", "0", []string{"f.toml:23: limits.load_multiple: must be larger than 0"}},
		{"wrong type", "1.5", `"much"`, []string{"f.toml:23: limits.load_multiple: must be a number"}},
		{"syntax", "[limits]", "[limits", []string{"syntax"}},
		{"lone certificate", "admin = \"127.0.0.1:8082\"", "admin = \"127.0.0.1:8082\"\ntls_cert_file = \"c.pem\"", []string{"go together"}},
		{"no secret", `secret_env = "HORNBEAM_PEER_SECRET"`, "", []string{"peers.secret_file: name a file or an environment variable"}},
		{
			"three at once", "[limits]\nload_multiple = 1.5", "[limits]\nload_multiple = 99\nqueue_wait = \"soon\"\ncolour = 1",
			[]string{"f.toml:23: limits.load_multiple", "f.toml:24: limits.queue_wait", "f.toml:25: limits.colour"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(goodText(t), test.old, test.new, 1)
			_, err := Parse("f.toml", []byte(text))
			var problems *Error
			assert.Assert(t, errors.As(err, &problems), "error: %v", err)
			for _, want := range test.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

// Guards against an empty environment variable that is accepted as a secret.
func TestReadSecretsEmptyVariable(t *testing.T) {
	settings, err := Load("testdata/good.toml")
	assert.NilError(t, err)
	t.Setenv("HORNBEAM_PEER_SECRET", "")
	_, err = ReadSecrets(settings)
	assert.ErrorContains(t, err, "HORNBEAM_PEER_SECRET is empty")
}
