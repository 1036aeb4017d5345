// Command kqstandin runs simulated model engines and plain services, for tests, the demo
// and measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
	"github.com/kumquathollow/kumquathollow/internal/version"
)

func main() {
	var path string
	flaggy.SetName("kqstandin")
	flaggy.SetDescription("Runs stand-ins of model engines and plain services, for tests and the demo.")
	flaggy.SetVersion(version.Version)
	flaggy.String(&path, "c", "config", "settings file (YAML)")
	flaggy.Parse()

	if err := run(path); err != nil {
		fmt.Fprintln(os.Stderr, "kqstandin:", err)
		os.Exit(errkind.Lookup(errkind.Of(err)).Exit)
	}
}

func run(path string) error {
	conf, err := standin.LoadSettings(path)
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "kqstandin", Level: hclog.LevelFromString(conf.LogLevel), Output: os.Stderr})
	p, err := standin.Start(conf, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	p.Run(ctx)
	return nil
}
