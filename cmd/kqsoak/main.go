// Command kqsoak injects faults into a fleet of kqplatform processes on loopback and
// checks the guarantees of the system. Its exit code is not 0 if one was violated. Its
// subcommands directory and router run such a process on a disk, or with a path to the backend
// servers, that injects faults on demand; server runs a backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/integrii/flaggy"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/eventlog"
	"github.com/kumquathollow/kumquathollow/internal/faultyfs"
	"github.com/kumquathollow/kumquathollow/internal/faultypath"
	"github.com/kumquathollow/kumquathollow/internal/version"
	"github.com/kumquathollow/kumquathollow/platform"
	"github.com/kumquathollow/kumquathollow/platform/soak"
)

func main() {
	dir, processes, previous := "", "", ""
	fullDisks, changeBytes := false, 3<<20
	seed, seeds, seconds := uint64(1), 1, 15
	directories, routers, servers, clients := 3, 4, 6, 24
	flaggy.SetName("kqsoak")
	flaggy.SetDescription("Disturbs a fleet on loopback and checks its promises.")
	flaggy.SetVersion(version.Version)
	flaggy.String(&dir, "d", "dir", "folder for settings, data and logs; default a temporary one, kept if a promise broke")
	flaggy.String(&processes, "", "processes", "path of the kqsoak that runs the processes; default this one")
	flaggy.String(&previous, "", "previous", "path of the kqsoak of an earlier release, of which every other process starts")
	flaggy.UInt64(&seed, "s", "seed", "first seed")
	flaggy.Int(&seeds, "n", "seeds", "number of seeds")
	flaggy.Int(&seconds, "t", "seconds", "seconds of faults for each seed")
	flaggy.Int(&directories, "", "directories", "directory processes")
	flaggy.Int(&routers, "", "routers", "routers")
	flaggy.Int(&servers, "", "servers", "backend servers")
	flaggy.Int(&clients, "", "clients", "clients")
	profile, thin := "", 0
	flaggy.String(&profile, "", "profile", "YAML file that describes the numbers of processes and the load; replaces --directories, --routers, --servers and --clients")
	flaggy.Int(&thin, "", "thin", "with --profile, divides the rates of its requests; default as the profile says")
	release := ""
	flaggy.String(&release, "", "release", "replace the servers instead of injecting the usual faults; one of "+strings.Join(soak.Releases, ", "))
	flaggy.Bool(&fullDisks, "", "full-disks", "only fills the disks of the directory processes, one after another")
	flaggy.Int(&changeBytes, "", "change-bytes", "with --full-disks, size of the largest configuration")
	directory := flaggy.NewSubcommand("directory")
	directory.Description = "runs a directory process on a disk that misbehaves while $" + soak.DiskControlEnv + " says so"
	router := flaggy.NewSubcommand("router")
	router.Description = "runs a router whose paths to the servers and the fleet are cut as $" + soak.PathControlEnv + " and $" + soak.FleetPathControlEnv + " say"
	flaggy.AttachSubcommand(directory, 1)
	flaggy.AttachSubcommand(router, 1)
	server := flaggy.NewSubcommand("server")
	server.Description = "runs a backend server as $" + soak.ServerEnv + " says, until its input ends"
	flaggy.AttachSubcommand(server, 1)
	flaggy.Parse()
	switch {
	case directory.Used:
		runProcess(func(path string, stop <-chan os.Signal, out *eventlog.Writer) error {
			disk := faultyfs.FS{FS: vfs.Default, ControlFile: os.Getenv(soak.DiskControlEnv)}
			return platform.RunDirectory(path, disk, stop, nil, out)
		})
		return
	case router.Used:
		runProcess(func(path string, stop <-chan os.Signal, out *eventlog.Writer) error {
			toServers := &faultypath.Path{}
			go toServers.Follow(context.Background(), os.Getenv(soak.PathControlEnv))
			toFleet := &faultypath.Path{}
			go toFleet.Follow(context.Background(), os.Getenv(soak.FleetPathControlEnv))
			return platform.RunRouter(path, toServers.Dial, toFleet.Dial, stop, nil, out)
		})
		return
	case server.Used:
		runServer()
		return
	}
	if directories < 3 || routers < 1 || servers < 1 || clients < 1 || changeBytes < 1<<10 || seeds < 1 || seconds < 1 {
		fmt.Fprintln(os.Stderr, "kqsoak: at least 3 directories, 1 of each other and a change of 1 KB are needed")
		os.Exit(errkind.ExitUsage)
	}
	if release != "" && !slices.Contains(soak.Releases, release) {
		fmt.Fprintf(os.Stderr, "kqsoak: release %q does not exist\n", release)
		os.Exit(errkind.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	executable, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "kqsoak:", err)
		os.Exit(errkind.ExitFailed)
	}
	if processes == "" {
		processes = executable
	}
	conf := soak.Config{
		SoakBinary: processes, ServerBinary: executable, Previous: previous,
		FaultDuration: time.Duration(seconds) * time.Second, Directories: directories, Routers: routers, Servers: servers, Clients: clients,
		ChangeBytes: changeBytes, Out: os.Stdout, Release: release,
	}
	if err := setProfile(&conf, profile, thin, fullDisks || release != ""); err != nil {
		fmt.Fprintln(os.Stderr, "kqsoak:", err)
		os.Exit(errkind.ExitUsage)
	}
	failedSeeds := 0
	for n := range uint64(seeds) {
		conf.Seed = seed + n
		run := runSeed
		if fullDisks {
			run = runFullDisks
		}
		if err := run(ctx, conf, dir); err != nil {
			fmt.Fprintf(os.Stderr, "kqsoak: seed %d: %v\n", conf.Seed, err)
			failedSeeds++
		}
		if ctx.Err() != nil {
			break
		}
	}
	if failedSeeds > 0 {
		os.Exit(errkind.ExitFailed)
	}
}

