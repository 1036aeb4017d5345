package config

import (
	"encoding/json"
	"fmt"
	"time"

	"gopkg.in/yaml.v3"
)

// String returns the duration as in "1m30s".
func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalYAML reads a duration with a unit, as in "10s". It rejects numbers
// without a unit and negative durations.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := parseDuration(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil {
		msg := fmt.Sprintf("line %d: %q is not a duration; write a number with a unit, such as 10s", n.Line, n.Value)
		return &yaml.TypeError{Errors: []string{msg}}
	}
	*d = v
	return nil
}

// MarshalYAML writes the duration as in "1m30s".
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads a duration written as a string with a unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	v, err := parseDuration(s)
	if err != nil {
		return err
	}
	*d = v
	return nil
}

func parseDuration(s string) (Duration, error) {
	v, err := time.ParseDuration(s)
	if err != nil {
		return 0, err
	}
	if v < 0 {
		return 0, fmt.Errorf("%q is negative", s)
	}
	return Duration(v), nil
}
