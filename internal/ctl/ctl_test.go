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

const testDeclarations = `kind: DataCentre
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
	h := newHarness(t)
	dir := h.writeDeclarations(testDeclarations)
	h.expectExit(errkind.ExitOK, "apply", dir, "-m", "first")
	if out, _ := h.expectExit(errkind.ExitOK, "apply", dir); !strings.Contains(out, "nothing to change") {
		t.Errorf("the second apply printed %q", out)
	}
	if out, _ := h.expectExit(errkind.ExitOK, "get", "policy/standard"); !strings.Contains(out, "kind: Policy\nname: standard\n") {
		t.Errorf("get printed %q", out)
	}
	h.expectExit(errkind.ExitOK, "drain", "dc/tt-north-a")
	if h.newestConfig().DataCentres["tt-north-a"].State != config.StateOut {
		t.Error("drain did not take the data centre out")
	}
	h.expectExit(errkind.ExitOK, "undo")
	if h.newestConfig().DataCentres["tt-north-a"].State == config.StateOut {
		t.Error("undo did not reactivate the data centre")
	}
	if got := h.newestConfig().Revision.Number; got != 4 {
		t.Errorf("revision number %d after undo, want 4, a new one", got)
	}
	out, _ := h.expectExit(errkind.ExitOK, "history", "--json")
	var entries []auditView
	if err := json.Unmarshal([]byte(out), &entries); err != nil || len(entries) != 3 || entries[0].Action != "undo" {
		t.Errorf("history: error %v, entries %+v", err, entries)
	}
	if out, _ := h.expectExit(errkind.ExitOK, "diff", "1.2", "1.3"); !strings.Contains(out, `state: (default) -> "out"`) {
		t.Errorf("diff printed %q", out)
	}
}

func TestExportedDeclarationsAreTheAcceptedOnes(t *testing.T) {
	h := newHarness(t)
	h.expectExit(errkind.ExitOK, "apply", h.writeDeclarations(testDeclarations))
	out := filepath.Join(h.dir, "exported")
	h.expectExit(errkind.ExitOK, "export", out)
	if text, _ := h.expectExit(errkind.ExitOK, "plan", out); text != "no changes\n" {
		t.Errorf("plan of the exported declarations printed %q", text)
	}
}

func TestUndoOfAnOverwrittenChangeIsAConflict(t *testing.T) {
	h := newHarness(t)
	h.expectExit(errkind.ExitOK, "apply", h.writeDeclarations(testDeclarations))
	h.expectExit(errkind.ExitOK, "drain", "dc/tt-north-a")
	h.expectExit(errkind.ExitOK, "undrain", "dc/tt-north-a")
	h.expectExit(errkind.ExitConflict, "undo", "1.3")
}

func TestApplyOutcomes(t *testing.T) {
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
			h := newHarness(t)
			if tc.exit == errkind.ExitUnknown || tc.exit == errkind.ExitUnreachable {
				h.shortenTimeout()
			}
			h.fakeControl.before, h.fakeControl.after = tc.before, tc.after
			h.expectExit(tc.exit, "apply", h.writeDeclarations(testDeclarations), "--change-id", "one")
			if got := len(h.sets) == 2; got != tc.accepted {
				t.Errorf("accepted %v, want %v", got, tc.accepted)
			}
			pending, _ := filepath.Glob(filepath.Join(h.dir, "state", "*"))
			if (len(pending) == 1) != (tc.exit == errkind.ExitUnknown) {
				t.Errorf("pending changes: %v", pending)
			}
		})
	}
}

func TestResendLearnsTheOutcomeAndRunsNothingTwice(t *testing.T) {
	t.Parallel()
	h := newHarness(t).shortenTimeout()
	h.fakeControl.after = func(int) error { return lostConn{} }
	h.expectExit(errkind.ExitUnknown, "apply", h.writeDeclarations(testDeclarations))
	h.fakeControl.after = nil
	out, _ := h.expectExit(errkind.ExitOK, "resend")
	if !strings.Contains(out, "accepted as revision 1.2 (was accepted before)") || len(h.sets) != 2 {
		t.Errorf("resend printed %q, %d sets", out, len(h.sets))
	}
	h.expectExit(errkind.ExitUsage, "resend")
}

func TestWaitNamesNodesWithoutTheRevision(t *testing.T) {
	h := newHarness(t)
	h.nodes = []*controlpb.NodeStatus{
		{Name: "r1", InForce: &controlpb.Revision{Epoch: 1, Number: 2}},
		{Name: "r2", InForce: &controlpb.Revision{Epoch: 1, Number: 1}},
	}
	h.expectExit(errkind.ExitOK, "status")
	out, errs := h.expectExit(errkind.ExitNotInForce, "apply", h.writeDeclarations(testDeclarations), "--wait", "--wait-for", "10ms")
	if !strings.Contains(out, "accepted as revision 1.2") || !strings.Contains(errs, "not in force at r2") {
		t.Errorf("printed %q and %q", out, errs)
	}
}

func TestWaitFailsBeforeLeaderHasHeartbeats(t *testing.T) {
	h := newHarness(t)
	h.expectExit(errkind.ExitOK, "apply", h.writeDeclarations(testDeclarations))
	_, errs := h.expectExit(errkind.ExitNotInForce, "drain", "dc/tt-north-a", "--wait", "--wait-for", "10ms")
	if !strings.Contains(errs, "not in force at r1") {
		t.Errorf("printed %q", errs)
	}
	h.expectExit(errkind.ExitNotInForce, "drain", "dc/tt-north-a", "--wait", "--wait-for", "10ms")
	if len(h.sets) != 3 {
		t.Error("drain of a drained data centre created a new revision")
	}
	h.noQuorum = true
	_, errs = h.expectExit(errkind.ExitNotInForce, "undrain", "dc/tt-north-a", "--wait", "--wait-for", "10ms")
	if !strings.Contains(errs, "was accepted, but no control process said where it is in force") {
		t.Errorf("printed %q", errs)
	}
	h.expectExit(errkind.ExitUnreachable, "status")
}

func TestFaultsAreAllPrintedWithTheirPlaces(t *testing.T) {
	h := newHarness(t)
	dir := h.writeDeclarations(testDeclarations + "---\nkind: Workspace\nname: Big\npolicy: none\nweihgt: 3\n")
	_, errs := h.expectExit(errkind.ExitInvalid, "validate", dir)
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
	h := newHarness(t)
	for _, args := range [][]string{{"drain", "zone/x"}, {"diff", "latest"}, {"get", "--at", "1"}, {"keys", "issue", h.dir}} {
		h.expectExit(errkind.ExitUsage, args...)
	}
	h.expectExit(errkind.ExitFailed, "get", "policy/none")
	h.expectExit(errkind.ExitFailed, "drain", "server/unknown")
}

func TestUnreachableControl(t *testing.T) {
	t.Parallel()
	h := newHarness(t).shortenTimeout()
	h.flags[1] = "127.0.0.1:1"
	h.expectExit(errkind.ExitUnreachable, "apply", h.writeDeclarations(testDeclarations))
	if pending, _ := os.ReadDir(filepath.Join(h.dir, "state")); len(pending) > 0 {
		t.Error("a change that was never sent was saved as pending")
	}
}
