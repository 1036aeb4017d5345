// Command kqcontrol runs a control process, which holds one replica of the fleet's
// declared configuration, claims and audit trail. It can also check a saved snapshot
// and restore a group from one.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/integrii/flaggy"

	"github.com/kumquathollow/kumquathollow/internal/control"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
	"github.com/kumquathollow/kumquathollow/internal/version"
)

func main() {
	var path, restore, inspect string
	flaggy.SetName("kqcontrol")
	flaggy.SetDescription("A replica of the fleet's declared configuration, claims and audit trail.")
	flaggy.SetVersion(version.Version)
	flaggy.String(&path, "c", "config", "settings file (YAML)")
	flaggy.String(&restore, "r", "restore", "found a new group from this saved snapshot in an empty data folder, then exit")
	flaggy.String(&inspect, "i", "inspect", "check a saved snapshot, tell what it holds, then exit")
	flaggy.Parse()

	if err := run(path, restore, inspect); err != nil {
		fmt.Fprintln(os.Stderr, "kqcontrol:", err)
		os.Exit(errkind.Lookup(errkind.Of(err)).Exit)
	}
}

func run(path, restore, inspect string) error {
	if inspect != "" {
		return inspectSnapshot(inspect)
	}
	conf, err := control.LoadSettings(path)
	if err != nil {
		return err
	}
	if restore != "" {
		revision, err := control.RestoreFile(vfs.Default, conf, restore, time.Now())
		if err != nil {
			return err
		}
		fmt.Printf("restored as revision %d.%d with %s as the only voter; start it, then add the others with kqctl\n", revision.Epoch, revision.Number, conf.Node)
		return nil
	}
	p, err := control.Open(vfs.Default, conf, telemetry.NewLogger("kqcontrol", conf.Log), control.Options{})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// Restore the default signal handling after the first signal, so that a second one
	// ends the process at once.
	context.AfterFunc(ctx, stop)
	return p.Run(ctx)
}

func inspectSnapshot(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errkind.Wrap(err, errkind.Usage, "open the snapshot")
	}
	defer f.Close()
	s, err := control.Inspect(f)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d.%d, %d objects, %d changes, %d claims, up to %s\n", s.Revision.Epoch, s.Revision.Number,
		s.Objects, s.Changes, s.Claims, time.UnixMilli(s.ClockMs).UTC().Format(time.RFC3339))
	if s.LastChange != nil {
		fmt.Printf("last change %s by %s: %s\n", s.LastChange.ChangeId, s.LastChange.Actor, s.LastChange.Action)
	}
	return nil
}
