package replication

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// bootstrapPollInterval is how often a blank process asks the declared voters to
// identify themselves.
const bootstrapPollInterval = 200 * time.Millisecond

// formatVoters renders the declared voters as one line that does not depend on
// their order, for comparison between processes.
func formatVoters(vs []*pb.Voter) string {
	var parts []string
	for _, v := range vs {
		parts = append(parts, v.Id+"="+v.Address)
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

// Bootstrap creates a group of blank processes. It returns at once if this disk
// already holds a log. The group is created only if every declared voter answers
// and none of them holds more than the bootstrap entry of this same group, so that
// a wiped disk among voters that hold a log can never create a second group.
// Otherwise Bootstrap waits until the group has added this process, or ctx ends.
// It runs concurrently with Run.
func (g *Group) Bootstrap(ctx context.Context) error {
	lastReason := ""
	for {
		if g.Status().LastIndex > 0 {
			return nil
		}
		set, reason := g.identifyDeclaredVoters(ctx)
		if set != nil {
			return g.bootstrapWith(ctx, set)
		}
		if reason != lastReason {
			g.opt.Log.Info("waiting to bootstrap or join a group", "because", reason)
			lastReason = reason
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(bootstrapPollInterval):
		}
	}
}

// identifyDeclaredVoters asks every declared voter to identify itself. It returns
// the voter set to bootstrap with, or the reason why that is not possible.
func (g *Group) identifyDeclaredVoters(ctx context.Context) (*pb.VoterSet, string) {
	set := &pb.VoterSet{}
	declared := formatVoters(g.opt.DeclaredVoters)
	var bootstrapped []*pb.VoterSet
	for _, v := range g.opt.DeclaredVoters {
		peer := g.identity()
		if v.Id != g.opt.Config.ID {
			var err error
			if peer, err = g.identify(ctx, v.Address); err != nil {
				return nil, "voter " + v.Id + " does not answer"
			}
		}
		switch {
		case peer.Id != v.Id:
			return nil, "the process at " + v.Address + " identifies itself as " + peer.Id + ", expected " + v.Id
		case peer.Declared != declared:
			return nil, "the settings of voter " + v.Id + " declare other voters: " + peer.Declared
		case peer.LastIndex > 1:
			return nil, "a group already exists; add this voter to it if it is new"
		case peer.Voters != nil:
			bootstrapped = append(bootstrapped, peer.Voters)
		}
		set.Voters = append(set.Voters, &pb.Voter{Id: v.Id, Address: v.Address, Disk: peer.Disk})
	}
	slices.SortFunc(set.Voters, func(a, b *pb.Voter) int { return strings.Compare(a.Id, b.Id) })
	for _, existing := range bootstrapped {
		if !proto.Equal(existing, set) {
			return nil, "a group was bootstrapped with another voter set; add this voter to it"
		}
	}
	if findVoter(set.Voters, g.opt.Config.ID) == nil {
		return nil, "the settings do not declare this process as a voter"
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

// bootstrapWith appends the bootstrap entry, which is the same on every initial
// voter.
func (g *Group) bootstrapWith(ctx context.Context, set *pb.VoterSet) error {
	done := make(chan error, 1)
	err := g.enqueue(ctx, func() { done <- g.core.Bootstrap(set) })
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

// BootstrapEntry returns the first entry of a group's log, which holds its initial
// voter set.
func BootstrapEntry(set *pb.VoterSet) (*pb.Entry, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(set)
	return &pb.Entry{Term: 1, Index: 1, Type: pb.EntryType_VOTERS, Data: data}, err
}

// Bootstrap makes a blank core a voter of a new group with the given voter set. It
// does nothing on a core that is not blank.
func (c *Core) Bootstrap(set *pb.VoterSet) error {
	if c.log.last() > 0 || c.term > 0 {
		return nil
	}
	e, err := BootstrapEntry(set)
	if err != nil {
		return err
	}
	c.term = e.Term
	c.log.append([]*pb.Entry{e})
	c.advanceCommit(e.Index)
	return nil
}
