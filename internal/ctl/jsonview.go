package ctl

import (
	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
)

// statusView is the JSON output of the status command.
type statusView struct {
	Revision    config.Revision `json:"revision"`
	Leader      string          `json:"leader"`
	Term        uint64          `json:"term"`
	CommitIndex uint64          `json:"commitIndex"`
	Claims      uint64          `json:"claims"`
	Voters      []voterView     `json:"voters"`
	Nodes       []nodeView      `json:"nodes"`
}

type voterView struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Leader     bool   `json:"leader"`
	MatchIndex uint64 `json:"matchIndex"`
	SilentMs   uint64 `json:"silentMs"`
}

type nodeView struct {
	Name        string          `json:"name"`
	Role        string          `json:"role"`
	DataCentre  string          `json:"dataCentre"`
	Incarnation string          `json:"incarnation"`
	InForce     config.Revision `json:"inForce"`
	SilentMs    uint64          `json:"silentMs"`
	Isolated    bool            `json:"isolated"`
	Ready       bool            `json:"ready"`
	Address     string          `json:"address"`
}

func newStatusView(res *controlpb.StatusResponse) statusView {
	v := statusView{
		Revision: config.RevisionFromProto(res.Revision), Leader: res.Leader, Term: res.Term,
		CommitIndex: res.CommitIndex, Claims: res.Claims, Voters: []voterView{}, Nodes: []nodeView{},
	}
	for _, o := range res.Voters {
		v.Voters = append(v.Voters, voterView{o.Id, o.Address, o.Leader, o.MatchIndex, o.SilentMs})
	}
	for _, n := range res.Nodes {
		v.Nodes = append(v.Nodes, nodeView{
			Name: n.Name, Role: n.Role, DataCentre: n.DataCentre, Incarnation: n.Incarnation,
			InForce: config.RevisionFromProto(n.InForce), SilentMs: n.SilentMs, Isolated: n.Isolated, Ready: n.Ready, Address: n.Address,
		})
	}
	return v
}

// auditView is the JSON output for one accepted change.
type auditView struct {
	Revision config.Revision `json:"revision"`
	Base     config.Revision `json:"base"`
	ChangeID string          `json:"changeId"`
	Actor    string          `json:"actor"`
	Action   string          `json:"action"`
	Comment  string          `json:"comment,omitempty"`
	Time     string          `json:"time"`
	Upserted []string        `json:"upserted,omitempty"`
	Deleted  []string        `json:"deleted,omitempty"`
}

func auditViews(entries []*controlpb.AuditEntry) []auditView {
	out := []auditView{}
	for _, e := range entries {
		out = append(out, auditView{
			Revision: config.RevisionFromProto(e.Revision), Base: config.RevisionFromProto(e.Base), ChangeID: e.ChangeId, Actor: e.Actor,
			Action: e.Action, Comment: e.Comment, Time: entryTime(e), Upserted: formatKeys(e.Upserted), Deleted: formatKeys(e.Deleted),
		})
	}
	return out
}

func formatKeys(keys []*controlpb.ObjectKey) []string {
	var out []string
	for _, k := range keys {
		out = append(out, k.Kind+"/"+k.Name)
	}
	return out
}
