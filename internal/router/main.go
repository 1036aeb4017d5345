package router

import (
	"fmt"
	"io"
	"os"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Main runs a router until it is stopped by a signal, and returns the exit code. path
// is its settings file, or for a standalone process the folder that holds the settings
// and declarations.
func Main(path string, standalone bool, signals <-chan os.Signal, stderr io.Writer) int {
	runProcess := run
	if standalone {
		runProcess = runStandalone
	}
	if path == "" {
		fmt.Fprintln(stderr, "kqrouter: name the settings with --config; see --help")
		return errkind.ExitUsage
	}
	code, err := runProcess(path, signals)
	if err != nil {
		fmt.Fprintln(stderr, "kqrouter:", err)
		return errkind.Lookup(errkind.Of(err)).Exit
	}
	return code
}

func run(path string, signals <-chan os.Signal) (int, error) {
	s, err := LoadSettings(path)
	if err != nil {
		return 0, err
	}
	r, err := New(*s, telemetry.NewLogger("kqrouter", s.Log))
	if err != nil {
		return 0, err
	}
	return r.Run(signals)
}
