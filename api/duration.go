package api

import (
	"fmt"
	"time"
)

// Duration is a time span that settings files write in the form of
// time.ParseDuration, such as "150ms".
type Duration struct{ time.Duration }

// UnmarshalText parses a span. It fails on text that time.ParseDuration refuses.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	d.Duration = span
	return nil
}

// MarshalText formats a span as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}
