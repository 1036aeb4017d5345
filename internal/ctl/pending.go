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

// savePending writes a change whose outcome is unknown to a file and syncs it.
func (a *app) savePending(req *controlpb.ApplyRequest) error {
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
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// removePending removes the file of a pending change, if there is one.
func (a *app) removePending(id string) error {
	err := os.Remove(a.pendingPath(id))
	if err != nil && !os.IsNotExist(err) {
		return errkind.Wrap(err, errkind.Internal, "remove the pending change")
	}
	return nil
}

// discardPending removes the file of a change that failed with err and was not
// accepted. It returns err, or the error of the removal.
func (a *app) discardPending(id string, err error) error {
	if removeErr := a.removePending(id); removeErr != nil {
		return removeErr
	}
	return err
}

// loadPending returns the pending change with the id, or the only pending change
// if id is empty.
func (a *app) loadPending(id string) (*controlpb.ApplyRequest, error) {
	if id == "" {
		found, err := filepath.Glob(filepath.Join(a.stateDir, "*"+pendingSuffix))
		if err != nil || len(found) != 1 {
			return nil, errkind.New(errkind.Usage, "found %d pending changes in %s; give the id of one", len(found), a.stateDir)
		}
		id = strings.TrimSuffix(filepath.Base(found[0]), pendingSuffix)
	}
	data, err := os.ReadFile(a.pendingPath(id))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.NotFound, "no pending change %s", id)
	}
	req := &controlpb.ApplyRequest{}
	if err := proto.Unmarshal(data, req); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "decode the pending change %s", id)
	}
	return req, nil
}

// resend sends a pending change again. With --forget, it removes the change
// instead.
func (a *app) resend() error {
	req, err := a.loadPending(a.target)
	if err != nil {
		return err
	}
	if a.forget {
		return a.removePending(req.ChangeId)
	}
	base := config.NewSet(config.RevisionFromProto(req.Base))
	if a.wait {
		if base, err = a.newestConfig(); err != nil {
			return err
		}
	}
	return a.submit(base, req)
}
