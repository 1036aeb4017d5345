// Command kqreplay replays a recorded trace against a running fleet and compares the
// outcomes that callers received with the requests that backend servers ran. It also
// generates traces, compares placement policies in a simulation and measures the
// figures of docs/CAPACITY.md.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/kumquathollow/kumquathollow/internal/capacity"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/measure"
	"github.com/kumquathollow/kumquathollow/internal/replay"
	"github.com/kumquathollow/kumquathollow/internal/trace"
	"github.com/kumquathollow/kumquathollow/internal/version"
)

type options struct {
	config   string
	json     bool
	details  string
	trace    string
	events   string
	repeat   time.Duration
	profile  string
	seed     uint64
	generate *flaggy.Subcommand
	play     *flaggy.Subcommand
	measure  *flaggy.Subcommand
	capacity *flaggy.Subcommand
	root     string
	output   string
	size     int
}

func main() {
	var o options
	flaggy.SetName("kqreplay")
	flaggy.SetDescription("Plays a recorded trace against a running fleet and checks the outcomes.")
	flaggy.SetVersion(version.Version)

	o.play = flaggy.NewSubcommand("play")
	o.play.Description = "play a trace, check the promises and print a report"
	o.play.String(&o.config, "c", "config", "settings file (YAML)")
	o.play.Bool(&o.json, "j", "json", "print the report as JSON")
	o.play.String(&o.details, "d", "details", "also write the whole observation to this file, as JSON")
	o.play.String(&o.trace, "t", "trace", "trace file, in place of the settings' one")
	o.play.String(&o.events, "e", "events", "events file, in place of the settings' one")
	o.play.Duration(&o.repeat, "r", "repeat", "play the trace in rounds until this time")
	flaggy.AttachSubcommand(o.play, 1)

	o.generate = flaggy.NewSubcommand("generate")
	o.generate.Description = "print a trace made by seed"
	o.generate.String(&o.profile, "p", "profile", "maracas or brinco")
	o.seed = 1
	o.generate.UInt64(&o.seed, "s", "seed", "seed")
	flaggy.AttachSubcommand(o.generate, 1)

	o.measure = flaggy.NewSubcommand("measure")
	o.measure.Description = "compare ways of placing requests in virtual time"
	o.measure.String(&o.output, "o", "output", "file for the tables; default standard output")
	o.measure.Int(&o.size, "s", "size", "measure only the size of this number, from 1; 0 is all")
	flaggy.AttachSubcommand(o.measure, 1)

	o.capacity = flaggy.NewSubcommand("capacity")
	o.capacity.Description = "measure the slopes of docs/CAPACITY.md and renew its tables"
	o.root = "."
	o.capacity.String(&o.root, "r", "root", "folder that holds docs/")
	flaggy.AttachSubcommand(o.capacity, 1)
	flaggy.Parse()

	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "kqreplay:", err)
		os.Exit(errkind.Lookup(errkind.Of(err)).Exit)
	}
}

func run(o options) error {
	switch {
	case o.generate.Used:
		p, ok := trace.Profiles()[o.profile]
		if !ok {
			return errkind.New(errkind.Usage, "name a profile with -p: maracas or brinco")
		}
		return trace.Write(os.Stdout, trace.Generate(p, o.seed))
	case o.play.Used:
		return play(o)
	case o.measure.Used:
		return measurePlacement(o)
	case o.capacity.Used:
		return capacity.Regenerate(o.root, func(s capacity.Sample) {
			fmt.Fprintf(os.Stderr, "%s at %g: %.4g %s\n", s.Slope, s.Size, s.Value, s.Unit)
		})
	}
	return errkind.New(errkind.Usage, "name a command: play, generate, measure or capacity; see --help")
}

// measurePlacement simulates the placement policies and writes tables that compare
// them.
func measurePlacement(o options) error {
	sizes := measure.Sizes()
	if o.size < 0 || o.size > len(sizes) {
		return errkind.New(errkind.Usage, "there are %d sizes", len(sizes))
	}
	if o.size > 0 {
		sizes = sizes[o.size-1 : o.size]
	}
	results, err := measure.Run(sizes)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "measure")
	}
	var tables bytes.Buffer
	if err := measure.WriteMarkdown(&tables, results); err != nil {
		return errkind.Wrap(err, errkind.Internal, "write the tables")
	}
	if o.output == "" {
		_, err = os.Stdout.Write(tables.Bytes())
	} else {
		err = os.WriteFile(o.output, tables.Bytes(), 0o644)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "write the tables")
	}
	return nil
}

func play(o options) error {
	conf, err := replay.LoadSettings(o.config)
	if err != nil {
		return err
	}
	if o.trace != "" {
		conf.Trace = o.trace
	}
	if o.events != "" {
		conf.Events = o.events
	}
	if o.repeat > 0 {
		conf.RepeatDuration = o.repeat
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	observation, err := replay.Play(ctx, conf)
	if err != nil {
		return err
	}
	if err := writeDetails(o.details, observation); err != nil {
		return err
	}
	report := replay.NewReport(observation)
	if o.json {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return err
		}
	} else {
		report.WriteText(os.Stdout)
	}
	if n := report.Violations(); n > 0 {
		return errkind.New(errkind.PromiseBroken, "%d violations", n)
	}
	return nil
}

func writeDetails(path string, observation replay.Observation) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return json.NewEncoder(f).Encode(observation)
}
