// Command kqrouter runs a router, which forwards callers' requests to backend servers and
// returns the responses. It also receives the announcements of backend servers.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/kumquathollow/kumquathollow/internal/router"
	"github.com/kumquathollow/kumquathollow/internal/version"
)

func main() {
	var path string
	var standalone bool
	flaggy.SetName("kqrouter")
	flaggy.SetDescription("Carries callers' requests to backend servers.")
	flaggy.SetVersion(version.Version)
	flaggy.String(&path, "c", "config", "settings file (YAML)")
	flaggy.Bool(&standalone, "s", "standalone", "run a control group and a router in one process; config is then a folder")
	flaggy.Parse()

	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	os.Exit(router.Main(path, standalone, signals, os.Stderr))
}
