// Command kqrouter takes callers' requests and backend servers' announcements,
// and carries each request to a backend server and its answer back.
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
	flaggy.SetName("kqrouter")
	flaggy.SetDescription("Carries callers' requests to backend servers.")
	flaggy.SetVersion(version.Version)
	flaggy.String(&path, "c", "config", "settings file (YAML)")
	flaggy.Parse()

	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	os.Exit(router.Main(path, signals, os.Stderr))
}
