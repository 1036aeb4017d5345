package ctl

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// pollInterval is the interval between status calls of apply --wait.
const pollInterval = 200 * time.Millisecond

// errNoQuorum is the error for a status from a control process that has no leader.
var errNoQuorum = errkind.New(errkind.NoQuorum, "the control group has no leader; the status is that of one control process and may be stale")

// inForceReport lists the nodes that have a revision in force and those that do
// not.
type inForceReport struct {
	InForce []string `json:"inForce"`
	Missing []string `json:"missing"`
	// WaitedMs is the time spent waiting, in milliseconds.
	WaitedMs int64 `json:"waitedMs"`
}

func (n *inForceReport) print(w io.Writer) {
	fmt.Fprintf(w, "in force at %d nodes after %d ms\n", len(n.InForce), n.WaitedMs)
	if len(n.Missing) > 0 {
		fmt.Fprintf(w, "not in force at: %s\n", strings.Join(n.Missing, ", "))
	}
}

func (a *app) fetchStatus() (*controlpb.StatusResponse, error) {
	var res *controlpb.StatusResponse
	err := a.client.call(a.ctx, func(ctx context.Context, c controlpb.DRPCControlClient) (err error) {
		res, err = c.Status(ctx, &controlpb.StatusRequest{})
		return err
	})
	return res, err
}

// checkInForce reports which nodes have at least the revision in force, without
// waiting. It covers the nodes that the leader knows and the expected nodes, whose
// heartbeats may not have reached the leader yet.
func (a *app) checkInForce(rev config.Revision, expected map[string]bool) (*inForceReport, error) {
	res, err := a.fetchStatus()
	if err != nil {
		return nil, err
	}
	if !res.Quorum {
		return nil, errNoQuorum
	}
	inForce := map[string]bool{}
	for name := range expected {
		inForce[name] = false
	}
	for _, n := range res.Nodes {
		inForce[n.Name] = !config.RevisionFromProto(n.InForce).Less(rev)
	}
	out := &inForceReport{InForce: []string{}, Missing: []string{}}
	for name, ok := range inForce {
		if ok {
			out.InForce = append(out.InForce, name)
		} else {
			out.Missing = append(out.Missing, name)
		}
	}
	sort.Strings(out.InForce)
	sort.Strings(out.Missing)
	return out, nil
}

// expectedNodes returns the nodes that must have a change in force: those that
// the leader knows now and the declared lease voters. The lease voters are
// included because a new leader learns of the nodes only by their next heartbeats.
func (a *app) expectedNodes(set *config.Set) (map[string]bool, error) {
	expected := map[string]bool{}
	for _, d := range set.DataCentres {
		for _, v := range d.LeaseVoters {
			expected[v.Name] = true
		}
	}
	res, err := a.fetchStatus()
	if err != nil {
		return nil, err
	}
	for _, n := range res.Nodes {
		expected[n.Name] = true
	}
	return expected, nil
}

// awaitInForce waits until every expected and every known node has the revision
// in force. On a timeout it returns an error of kind not-in-force, which names
// the nodes that do not have it.
func (a *app) awaitInForce(rev config.Revision, expected map[string]bool) (*inForceReport, error) {
	start := time.Now()
	var last *inForceReport
	for {
		n, err := a.checkInForce(rev, expected)
		waited := time.Since(start)
		if err == nil {
			n.WaitedMs = waited.Milliseconds()
			last = n
			if len(n.Missing) == 0 {
				return n, nil
			}
		}
		if waited >= a.waitFor || a.ctx.Err() != nil {
			return last, notInForceError(rev, last, err, waited)
		}
		time.Sleep(pollInterval)
	}
}

func notInForceError(rev config.Revision, last *inForceReport, err error, waited time.Duration) error {
	if last == nil {
		return errkind.Wrap(err, errkind.NotInForce, "revision %s was accepted, but no control process said where it is in force", formatRevision(rev))
	}
	return errkind.New(errkind.NotInForce, "revision %s was accepted; after %s it is not in force at %s",
		formatRevision(rev), waited.Round(time.Millisecond), strings.Join(last.Missing, ", "))
}

func (a *app) status() error {
	res, err := a.fetchStatus()
	if err != nil {
		return err
	}
	a.printResult(newStatusView(res), func(w io.Writer) { printStatus(w, res) })
	if !res.Quorum {
		return errNoQuorum
	}
	return nil
}

func printStatus(w io.Writer, res *controlpb.StatusResponse) {
	newest := config.RevisionFromProto(res.Revision)
	fmt.Fprintf(w, "revision %s, leader %s, term %d, commit index %d, claims %d\n\n",
		formatRevision(newest), orElse(res.Leader, "none"), res.Term, res.CommitIndex, res.Claims)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "VOTER\tADDRESS\tLEADER\tMATCH\tSILENT")
	for _, v := range res.Voters {
		fmt.Fprintf(t, "%s\t%s\t%v\t%d\t%s\n", v.Id, v.Address, v.Leader, v.MatchIndex, formatMillis(v.SilentMs))
	}
	fmt.Fprintln(t, "\nNODE\tROLE\tDATA CENTRE\tIN FORCE\tREADY\tISOLATED\tSILENT\tADDRESS")
	for _, n := range res.Nodes {
		at := config.RevisionFromProto(n.InForce)
		suffix := ""
		if at.Less(newest) {
			suffix = " (behind)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s%s\t%v\t%v\t%s\t%s\n", n.Name, n.Role, n.DataCentre,
			formatRevision(at), suffix, n.Ready, n.Isolated, formatMillis(n.SilentMs), n.Address)
	}
	_ = t.Flush()
}
