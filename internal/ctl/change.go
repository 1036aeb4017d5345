package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/google/uuid"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// newestConfig returns the newest accepted configuration.
func (a *app) newestConfig() (*config.Set, error) { return a.configAt("") }

// configAt returns the configuration at the revision EPOCH.NUMBER; empty means the
// newest.
func (a *app) configAt(at string) (*config.Set, error) {
	req := &controlpb.GetRequest{}
	if at != "" {
		rev, err := parseRevision(at)
		if err != nil {
			return nil, err
		}
		req.At = rev.ToProto()
	}
	var res *controlpb.GetResponse
	err := a.client.call(a.ctx, func(ctx context.Context, c controlpb.DRPCControlClient) (err error) {
		res, err = c.Get(ctx, req)
		return err
	})
	if err != nil {
		return nil, err
	}
	return config.FromObjects(config.RevisionFromProto(res.Revision), res.Objects)
}

// parseRevision parses EPOCH.NUMBER.
func parseRevision(s string) (config.Revision, error) {
	var r config.Revision
	if n, err := fmt.Sscanf(s, "%d.%d", &r.Epoch, &r.Number); n != 2 || err != nil || formatRevision(r) != s {
		return r, errkind.New(errkind.Usage, "invalid revision %q; use EPOCH.NUMBER, as printed by kqctl history", s)
	}
	return r, nil
}

func formatRevision(r config.Revision) string { return fmt.Sprintf("%d.%d", r.Epoch, r.Number) }

// changeRequest returns the request that changes base to next, or nil if they are
// equal.
func (a *app) changeRequest(base, next *config.Set, action string) (*controlpb.ApplyRequest, error) {
	up, del, err := config.Diff(base, next)
	if err != nil {
		return nil, err
	}
	if len(up)+len(del) == 0 {
		return nil, nil
	}
	if err := next.Check(); err != nil {
		return nil, err
	}
	if err := config.CheckChange(base, next); err != nil {
		return nil, err
	}
	id := a.changeID
	if id == "" {
		id = uuid.NewString()
	}
	return &controlpb.ApplyRequest{
		ChangeId: id, Base: base.Revision.ToProto(), Upserts: up, Deletes: del, Comment: a.comment, Action: action,
	}, nil
}

// changeResult is the JSON output for a change.
type changeResult struct {
	ChangeID string          `json:"changeId,omitempty"`
	Revision config.Revision `json:"revision"`
	// Changed is false if the configuration already had the requested content.
	Changed bool `json:"changed"`
	// Repeated is true if an earlier attempt of the same change was accepted.
	Repeated bool           `json:"repeated,omitempty"`
	Nodes    *inForceReport `json:"nodes,omitempty"`
}

// submit sends a change of base and prints the result. With --wait, it first
// waits until the change is in force.
func (a *app) submit(base *config.Set, req *controlpb.ApplyRequest) error {
	if !a.json {
		fmt.Fprintf(a.stderr, "change id %s\n", req.ChangeId)
	}
	var expected map[string]bool
	if a.wait {
		var err error
		if expected, err = a.expectedNodes(base); err != nil {
			return err
		}
	}
	res, err := a.sendChange(req)
	if err != nil {
		return err
	}
	out := changeResult{ChangeID: req.ChangeId, Revision: config.RevisionFromProto(res.Revision), Changed: true, Repeated: res.RepeatedChange}
	var waitErr error
	if a.wait {
		out.Nodes, waitErr = a.awaitInForce(out.Revision, expected)
	}
	a.printResult(out, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as revision %s", formatRevision(out.Revision))
		if out.Repeated {
			fmt.Fprint(w, " (was accepted before)")
		}
		fmt.Fprintln(w)
		if out.Nodes != nil {
			out.Nodes.print(w)
		}
	})
	return waitErr
}

// sendChange sends a change, with retries until a control process responds. If the
// response to an attempt was lost and no later response settles the outcome, the
// outcome is unknown and the change is saved as pending.
func (a *app) sendChange(req *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	var res *controlpb.ApplyResponse
	lost, err := a.client.callTrackingLoss(a.ctx, func(ctx context.Context, c controlpb.DRPCControlClient) (err error) {
		res, err = c.Apply(ctx, req)
		return err
	})
	if err == nil {
		return res, a.removePending(req.ChangeId)
	}
	if !lost || isFinalRefusal(err) {
		return nil, a.discardPending(req.ChangeId, err)
	}
	if saveErr := a.savePending(req); saveErr != nil {
		return nil, errkind.Wrap(err, errkind.ChangeUnknown, "change %s may have been accepted, and it could not be saved for kqctl resend (%v)", req.ChangeId, saveErr)
	}
	return nil, errkind.Wrap(err, errkind.ChangeUnknown, "change %s may have been accepted; to find out, run: kqctl resend %s", req.ChangeId, req.ChangeId)
}

// isFinalRefusal reports whether a refusal also applies to earlier attempts of the
// same change whose responses were lost. The control group checks the change id
// first, so a conflict means that no earlier attempt was accepted. None can be
// accepted later either, since their base is no longer the newest revision.
// Invalid declarations are refused in every attempt.
func isFinalRefusal(err error) bool {
	switch responseKind(err) {
	case errkind.RevisionConflict, errkind.ChangeConflict, errkind.InvalidDeclarations:
		return true
	}
	return false
}

// reportUnchanged prints that there is nothing to change. With --wait, it first
// waits until the current revision is in force.
func (a *app) reportUnchanged(base *config.Set) error {
	out := changeResult{Revision: base.Revision}
	var waitErr error
	if a.wait {
		expected, err := a.expectedNodes(base)
		if err != nil {
			return err
		}
		out.Nodes, waitErr = a.awaitInForce(base.Revision, expected)
	}
	a.printResult(out, func(w io.Writer) {
		fmt.Fprintf(w, "nothing to change; revision %s stands\n", formatRevision(base.Revision))
		if out.Nodes != nil {
			out.Nodes.print(w)
		}
	})
	return waitErr
}
