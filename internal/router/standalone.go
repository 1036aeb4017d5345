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

// Paths within the folder of a standalone process.
const (
	standaloneRouter       = "settings/r1.yaml"
	standaloneControl      = "settings/c1.yaml"
	standaloneDeclarations = "declarations"
)

const (
	applyInterval = 100 * time.Millisecond
	applyTimeout  = 2 * time.Second
)

// runStandalone runs a control group with a single voter and a router in one process,
// and applies the declarations of the folder at the start. It is meant for evaluation:
// everything runs on one VM, without a replica.
func runStandalone(dir string, signals <-chan os.Signal) (int, error) {
	s, err := LoadSettings(filepath.Join(dir, standaloneRouter))
	if err != nil {
		return 0, err
	}
	controlSettings, err := control.LoadSettings(filepath.Join(dir, standaloneControl))
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
	group, err := control.Open(vfs.Default, controlSettings, log.Named("control"), control.Options{})
	if err != nil {
		r.closeListeners()
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	groupDone := make(chan error, 1)
	go func() { groupDone <- group.Run(ctx) }()
	go applyUntilDone(ctx, r.dialer, controlSettings.Address, declared, log)
	code, err := r.Run(signals)
	cancel()
	if groupErr := <-groupDone; err == nil {
		err = groupErr
	}
	return code, err
}

// applyUntilDone applies the declarations, and retries until the control group accepts
// them or finds them invalid.
func applyUntilDone(ctx context.Context, dialer *rpc.Dialer, address string, declared *config.Set, log hclog.Logger) {
	changeID := uuid.NewString()
	for ctx.Err() == nil {
		err := applyOnce(ctx, dialer, address, declared, changeID)
		if err == nil {
			return
		}
		if errkind.Is(err, errkind.InvalidDeclarations) {
			log.Error("declarations are invalid and were not applied", "error", err)
			return
		}
		log.Debug("declarations not applied yet; retrying", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(applyInterval):
		}
	}
}

func applyOnce(ctx context.Context, dialer *rpc.Dialer, address string, declared *config.Set, changeID string) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	client := controlpb.NewDRPCControlClient(dialer.Conn(ctx, address))
	inForce, err := client.Get(ctx, &controlpb.GetRequest{})
	if err != nil {
		return err
	}
	current, err := config.FromObjects(config.Revision{Epoch: inForce.Revision.GetEpoch(), Number: inForce.Revision.GetNumber()}, inForce.Objects)
	if err != nil {
		return err
	}
	upserts, deletes, err := config.Diff(current, declared)
	if err != nil || len(upserts)+len(deletes) == 0 {
		return err
	}
	_, err = client.Apply(ctx, &controlpb.ApplyRequest{
		ChangeId: changeID, Base: inForce.Revision, Upserts: upserts, Deletes: deletes, Comment: "standalone start", Action: "apply",
	})
	return err
}
