// Command kqctl is the operators' command line tool, which checks, applies and shows the
// declarations of a fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/kumquathollow/kumquathollow/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
