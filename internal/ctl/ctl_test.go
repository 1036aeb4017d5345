package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const declared = `kind: DataCentre
name: tt-north-a
region: tt-north
leaseVoters:
  - {name: r1, address: "127.0.0.1:7301", candidate: true}
---
kind: Policy
name: standard
---
kind: Service
name: writer
type: model
models: [m]
policy: standard
routes: [{path: /v1/chat/completions}]
`

func TestApplyGetUndoAndHistory(t *testing.T) {
	b := newBench(t)
	dir := b.declare(declared)
	b.want(errkind.ExitOK, "apply", dir, "-m", "first")
	if out, _ := b.want(errkind.ExitOK, "apply", dir); !strings.Contains(out, "nothing to change") {
		t.Errorf("a second apply said %q", out)
	}
	if out, _ := b.want(errkind.ExitOK, "get", "policy/standard"); !strings.Contains(out, "kind: Policy\nname: standard\n") {
		t.Errorf("get printed %q", out)
	}
	b.want(errkind.ExitOK, "drain", "dc/tt-north-a")
	if b.newest().DataCentres["tt-north-a"].State != config.Out {
		t.Error("drain did not take the data centre out")
	}
	b.want(errkind.ExitOK, "undo")
	if b.newest().DataCentres["tt-north-a"].State == config.Out {
		t.Error("undo did not bring the data centre back")
	}
	if got := b.newest().Revision.Number; got != 4 {
		t.Errorf("undo left revision %d, want a new one, 4", got)
	}
	out, _ := b.want(errkind.ExitOK, "history", "--json")
	var entries []auditView
	if err := json.Unmarshal([]byte(out), &entries); err != nil || len(entries) != 3 || entries[0].Action != "undo" {
		t.Errorf("history gave %v %+v", err, entries)
	}
	if out, _ := b.want(errkind.ExitOK, "diff", "1.2", "1.3"); !strings.Contains(out, `state: (default) -> "out"`) {
		t.Errorf("diff printed %q", out)
	}
}

func TestExportedDeclarationsAreTheAcceptedOnes(t *testing.T) {
	b := newBench(t)
	b.want(errkind.ExitOK, "apply", b.declare(declared))
	out := filepath.Join(b.dir, "exported")
	b.want(errkind.ExitOK, "export", out)
	if text, _ := b.want(errkind.ExitOK, "plan", out); text != "no changes\n" {
		t.Errorf("plan of the exported declarations printed %q", text)
	}
}

func TestUndoOfAChangeThatWasTouchedAgainIsAConflict(t *testing.T) {
	b := newBench(t)
	b.want(errkind.ExitOK, "apply", b.declare(declared))
	b.want(errkind.ExitOK, "drain", "dc/tt-north-a")
	b.want(errkind.ExitOK, "undrain", "dc/tt-north-a")
	b.want(errkind.ExitConflict, "undo", "1.3")
}

func TestThreeWaysNotToBeAccepted(t *testing.T) {
	for _, tc := range []struct {
		name          string
		before, after func(int) error
		exit          int
		accepted      bool
	}{
		{"conflict", func(int) error { return errkind.New(errkind.RevisionConflict, "x") }, nil, errkind.ExitConflict, false},
		{"no quorum", func(int) error { return errkind.New(errkind.NoQuorum, "x") }, nil, errkind.ExitUnreachable, false},
		{"lost after acceptance", nil, func(int) error { return lostConn{} }, errkind.ExitUnknown, true},
		{"lost, then no quorum", func(n int) error {
			if n == 1 {
				return lostConn{}
			}
			return errkind.New(errkind.NoQuorum, "x")
		}, nil, errkind.ExitUnknown, false},
		{"lost, then a conflict", func(n int) error {
			if n == 1 {
				return lostConn{}
			}
			return errkind.New(errkind.RevisionConflict, "x")
		}, nil, errkind.ExitConflict, false},
		{"lost once, then known", nil, func(n int) error {
			if n == 1 {
				return lostConn{}
			}
			return nil
		}, errkind.ExitOK, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			if tc.exit == errkind.ExitUnknown || tc.exit == errkind.ExitUnreachable {
				b.exhaust()
			}
			b.fakeControl.before, b.fakeControl.after = tc.before, tc.after
			b.want(tc.exit, "apply", b.declare(declared), "--change-id", "one")
			if got := len(b.sets) == 2; got != tc.accepted {
				t.Errorf("accepted %v, want %v", got, tc.accepted)
			}
			kept, _ := filepath.Glob(filepath.Join(b.dir, "state", "*"))
			if (len(kept) == 1) != (tc.exit == errkind.ExitUnknown) {
				t.Errorf("kept changes: %v", kept)
			}
		})
	}
}

