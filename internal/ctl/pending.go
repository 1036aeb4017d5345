package ctl

import (
	"os"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const pendingSuffix = ".change"

func (a *app) pendingPath(id string) string {
	return filepath.Join(a.stateDir, filepath.Base(id)+pendingSuffix)
}

// keepPending writes a change whose outcome is unknown to a file, synced.
func (a *app) keepPending(req *controlpb.ApplyRequest) error {
	data, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(a.stateDir, 0o700); err != nil {
		return err
	}
	f, err := os.OpenFile(a.pendingPath(req.ChangeId), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// forgetPending removes the kept change, if there is one.
func (a *app) forgetPending(id string) error {
	err := os.Remove(a.pendingPath(id))
	if err != nil && !os.IsNotExist(err) {
		return errkind.Wrap(err, errkind.Internal, "remove the kept change")
	}
	return nil
}

// dropPending removes the kept change and returns err.
func (a *app) dropPending(id string, err error) error {
	if ferr := a.forgetPending(id); ferr != nil {
		return ferr
	}
	return err
}

// loadPending returns the kept change of the id, or the only one if id is empty.
func (a *app) loadPending(id string) (*controlpb.ApplyRequest, error) {
	if id == "" {
		found, err := filepath.Glob(filepath.Join(a.stateDir, "*"+pendingSuffix))
		if err != nil || len(found) != 1 {
			return nil, errkind.New(errkind.Usage, "%d changes are kept in %s; name one by its id", len(found), a.stateDir)
		}
		id = strings.TrimSuffix(filepath.Base(found[0]), pendingSuffix)
	}
	data, err := os.ReadFile(a.pendingPath(id))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.NotFound, "no change %s is kept", id)
	}
	req := &controlpb.ApplyRequest{}
	if err := proto.Unmarshal(data, req); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "the kept change %s", id)
	}
	return req, nil
}

// resend sends a kept change again, or drops it.
func (a *app) resend() error {
	req, err := a.loadPending(a.target)
	if err != nil {
		return err
	}
	if a.forget {
		return a.forgetPending(req.ChangeId)
	}
	base := config.NewSet(config.FromPB(req.Base))
	if a.wait {
		if base, err = a.newest(); err != nil {
			return err
		}
	}
	return a.submit(base, req)
}
