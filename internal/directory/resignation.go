package directory

import (
	"context"
	"slices"
	"time"

	"storj.io/drpc/drpcerr"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

const (
	// resignTimeout limits how long a process that ends waits for the leader to remove it from the voters. It
	// ends within it if no leader is reached.
	resignTimeout = 2 * time.Second
	// resignRetryInterval is how long it waits between two attempts.
	resignRetryInterval = 50 * time.Millisecond
)

// resign asks the leader to remove this process, which is about to end, from the voters. While it is among them
// without a vote, a majority needs one voter more, and the loss of another one could end the quorum for good. If the
// process starts again, it joins with what it holds.
func (m *voterManager) resign(ctx context.Context) {
	if m.resigning.Swap(true) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	began := m.now()
	removed, attempts, err := false, 0, error(nil)
	for s := m.group.Status(); m.mayResign(s); s = m.group.Status() {
		if s.Leader != "" && !s.Leading {
			attempts++
			if removed, err = m.callResign(ctx, s.Leader); err == nil || drpcerr.Code(err) == drpcerr.Unimplemented {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(resignRetryInterval):
			continue
		}
		break
	}
	if attempts > 0 {
		m.log.Info("resigned", "removed", removed, "attempts", attempts, "took", m.now().Sub(began).Round(time.Millisecond), "error", err)
	}
}

// mayResign reports whether this process is a voter that the others can do without.
func (m *voterManager) mayResign(s *replication.Status) bool {
	return isVoter(s.Voters, m.id, m.disk) && isSurplus(s.Voters, m.minVoters)
}

// isSurplus reports whether a voter that ends can be removed: the others are enough to bear the losses that are to
// be borne.
func isSurplus(set *pb.VoterSet, minVoters int) bool { return len(set.GetVoters()) > minVoters }

// callResign asks the process at the address, the leader, to remove this one.
func (m *voterManager) callResign(ctx context.Context, address string) (removed bool, err error) {
	conn := m.dialer.Conn(ctx, address)
	defer conn.Close()
	resp, err := fleetpb.NewDRPCDirectoryClient(conn).Resign(ctx, &fleetpb.ResignRequest{Id: m.id, Disk: m.disk})
	return resp.GetRemoved(), err
}

// removeResigned removes a voter that is about to end, if this process leads and the others are enough.
func (m *voterManager) removeResigned(ctx context.Context, req *fleetpb.ResignRequest) (removed bool, err error) {
	select {
	case m.changing <- struct{}{}:
		defer func() { <-m.changing }()
	case <-ctx.Done():
		return false, errkind.Wrap(ctx.Err(), errkind.NotReady, "another change of the voters is going on")
	}
	s := m.group.Status()
	switch {
	case !s.Leading:
		return false, errkind.New(errkind.NotLeader, "this process does not lead the directory")
	case !isVoter(s.Voters, req.Id, req.Disk):
		return true, nil
	case !isSurplus(s.Voters, m.minVoters):
		return false, nil
	}
	change := &voterChange{op: opRemove, voter: &pb.Voter{Id: req.Id, Disk: req.Disk}, reason: "the voter ends and enough others are left"}
	if err := m.changeVoter(ctx, s, change); err != nil {
		return false, err
	}
	return true, nil
}

// checkReplaced finds out whether the disk of a voter was replaced, if a process asks to join under the voter's id with
// another disk. It returns false if that is not so, or not known: then the request may come from a former process.
func (m *voterManager) checkReplaced(ctx context.Context, req *fleetpb.JoinRequest) bool {
	v := replacedVoter(m.group.Status(), req)
	if v == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	err := m.group.ConfirmReplaced(ctx, v)
	if err != nil {
		m.log.Debug("replacement of a voter's disk not confirmed", "voter", v.Id, "disk", v.Disk, "error", err)
	}
	return err == nil
}

// replacedVoter returns the voter under whose id the process asks to join with another disk, or nil. Those of which
// this process knows already are left out.
func replacedVoter(s *replication.Status, req *fleetpb.JoinRequest) *pb.Voter {
	for _, v := range s.Voters.GetVoters() {
		if v.Id == req.Id && v.Disk != req.Disk && !slices.Contains(s.Replaced, v.Disk) {
			return v
		}
	}
	return nil
}
