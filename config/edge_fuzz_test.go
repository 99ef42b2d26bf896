package config

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a settings file that ends the process instead of giving its problems.
func FuzzEdgeSettings(f *testing.F) {
	f.Add("[router]\nid = \"r\"\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:1\"\n")
	f.Add("[store]\naddress = 7\n")
	f.Add("= [")
	path := filepath.Join(f.TempDir(), "router.toml")
	f.Fuzz(func(t *testing.T, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		settings, err := LoadEdge(path)
		if err == nil && settings == nil {
			t.Fatal("neither settings nor an error")
		}
	})
}
