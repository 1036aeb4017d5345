package telemetry

import (
	"io"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// FormatJSON is the log format of one JSON object per line; any other format
// is text.
const FormatJSON = "json"

// NewLogger returns the process's root logger on standard error. An empty
// level means info.
func NewLogger(name string, l settings.Log) hclog.Logger {
	return NewLoggerTo(name, l, os.Stderr)
}

// NewLoggerTo returns a root logger that writes to out.
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
