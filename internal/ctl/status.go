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

// pollInterval is how often apply --wait asks.
const pollInterval = 200 * time.Millisecond

// errNoQuorumView qualifies what a control process without a leader has shown.
var errNoQuorumView = errkind.New(errkind.NoQuorum, "the control group has no leader; what is shown is the view of one control process and may be old")

// inForceIn says which known nodes have a revision in force.
type inForceIn struct {
	InForce []string `json:"inForce"`
	Missing []string `json:"missing"`
	// Waited is how long it took, in milliseconds.
	Waited int64 `json:"waitedMs"`
}

func (n *inForceIn) print(w io.Writer) {
	fmt.Fprintf(w, "in force at %d nodes after %d ms\n", len(n.InForce), n.Waited)
	if len(n.Missing) > 0 {
		fmt.Fprintf(w, "not in force at: %s\n", strings.Join(n.Missing, ", "))
	}
}

func (a *app) statusResponse() (*controlpb.StatusResponse, error) {
	var res *controlpb.StatusResponse
	err := a.client.call(a.ctx, func(ctx context.Context, c controlpb.DRPCControlClient) (err error) {
		res, err = c.Status(ctx, &controlpb.StatusRequest{})
		return err
	})
	return res, err
}

// inForce asks once which nodes have at least the revision in force: those that
// the leader knows, and the expected ones, which it may not have heard yet.
func (a *app) inForce(rev config.Revision, expected map[string]bool) (*inForceIn, error) {
	res, err := a.statusResponse()
	if err != nil {
		return nil, err
	}
	if !res.Quorum {
		return nil, errNoQuorumView
	}
	has := map[string]bool{}
	for name := range expected {
		has[name] = false
	}
	for _, n := range res.Nodes {
		has[n.Name] = !config.FromPB(n.InForce).Less(rev)
	}
	out := &inForceIn{InForce: []string{}, Missing: []string{}}
	for name, ok := range has {
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
// the leader knows now and the declared candidates for the grantor's duty. A new
// leader hears the nodes only with their next heartbeats.
func (a *app) expectedNodes(set *config.Set) (map[string]bool, error) {
	expected := map[string]bool{}
	for _, d := range set.DataCentres {
		for _, v := range d.LeaseVoters {
			expected[v.Name] = true
		}
	}
	res, err := a.statusResponse()
	if err != nil {
		return nil, err
	}
	for _, n := range res.Nodes {
		expected[n.Name] = true
	}
	return expected, nil
}

// awaitInForce waits until every expected and every known node has the revision
// in force. An error of kind not-in-force names those that have not.
func (a *app) awaitInForce(rev config.Revision, expected map[string]bool) (*inForceIn, error) {
	start := time.Now()
	var last *inForceIn
	for {
		n, err := a.inForce(rev, expected)
		waited := time.Since(start)
		if err == nil {
			n.Waited = waited.Milliseconds()
			last = n
			if len(n.Missing) == 0 {
				return n, nil
			}
		}
		if waited >= a.waitFor || a.ctx.Err() != nil {
			return last, lateError(rev, last, err, waited)
		}
		time.Sleep(pollInterval)
	}
}

func lateError(rev config.Revision, last *inForceIn, err error, waited time.Duration) error {
	if last == nil {
		return errkind.Wrap(err, errkind.NotInForce, "revision %s was accepted, but no control process said where it is in force", revisionText(rev))
	}
	return errkind.New(errkind.NotInForce, "revision %s was accepted; after %s it is not in force at %s",
		revisionText(rev), waited.Round(time.Millisecond), strings.Join(last.Missing, ", "))
}

func (a *app) status() error {
	res, err := a.statusResponse()
	if err != nil {
		return err
	}
	a.show(statusView(res), func(w io.Writer) { printStatus(w, res) })
	if !res.Quorum {
		return errNoQuorumView
	}
	return nil
}

func printStatus(w io.Writer, res *controlpb.StatusResponse) {
	newest := config.FromPB(res.Revision)
	fmt.Fprintf(w, "revision %s, leader %s, term %d, commit index %d, claims %d\n\n",
		revisionText(newest), orElse(res.Leader, "none"), res.Term, res.CommitIndex, res.Claims)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "VOTER\tADDRESS\tLEADER\tMATCH\tSILENT")
	for _, v := range res.Voters {
		fmt.Fprintf(t, "%s\t%s\t%v\t%d\t%s\n", v.Id, v.Address, v.Leader, v.MatchIndex, since(v.SilentMs))
	}
	fmt.Fprintln(t, "\nNODE\tROLE\tDATA CENTRE\tIN FORCE\tREADY\tISOLATED\tSILENT\tADDRESS")
	for _, n := range res.Nodes {
		at := config.FromPB(n.InForce)
		mark := ""
		if at.Less(newest) {
			mark = " (behind)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s%s\t%v\t%v\t%s\t%s\n", n.Name, n.Role, n.DataCentre,
			revisionText(at), mark, n.Ready, n.Isolated, since(n.SilentMs), n.Address)
	}
	_ = t.Flush()
}
