package telemetry

import (
	"io"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// FormatJSON selects one JSON object per log line. Any other format means text.
const FormatJSON = "json"

// NewLogger returns the process's root logger, which writes to standard error. An empty
// or unknown level means info.
func NewLogger(name string, l settings.Log) hclog.Logger {
	return NewLoggerTo(name, l, os.Stderr)
}

// NewLoggerTo is like NewLogger, but the logger writes to out.
func NewLoggerTo(name string, l settings.Log, out io.Writer) hclog.Logger {
	level := hclog.LevelFromString(l.Level)
	if level == hclog.NoLevel {
		level = hclog.Info
	}
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      level,
		Output:     out,
		JSONFormat: l.Format == FormatJSON,
	})
}
