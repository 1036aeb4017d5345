package replication

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// formPoll is how often a blank process asks the others.
const formPoll = 200 * time.Millisecond

// declaredLine writes the declared voters in one line, for comparison.
func declaredLine(vs []*pb.Voter) string {
	var parts []string
	for _, v := range vs {
		parts = append(parts, v.Id+"="+v.Address)
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

// Form turns blank processes into a group, and returns at once on a disk that
// holds a log. The group is formed only if every declared voter is reached, and
// none of them holds more than the same formation: a wiped disk among others
// that hold a log can never found a second group. Otherwise it waits until the
// group takes this process in, or ctx ends. It runs beside Run.
func (g *Group) Form(ctx context.Context) error {
	told := ""
	for {
		if g.Status().LastIndex > 0 {
			return nil
		}
		set, obstacle := g.askDeclared(ctx)
		if set != nil {
			return g.found(ctx, set)
		}
		if obstacle != told {
			g.opt.Log.Info("waiting to belong to a control group", "because", obstacle)
			told = obstacle
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(formPoll):
		}
	}
}

// askDeclared returns the set to found a group with, or why that cannot be.
func (g *Group) askDeclared(ctx context.Context) (*pb.VoterSet, string) {
	set := &pb.VoterSet{}
	mine := declaredLine(g.opt.Declared)
	var formed []*pb.VoterSet
	for _, v := range g.opt.Declared {
		who := g.identity()
		if v.Id != g.opt.Config.ID {
			var err error
			if who, err = g.identify(ctx, v.Address); err != nil {
				return nil, "voter " + v.Id + " does not answer"
			}
		}
		switch {
		case who.Id != v.Id:
			return nil, "the process at " + v.Address + " is " + who.Id + ", not " + v.Id
		case who.Declared != mine:
			return nil, "the settings of " + v.Id + " list other voters: " + who.Declared
		case who.LastIndex > 1:
			return nil, "a group exists already; add this voter to it if it is new"
		case who.Voters != nil:
			formed = append(formed, who.Voters)
		}
		set.Voters = append(set.Voters, &pb.Voter{Id: v.Id, Address: v.Address, Disk: who.Disk})
	}
	slices.SortFunc(set.Voters, func(a, b *pb.Voter) int { return strings.Compare(a.Id, b.Id) })
	for _, f := range formed {
		if !proto.Equal(f, set) {
			return nil, "a group was formed without this disk; add this voter to it"
		}
	}
	if findVoter(set.Voters, g.opt.Config.ID) == nil {
		return nil, "the settings do not list this process as a voter"
	}
	return set, ""
}

func (g *Group) identify(ctx context.Context, address string) (*pb.IdentifyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn := g.opt.Dialer.Conn(ctx, address)
	defer conn.Close()
	return pb.NewDRPCPeerClient(conn).Identify(ctx, &pb.IdentifyRequest{})
}

// found writes the group's first entry, the same on every founder.
func (g *Group) found(ctx context.Context, set *pb.VoterSet) error {
	done := make(chan error, 1)
	err := g.post(ctx, func() { done <- g.core.Found(set) })
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// FoundingEntry is the first entry of a group's log.
func FoundingEntry(set *pb.VoterSet) (*pb.Entry, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(set)
	return &pb.Entry{Term: 1, Index: 1, Type: pb.EntryType_VOTERS, Data: data}, err
}

// Found makes a blank core a founding voter. It does nothing on any other.
func (c *Core) Found(set *pb.VoterSet) error {
	if c.log.last() > 0 || c.term > 0 {
		return nil
	}
	e, err := FoundingEntry(set)
	if err != nil {
		return err
	}
	c.term = e.Term
	c.log.append([]*pb.Entry{e})
	c.advanceCommit(e.Index)
	return nil
}
