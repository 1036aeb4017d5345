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

// newest returns the accepted configuration.
func (a *app) newest() (*config.Set, error) { return a.setAt("") }

// setAt returns the configuration at a revision given as text; empty means the newest.
func (a *app) setAt(at string) (*config.Set, error) {
	req := &controlpb.GetRequest{}
	if at != "" {
		rev, err := parseRevision(at)
		if err != nil {
			return nil, err
		}
		req.At = rev.PB()
	}
	var res *controlpb.GetResponse
	err := a.client.call(a.ctx, func(ctx context.Context, c controlpb.DRPCControlClient) (err error) {
		res, err = c.Get(ctx, req)
		return err
	})
	if err != nil {
		return nil, err
	}
	return config.FromObjects(config.FromPB(res.Revision), res.Objects)
}

// parseRevision reads EPOCH.NUMBER.
func parseRevision(s string) (config.Revision, error) {
	var r config.Revision
	if n, err := fmt.Sscanf(s, "%d.%d", &r.Epoch, &r.Number); n != 2 || err != nil || revisionText(r) != s {
		return r, errkind.New(errkind.Usage, "%q is no revision; give EPOCH.NUMBER, as kqctl history prints it", s)
	}
	return r, nil
}

func revisionText(r config.Revision) string { return fmt.Sprintf("%d.%d", r.Epoch, r.Number) }

// changeTo returns the request that turns base into next, or nil if they are equal.
func (a *app) changeTo(base, next *config.Set, action string) (*controlpb.ApplyRequest, error) {
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
		ChangeId: id, Base: base.Revision.PB(), Upserts: up, Deletes: del, Comment: a.comment, Action: action,
	}, nil
}

// accepted is the outcome of a change in kqctl's JSON output.
type accepted struct {
	ChangeID string          `json:"changeId,omitempty"`
	Revision config.Revision `json:"revision"`
	// Changed is false if there was nothing to change.
	Changed bool `json:"changed"`
	// Repeated is true if the change had been accepted before.
	Repeated bool       `json:"repeated,omitempty"`
	Nodes    *inForceIn `json:"nodes,omitempty"`
}

// submit sends the change from base, waits for it if asked to, and reports.
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
	res, err := a.send(req)
	if err != nil {
		return err
	}
	out := accepted{ChangeID: req.ChangeId, Revision: config.FromPB(res.Revision), Changed: true, Repeated: res.RepeatedChange}
	var late error
	if a.wait {
		out.Nodes, late = a.awaitInForce(out.Revision, expected)
	}
	a.show(out, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as revision %s", revisionText(out.Revision))
		if out.Repeated {
			fmt.Fprint(w, " (was accepted before)")
		}
		fmt.Fprintln(w)
		if out.Nodes != nil {
			out.Nodes.print(w)
		}
	})
	return late
}

// send sends the change until there is an answer. If an answer was lost and
// none came after it, the outcome is unknown and the change is kept.
func (a *app) send(req *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	var res *controlpb.ApplyResponse
	lost, err := a.client.callNoting(a.ctx, func(ctx context.Context, c controlpb.DRPCControlClient) (err error) {
		res, err = c.Apply(ctx, req)
		return err
	})
	if err == nil {
		return res, a.forgetPending(req.ChangeId)
	}
	if !lost || finalAnswer(err) {
		return nil, a.dropPending(req.ChangeId, err)
	}
	if kerr := a.keepPending(req); kerr != nil {
		return nil, errkind.Wrap(err, errkind.ChangeUnknown, "change %s may have been accepted, and it could not be kept (%v)", req.ChangeId, kerr)
	}
	return nil, errkind.Wrap(err, errkind.ChangeUnknown, "change %s may have been accepted; learn it by: kqctl resend %s", req.ChangeId, req.ChangeId)
}

// finalAnswer reports whether a refusal also holds for earlier attempts of the
// same change whose answers were lost. The control group looks for the change
// id first, so a conflict says that none of them was accepted, and none can be
// later: the revision that they were made from has passed. A fault of the
// declarations is the same for every attempt.
func finalAnswer(err error) bool {
	switch answerKind(err) {
	case errkind.RevisionConflict, errkind.ChangeConflict, errkind.InvalidDeclarations:
		return true
	}
	return false
}

// unchanged reports that there is nothing to do. If asked to, it waits until the
// revision that stands is in force.
func (a *app) unchanged(base *config.Set) error {
	out := accepted{Revision: base.Revision}
	var late error
	if a.wait {
		expected, err := a.expectedNodes(base)
		if err != nil {
			return err
		}
		out.Nodes, late = a.awaitInForce(base.Revision, expected)
	}
	a.show(out, func(w io.Writer) {
		fmt.Fprintf(w, "nothing to change; revision %s stands\n", revisionText(base.Revision))
		if out.Nodes != nil {
			out.Nodes.print(w)
		}
	})
	return late
}
