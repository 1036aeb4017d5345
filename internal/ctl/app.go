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

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/keys"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// configEnv names the settings file if the flag does not.
const configEnv = "KQCTL_CONFIG"

// Settings are kqctl's own; every field can be given by a flag instead.
type Settings struct {
	// Controls are the fleet addresses of the control processes.
	Controls []string `yaml:"controls"`
	// TLS is the operator's identity.
	TLS settings.TLS `yaml:"tls,omitempty"`
	// Timeout bounds the calls of one command; default 10s.
	Timeout config.Duration `yaml:"timeout,omitempty"`
	// StateDir keeps changes whose outcome is unknown; default the user's
	// configuration folder.
	StateDir string `yaml:"stateDir,omitempty"`
}

// app is one run of kqctl.
type app struct {
	flags
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	client *client
}

// Main runs kqctl with the arguments and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdout: stdout, stderr: stderr}
	parser, cmds := commandLine(&a.flags)
	if err := parser.ParseArgs(args); err != nil {
		return a.fail(errkind.Wrap(err, errkind.Usage, "command line"))
	}
	run := chosen(cmds)
	if run == nil {
		parser.ShowHelpWithMessage("Give a command.")
		return errkind.ExitUsage
	}
	if err := a.prepare(); err != nil {
		return a.fail(err)
	}
	defer a.close()
	if err := run(a); err != nil {
		return a.fail(err)
	}
	return errkind.ExitOK
}

// chosen returns the function of the command that was given.
func chosen(cmds []*command) func(*app) error {
	for _, c := range cmds {
		if !c.sub.Used {
			continue
		}
		if c.run != nil {
			return c.run
		}
		return chosen(c.nested)
	}
	return nil
}

// prepare joins settings and flags. Connections are made on first use.
func (a *app) prepare() error {
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
		a.timeout = s.Timeout.D()
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
	conf, err := keys.ClientConfig(id)
	if err != nil {
		return err
	}
	a.client = &client{addresses: a.controls, dialer: rpc.NewDialer(conf), timeout: a.timeout}
	return nil
}

func (a *app) close() { _ = a.client.dialer.Close() }

func orElse(v, def string) string {
	if v != "" {
		return v
	}
	return def
}

// failure is an error in kqctl's JSON output.
type failure struct {
	Kind    errkind.Kind    `json:"kind"`
	Outcome errkind.Outcome `json:"outcome"`
	Message string          `json:"message"`
	Faults  settings.Faults `json:"faults,omitempty"`
}

// fail reports the error and returns its exit code.
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

// show prints v as JSON if asked to, else runs text.
func (a *app) show(v any, text func(w io.Writer)) {
	if a.json {
		a.printJSON(a.stdout, v)
		return
	}
	text(a.stdout)
}

// since returns a duration in milliseconds as text, rounded to 0.1 s.
func since(ms uint64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
