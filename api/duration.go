package api

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that settings files contain as text in the format of
// time.ParseDuration, such as "150ms".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration. It fails on text that time.ParseDuration rejects.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	d.Duration = duration
	return nil
}

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}
