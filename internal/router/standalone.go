package router

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/control"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Files of a folder for a standalone process.
const (
	standaloneRouter       = "settings/r1.yaml"
	standaloneControl      = "settings/c1.yaml"
	standaloneDeclarations = "declarations"
)

const (
	applyInterval = 100 * time.Millisecond
	applyTimeout  = 2 * time.Second
)

// runStandalone runs a control group of one voter and a router in one process,
// and applies the folder's declarations at the start. It is for a first look:
// one VM, no replica.
func runStandalone(dir string, signals <-chan os.Signal) (int, error) {
	s, err := LoadSettings(filepath.Join(dir, standaloneRouter))
	if err != nil {
		return 0, err
	}
	conf, err := control.LoadSettings(filepath.Join(dir, standaloneControl))
	if err != nil {
		return 0, err
	}
	declared, err := config.LoadDir(filepath.Join(dir, standaloneDeclarations))
	if err != nil {
		return 0, err
	}
	log := telemetry.NewLogger("kqrouter", s.Log)
	r, err := New(*s, log)
	if err != nil {
		return 0, err
	}
	group, err := control.Open(vfs.Default, conf, log.Named("control"), control.Options{})
	if err != nil {
		r.closeListeners()
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- group.Run(ctx) }()
	go applyUntilDone(ctx, r.dialer, conf.Address, declared, log)
	code, err := r.Run(signals)
	cancel()
	if groupErr := <-ended; err == nil {
		err = groupErr
	}
	return code, err
}

// applyUntilDone applies the declarations as soon as the group takes them.
func applyUntilDone(ctx context.Context, dialer *rpc.Dialer, address string, declared *config.Set, log hclog.Logger) {
	change := uuid.NewString()
	for ctx.Err() == nil {
		err := applyOnce(ctx, dialer, address, declared, change)
		if err == nil {
			return
		}
		if errkind.Is(err, errkind.InvalidDeclarations) {
			log.Error("declarations refused", "error", err)
			return
		}
		log.Debug("declarations not applied yet", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(applyInterval):
		}
	}
}

func applyOnce(ctx context.Context, dialer *rpc.Dialer, address string, declared *config.Set, change string) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	client := controlpb.NewDRPCControlClient(dialer.Conn(ctx, address))
	now, err := client.Get(ctx, &controlpb.GetRequest{})
	if err != nil {
		return err
	}
	current, err := config.FromObjects(config.Revision{Epoch: now.Revision.GetEpoch(), Number: now.Revision.GetNumber()}, now.Objects)
	if err != nil {
		return err
	}
	upserts, deletes, err := config.Diff(current, declared)
	if err != nil || len(upserts)+len(deletes) == 0 {
		return err
	}
	_, err = client.Apply(ctx, &controlpb.ApplyRequest{
		ChangeId: change, Base: now.Revision, Upserts: upserts, Deletes: deletes, Comment: "standalone start", Action: "apply",
	})
	return err
}