func TestResendLearnsTheOutcomeAndRunsNothingTwice(t *testing.T) {
	t.Parallel()
	b := newBench(t).exhaust()
	b.fakeControl.after = func(int) error { return lostConn{} }
	b.want(errkind.ExitUnknown, "apply", b.declare(declared))
	b.fakeControl.after = nil
	out, _ := b.want(errkind.ExitOK, "resend")
	if !strings.Contains(out, "accepted as revision 1.2 (was accepted before)") || len(b.sets) != 2 {
		t.Errorf("resend printed %q, %d sets", out, len(b.sets))
	}
	b.want(errkind.ExitUsage, "resend")
}

func TestWaitNamesTheNodesThatDoNotHaveIt(t *testing.T) {
	b := newBench(t)
	b.nodes = []*controlpb.NodeStatus{
		{Name: "r1", InForce: &controlpb.Revision{Epoch: 1, Number: 2}},
		{Name: "r2", InForce: &controlpb.Revision{Epoch: 1, Number: 1}},
	}
	b.want(errkind.ExitOK, "status")
	out, errs := b.want(errkind.ExitNotInForce, "apply", b.declare(declared), "--wait", "--wait-for", "10ms")
	if !strings.Contains(out, "accepted as revision 1.2") || !strings.Contains(errs, "not in force at r2") {
		t.Errorf("printed %q and %q", out, errs)
	}
}

func TestWaitDoesNotTakeALeaderThatHasHeardNobodyForSuccess(t *testing.T) {
	b := newBench(t)
	b.want(errkind.ExitOK, "apply", b.declare(declared))
	_, errs := b.want(errkind.ExitNotInForce, "drain", "dc/tt-north-a", "--wait", "--wait-for", "10ms")
	if !strings.Contains(errs, "not in force at r1") {
		t.Errorf("printed %q", errs)
	}
	b.want(errkind.ExitNotInForce, "drain", "dc/tt-north-a", "--wait", "--wait-for", "10ms")
	if len(b.sets) != 3 {
		t.Error("a drain of what is out made a new revision")
	}
	b.cutOff = true
	_, errs = b.want(errkind.ExitNotInForce, "undrain", "dc/tt-north-a", "--wait", "--wait-for", "10ms")
	if !strings.Contains(errs, "was accepted, but no control process said where it is in force") {
		t.Errorf("printed %q", errs)
	}
	b.want(errkind.ExitUnreachable, "status")
}

func TestFaultsAreAllPrintedWithTheirPlaces(t *testing.T) {
	b := newBench(t)
	dir := b.declare(declared + "---\nkind: Workspace\nname: Big\npolicy: none\nweihgt: 3\n")
	_, errs := b.want(errkind.ExitInvalid, "validate", dir)
	for _, want := range []string{
		`a.yaml:18: Workspace/Big: name: "Big" is no name`,
		`a.yaml:19: Workspace/Big: policy: there is no Policy "none"`,
		`a.yaml:20: Workspace/Big: weihgt: unknown field; did you mean "weight"?`,
	} {
		if !strings.Contains(errs, want) {
			t.Errorf("%q is not in %q", want, errs)
		}
	}
}

func TestUsageErrors(t *testing.T) {
	b := newBench(t)
	for _, args := range [][]string{{"drain", "zone/x"}, {"diff", "latest"}, {"get", "--at", "1"}, {"keys", "issue", b.dir}} {
		b.want(errkind.ExitUsage, args...)
	}
	b.want(errkind.ExitFailed, "get", "policy/none")
	b.want(errkind.ExitFailed, "drain", "server/unknown")
}

func TestUnreachableControl(t *testing.T) {
	t.Parallel()
	b := newBench(t).exhaust()
	b.flags[1] = "127.0.0.1:1"
	b.want(errkind.ExitUnreachable, "apply", b.declare(declared))
	if kept, _ := os.ReadDir(filepath.Join(b.dir, "state")); len(kept) > 0 {
		t.Error("a change that was never sent is kept as unknown")
	}
}
