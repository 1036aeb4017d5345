package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/keys"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// configEnv is the environment variable with the settings file's path. The flag
// --config takes precedence.
const configEnv = "KQCTL_CONFIG"

// Settings are the settings of kqctl. Every field can also be set by a flag.
type Settings struct {
	// Controls are the fleet addresses of the control processes.
	Controls []string `yaml:"controls"`
	// TLS names the files of the operator's certificate, key and CA.
	TLS settings.TLS `yaml:"tls,omitempty"`
	// Timeout limits the calls of one command; default 10s.
	Timeout config.Duration `yaml:"timeout,omitempty"`
	// StateDir is the folder for pending changes, whose outcome is unknown;
	// default the folder kqctl in the user's configuration folder.
	StateDir string `yaml:"stateDir,omitempty"`
}

// app is one run of kqctl.
type app struct {
	flags
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	client *client
	// files is where pending changes are written.
	files vfs.FS
}

// Main runs kqctl with the arguments and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdout: stdout, stderr: stderr, files: vfs.Default}
	parser, cmds := commandLine(&a.flags)
	if err := parser.ParseArgs(args); err != nil {
		return a.fail(errkind.Wrap(err, errkind.Usage, "command line"))
	}
	runCommand := selectedCommand(cmds)
	if runCommand == nil {
		parser.ShowHelpWithMessage("Give a command.")
		return errkind.ExitUsage
	}
	if err := a.configure(); err != nil {
		return a.fail(err)
	}
	defer a.close()
	if err := runCommand(a); err != nil {
		return a.fail(err)
	}
	return errkind.ExitOK
}

// selectedCommand returns the function of the command on the command line, or
// nil if there is none.
func selectedCommand(cmds []*command) func(*app) error {
	for _, c := range cmds {
		if !c.sub.Used {
			continue
		}
		if c.run != nil {
			return c.run
		}
		return selectedCommand(c.nested)
	}
	return nil
}

// configure merges settings and flags and creates the client. Connections are
// opened on first use.
func (a *app) configure() error {
	path := a.settings
	if path == "" {
		path = os.Getenv(configEnv)
	}
	var s Settings
	if path != "" {
		if err := settings.Load(path, &s); err != nil {
			return err
		}
	}
	if len(a.controls) == 0 {
		a.controls = s.Controls
	}
	a.controls = strings.Split(strings.Join(a.controls, ","), ",")
	if a.controls[0] == "" {
		a.controls = nil
	}
	if s.Timeout > 0 && a.timeout == defaultTimeout {
		a.timeout = s.Timeout.AsDuration()
	}
	if a.stateDir == "" {
		a.stateDir = s.StateDir
	}
	if a.stateDir == "" {
		dir, err := os.UserConfigDir()
		if err != nil {
			dir = "."
		}
		a.stateDir = filepath.Join(dir, "kqctl")
	}
	id := settings.TLS{CA: orElse(a.ca, s.TLS.CA), Cert: orElse(a.cert, s.TLS.Cert), Key: orElse(a.key, s.TLS.Key)}
	conf, err := keys.FleetClientConfig(id)
	if err != nil {
		return err
	}
	a.client = &client{addresses: a.controls, dialer: rpc.NewDialer(conf), timeout: a.timeout}
	return nil
}

func (a *app) close() { _ = a.client.dialer.Close() }

func orElse(v, fallback string) string {
	if v != "" {
		return v
	}
	return fallback
}

// failure is the JSON output for an error.
type failure struct {
	Kind    errkind.Kind    `json:"kind"`
	Outcome errkind.Outcome `json:"outcome"`
	Message string          `json:"message"`
	Faults  settings.Faults `json:"faults,omitempty"`
}

// fail prints the error and returns its exit code.
func (a *app) fail(err error) int {
	row := errkind.Lookup(errkind.Of(err))
	if a.json {
		a.printJSON(a.stderr, failure{row.Kind, row.Outcome, err.Error(), config.FaultsOf(err)})
		return row.Exit
	}
	fmt.Fprintf(a.stderr, "kqctl: %v\n", err)
	return row.Exit
}

func (a *app) printJSON(w io.Writer, v any) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		fmt.Fprintf(a.stderr, "kqctl: %v\n", err)
	}
}

// printResult prints v as JSON if --json is set; otherwise it calls text.
func (a *app) printResult(v any, text func(w io.Writer)) {
	if a.json {
		a.printJSON(a.stdout, v)
		return
	}
	text(a.stdout)
}

// formatMillis formats a duration in milliseconds, rounded to 0.1 s.
func formatMillis(ms uint64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