// setProfile makes the run follow the profile in the file, if there is one.
func setProfile(conf *soak.Config, path string, thin int, otherKind bool) error {
	switch {
	case path == "" && thin == 0:
		return nil
	case path == "":
		return errors.New("--thin needs --profile")
	case otherKind:
		return errors.New("--profile cannot be used with --release or --full-disks")
	case thin < 0:
		return errors.Newf("--thin is %d, want 1 at least", thin)
	}
	p, err := soak.LoadProfile(path)
	if err != nil {
		return err
	}
	if thin > 0 {
		p.Thin = float64(thin)
	}
	conf.SetProfile(p)
	return nil
}

func runProcess(run func(path string, stop <-chan os.Signal, out *eventlog.Writer) error) {
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	signal.Ignore(syscall.SIGPIPE)
	out := eventlog.NewWriter(os.Stdout)
	path, err := platform.SettingsPath()
	if err == nil {
		err = run(path, stop, out)
	}
	out.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "kqsoak:", err)
		os.Exit(errkind.Lookup(errkind.Of(err)).Exit)
	}
}

func runServer() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	signal.Ignore(syscall.SIGINT) // The parent ends it.
	if err := soak.RunServer(os.Stdin, os.Stdout, stop); err != nil {
		fmt.Fprintln(os.Stderr, "kqsoak:", err)
		os.Exit(errkind.ExitFailed)
	}
}

// maxPrintedViolations limits how many violations are printed for each seed.
const maxPrintedViolations = 20

// runSeed runs the test with conf.Seed. It returns an error if the test could not run
// or if guarantees were violated.
func runSeed(ctx context.Context, conf soak.Config, dir string) error {
	remove, err := makeDir(&conf, dir)
	if err != nil {
		return err
	}
	r, err := soak.Run(ctx, conf)
	if err != nil {
		return fmt.Errorf("%w; logs in %s", err, conf.Dir)
	}
	fmt.Printf("seed %d: %d faults, %d served, %d refused, %d failed, %d rollouts ordered, %d departures, %d evacuations, version %d acknowledged, recovered after %s, %d violations\n",
		conf.Seed, r.Faults, r.Served, r.Refused, r.Failed, r.Rollouts, r.Departures, r.Evacuations, r.AcknowledgedVersion, r.RecoveryTime.Round(time.Millisecond), len(r.Violations))
	fmt.Printf("  streams: %s\n", r.Streams)
	fmt.Printf("  continued: %s\n", r.Streams.Continuations)
	fmt.Printf("  responses: %s\n", r.Deliveries)
	fmt.Printf("  kills: %s\n", r.Kills)
	fmt.Printf("  clients: %s\n", r.Patience)
	fmt.Printf("  rules: %s\n", r.Rules)
	if r.Load != "" {
		fmt.Printf("  load: %s\n", strings.ReplaceAll(r.Load, "\n", "\n  load: "))
	}
	return conclude(conf, r.Violations, remove)
}

// runFullDisks is runSeed for the run that only fills disks.
func runFullDisks(ctx context.Context, conf soak.Config, dir string) error {
	remove, err := makeDir(&conf, dir)
	if err != nil {
		return err
	}
	r, err := soak.RunFullDisks(ctx, conf)
	if err != nil {
		return fmt.Errorf("%w; logs in %s", err, conf.Dir)
	}
	fmt.Printf("seed %d: %d directory processes, %d full disks, %d of %d changes acknowledged, %d attempts refused, slowest afterwards %s, %d violations\n",
		conf.Seed, conf.Directories, r.Faults, r.Acknowledged, r.Changes, r.Refused, r.Slowest.Round(time.Millisecond), len(r.Violations))
	return conclude(conf, r.Violations, remove)
}

// makeDir creates the folder of a seed in dir, or in a temporary folder that remove removes.
func makeDir(conf *soak.Config, dir string) (remove func() error, err error) {
	remove = func() error { return nil }
	if dir == "" {
		if dir, err = os.MkdirTemp("", "kqsoak-"); err != nil {
			return nil, err
		}
		remove = func() error { return os.RemoveAll(dir) }
	}
	conf.Dir = filepath.Join(dir, fmt.Sprint("seed-", conf.Seed))
	return remove, os.MkdirAll(conf.Dir, 0o700)
}

// conclude prints the violations. Without any it calls remove.
func conclude(conf soak.Config, violations []string, remove func() error) error {
	for _, v := range violations[:min(maxPrintedViolations, len(violations))] {
		fmt.Println("  broken:", v)
	}
	if len(violations) > 0 {
		if err := os.WriteFile(filepath.Join(conf.Dir, "violations.txt"), []byte(strings.Join(violations, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		return fmt.Errorf("%d promises broken; logs in %s", len(violations), conf.Dir)
	}
	return remove()
}
