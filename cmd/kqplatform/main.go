// Command kqplatform runs a router or a directory process on the users' platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/integrii/flaggy"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/eventlog"
	"github.com/kumquathollow/kumquathollow/internal/version"
	"github.com/kumquathollow/kumquathollow/platform"
)

func main() {
	router := flaggy.NewSubcommand("router")
	router.Description = "carries clients' requests to backend servers"
	directory := flaggy.NewSubcommand("directory")
	directory.Description = "keeps the configuration and the list of backend servers"
	flaggy.SetName("kqplatform")
	flaggy.SetDescription("Runs the fleet's processes on the users' platform.")
	flaggy.SetVersion(version.Version)
	flaggy.AttachSubcommand(router, 1)
	flaggy.AttachSubcommand(directory, 1)
	flaggy.Parse()

	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)

	out := eventlog.NewWriter(os.Stdout)
	run := func(path string, stop, reload <-chan os.Signal, out *eventlog.Writer) error {
		return platform.RunRouter(path, nil, nil, stop, reload, out)
	}
	switch {
	case directory.Used:
		run = func(path string, stop, reload <-chan os.Signal, out *eventlog.Writer) error {
			return platform.RunDirectory(path, vfs.Default, stop, reload, out)
		}
	case !router.Used:
		flaggy.ShowHelpAndExit("name a process: router or directory")
	}
	path, err := platform.SettingsPath()
	if err == nil {
		err = run(path, stop, reload, out)
	}
	out.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "kqplatform:", err)
		os.Exit(errkind.Lookup(errkind.Of(err)).Exit)
	}
}
