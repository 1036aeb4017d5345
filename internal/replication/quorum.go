package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// Quorum decides how many voters elect a leader, commit an entry, confirm a read or confirm a disk.
type Quorum struct {
	// Voters is the set in force.
	Voters *pb.VoterSet
	// Uncounted, if set, is the disk of a voter that was replaced, and can therefore not vote again. Then a
	// majority of the other voters is enough as well, provided that all of them know of the replacement.
	Uncounted string
	// Pending is a voter set that the log holds after the one in force, or nil. Where a disk is not counted, a
	// majority of it is needed too, since it may already be in force elsewhere.
	Pending *pb.VoterSet
}

// Reached reports whether the voters for which agrees returns true are a quorum. agrees is called with an empty
// uncounted disk, or with Uncounted for a voter that has to know of its replacement.
//
// A majority of all voters and a majority of those but one always share a voter. So do two majorities of which each
// leaves out another replaced disk, since neither disk is in the majority that was formed later. It does not
// hold for two disks that are left out at once.
func (q Quorum) Reached(agrees func(v *pb.Voter, uncounted string) bool) bool {
	if countVoters(q.Voters, "", agrees) >= majority(len(q.Voters.GetVoters())) {
		return true
	}
	if q.Uncounted == "" || !hasDisk(q.Voters.GetVoters(), q.Uncounted) {
		return false
	}
	if countVoters(q.Voters, q.Uncounted, agrees) < majority(len(q.Voters.GetVoters())-1) {
		return false
	}
	return q.Pending == nil || countVoters(q.Pending, q.Uncounted, agrees) >= majority(len(q.Pending.Voters))
}

// electors returns the voters that may be part of a quorum.
func (q Quorum) electors() []*pb.Voter {
	out := slices.Clone(q.Voters.GetVoters())
	for _, v := range q.Pending.GetVoters() {
		if !isMember(out, v.Id, v.Disk) {
			out = append(out, v)
		}
	}
	return out
}

// countVoters returns the number of voters, without the uncounted one, that agree.
func countVoters(set *pb.VoterSet, uncounted string, agrees func(*pb.Voter, string) bool) int {
	n := 0
	for _, v := range set.GetVoters() {
		if (uncounted == "" || v.Disk != uncounted) && agrees(v, uncounted) {
			n++
		}
	}
	return n
}

// mayLeaveOut reports whether a replaced disk may be left uncounted in a set. Where the number of voters is odd,
// nothing would be gained; of two, the other one would decide alone.
func mayLeaveOut(set *pb.VoterSet) bool {
	return len(set.GetVoters()) >= 4 && len(set.GetVoters())%2 == 0
}

// Uncountable returns the replaced disk that a candidate may leave uncounted, or "". durable says that a majority
// of the voters knows that the set is in force: until then the one before could still elect a leader, and its
// majorities may lack the voters that are left.
func Uncountable(set *pb.VoterSet, replaced []string, durable bool) string {
	if !durable || !mayLeaveOut(set) {
		return ""
	}
	for _, disk := range replaced {
		if hasDisk(set.Voters, disk) {
			return disk
		}
	}
	return ""
}

func hasDisk(vs []*pb.Voter, disk string) bool {
	return slices.ContainsFunc(vs, func(v *pb.Voter) bool { return v.Disk == disk })
}

// quorum returns the quorum of this process's voter set in its term.
func (c *Core) quorum() Quorum {
	q := Quorum{Voters: c.voters, Uncounted: c.uncounted}
	if c.uncounted != "" {
		q.Pending = c.pendingVoters()
	}
	return q
}

// pendingVoters returns the newest voter set in the log after the one in force, or nil.
func (c *Core) pendingVoters() *pb.VoterSet {
	for i := c.log.last(); i > c.commit; i-- {
		e := c.log.entries[i-c.log.base-1]
		set := &pb.VoterSet{}
		if e.Type == pb.EntryType_VOTERS && proto.Unmarshal(e.Data, set) == nil {
			return set
		}
	}
	return nil
}

// ReportReplaced reports that another disk was seen in the place of the given one, so that this one will not vote
// again. It is ignored unless the disk is that of another voter.
func (c *Core) ReportReplaced(disk string) {
	if c.suspended || disk == c.cfg.Disk || slices.Contains(c.replaced, disk) || !hasDisk(c.voters.Voters, disk) {
		return
	}
	// The slice is published with the status.
	c.replaced = append(slices.Clone(c.replaced), disk)
	slices.Sort(c.replaced)
	c.updateConfirmed()
}

// forgetReplaced drops the replaced disks that are no longer voters.
func (c *Core) forgetReplaced() {
	c.replaced = slices.DeleteFunc(slices.Clone(c.replaced), func(d string) bool { return !hasDisk(c.voters.Voters, d) })
}

// acknowledgeReplaced notes the disk that the sender of a message does not count, and returns it for the answer,
// which is sent once it is durable. A process that knows of the removal of the disk has nothing to note.
func (c *Core) acknowledgeReplaced(m *pb.Message) string {
	if isAnswer(m.Type) || m.Uncounted == c.cfg.Disk {
		return ""
	}
	c.ReportReplaced(m.Uncounted)
	return m.Uncounted
}

func isAnswer(t pb.MessageType) bool {
	switch t {
	case pb.MessageType_PRE_VOTE_REPLY, pb.MessageType_VOTE_REPLY, pb.MessageType_APPEND_REPLY, pb.MessageType_HEARTBEAT_REPLY, pb.MessageType_HELLO_REPLY:
		return true
	}
	return false
}
