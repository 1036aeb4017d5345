package ctl

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/durable"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const pendingSuffix = ".change"

func (a *app) pendingPath(id string) string {
	return filepath.Join(a.stateDir, filepath.Base(id)+pendingSuffix)
}

// savePending writes a change whose outcome is unknown to a durable file. If it fails, the
// file is whole or missing.
func (a *app) savePending(req *controlpb.ApplyRequest) error {
	data, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(a.stateDir, 0o700); err != nil {
		return err
	}
	dir, name := filepath.Split(a.pendingPath(req.ChangeId))
	return durable.WriteFile(a.files, dir, name, func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	})
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

// pendingID returns the id of the pending change to act on: the one that was given, or else
// that of the only pending change.
func (a *app) pendingID() (string, error) {
	if a.target != "" {
		return a.target, nil
	}
	found, err := filepath.Glob(filepath.Join(a.stateDir, "*"+pendingSuffix))
	if err != nil || len(found) != 1 {
		return "", errkind.New(errkind.Usage, "found %d pending changes in %s; give the id of one", len(found), a.stateDir)
	}
	return strings.TrimSuffix(filepath.Base(found[0]), pendingSuffix), nil
}

func (a *app) loadPending(id string) (*controlpb.ApplyRequest, error) {
	data, err := os.ReadFile(a.pendingPath(id))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.NotFound, "no pending change %s", id)
	}
	req := &controlpb.ApplyRequest{}
	if err := proto.Unmarshal(data, req); err != nil || req.ChangeId != id {
		return nil, errkind.New(errkind.DamagedStorage, "the file %s is damaged; kqctl history tells whether the change was accepted, and kqctl resend --forget %s removes the file", a.pendingPath(id), id)
	}
	return req, nil
}

// resend sends a pending change again. With --forget, it removes the change
// instead.
func (a *app) resend() error {
	id, err := a.pendingID()
	if err != nil {
		return err
	}
	if a.forget {
		return a.removePending(id)
	}
	req, err := a.loadPending(id)
	if err != nil {
		return err
	}
	base := config.NewSet(config.RevisionFromProto(req.Base))
	if a.wait {
		if base, err = a.newestConfig(); err != nil {
			return err
		}
	}
	return a.submit(base, req)
}
