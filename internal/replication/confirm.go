package replication

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// recordMarks merges the marks of the message into those known here: the mark of
// the sender's disk, and the marks that the sender has of other disks. A mark of
// this process's own disk is compared with what the disk holds.
func (c *Core) recordMarks(m *pb.Message) {
	if s := m.Shown; s != nil && s.Disk == m.FromDisk {
		c.marks[s.Disk] = maxMark(c.marks[s.Disk], s)
	}
	for _, k := range m.Marks {
		if k.Disk == c.cfg.Disk {
			c.checkOwnMark(k)
			continue
		}
		c.marks[k.Disk] = maxMark(c.marks[k.Disk], k)
	}
	c.evictOldMarks()
}

// maxMarks bounds the memory used by the marks of replaced disks. Above it, the
// marks of disks outside the voter set are evicted.
const maxMarks = 64

func (c *Core) evictOldMarks() {
	if len(c.marks) <= maxMarks {
		return
	}
	known := map[string]bool{}
	for _, v := range c.members() {
		known[v.Disk] = true
	}
	for d := range c.marks {
		if !known[d] {
			delete(c.marks, d)
		}
	}
}

// checkOwnMark quarantines this disk if it holds less than it has acknowledged.
// A mark never exceeds what an intact disk holds, however late it arrives.
func (c *Core) checkOwnMark(k *pb.Mark) {
	if c.quarantined || !isBehindMark(c.durableTerm, c.durableLast, k) {
		return
	}
	c.quarantined = true
	if c.role != Follower {
		c.becomeFollower(c.term, "the disk holds less than it has acknowledged")
	}
}

// referenceVoters returns the voter set whose voters have to confirm this disk:
// the newest set in the log, committed or not, that has this process as a member
// and may therefore count its vote. A newer set without it is skipped, since an
// uncommitted removal may still be overwritten and must not keep a voter from
// voting. A newer committed set learned from another process takes precedence,
// because all voters known here may have been replaced meanwhile.
func (c *Core) referenceVoters() *pb.VoterSet {
	if c.newerVoters.GetIndex() > c.commit {
		return c.newerVoters.Voters
	}
	for i := c.log.last(); i > c.commit; i-- {
		e := c.log.entries[i-c.log.base-1]
		set := &pb.VoterSet{}
		if e.Type == pb.EntryType_VOTERS && proto.Unmarshal(e.Data, set) == nil && c.isMemberOf(set) {
			return set
		}
	}
	return c.voters
}

func (c *Core) isMemberOf(set *pb.VoterSet) bool {
	return isMember(set.Voters, c.cfg.ID, c.cfg.Disk) || isMember(set.Learners, c.cfg.ID, c.cfg.Disk)
}

// updateConfirmed sets confirmed once all other voters have answered this start's
// hellos, or once a quorum has and confirmDeadline has passed.
func (c *Core) updateConfirmed() {
	set := c.referenceVoters()
	if c.confirmed || !c.isMemberOf(set) {
		return
	}
	needed, uncounted := majority(len(set.Voters)), Uncountable(set, c.replaced, true)
	if uncounted != "" {
		needed = majority(len(set.Voters) - 1)
	}
	n, all := 1, 1
	for _, v := range set.Voters {
		if v.Disk == c.cfg.Disk {
			continue
		}
		all++
		if c.confirmations[v.Disk] && v.Disk != uncounted {
			n++
		}
	}
	c.confirmed = n == all || n >= needed && c.now >= c.confirmDeadline
	if first := c.cfg.FirstElectionTimeout; c.confirmed && first > 0 && c.role == Follower && c.leader == "" {
		c.electionDue = min(c.electionDue, c.now+time.Duration(c.rng.Int64N(int64(first))))
	}
}

// tickConfirm sends a hello, once per heartbeat interval, to every other voter
// that has not confirmed this disk yet. The reply carries the mark of this disk.
func (c *Core) tickConfirm() {
	if c.confirmed {
		return
	}
	c.updateConfirmed()
	set := c.referenceVoters()
	if c.confirmed || c.now < c.helloDue || !c.isMemberOf(set) {
		return
	}
	c.helloDue = c.now + c.cfg.HeartbeatInterval
	for _, v := range set.Voters {
		if v.Disk != c.cfg.Disk && !c.confirmations[v.Disk] {
			c.send(v, &pb.Message{Type: pb.MessageType_HELLO, Round: c.startNonce()})
		}
	}
}

// startNonce identifies the hellos of this start, so that replies to those of an
// earlier start are ignored.
func (c *Core) startNonce() uint64 {
	for c.nonce == 0 {
		c.nonce = c.rng.Uint64()
	}
	return c.nonce
}

// sendHelloToCandidate asks a candidate to confirm this disk. The candidate counts
// this process as a voter, but may be missing from the voter set known here.
func (c *Core) sendHelloToCandidate(m *pb.Message) {
	if !c.confirmed && !c.confirmations[m.FromDisk] && c.isMemberOf(c.referenceVoters()) {
		c.send(sender(m), &pb.Message{Type: pb.MessageType_HELLO, Round: c.startNonce()})
	}
}

func (c *Core) onHello(m *pb.Message) {
	reply := &pb.Message{Type: pb.MessageType_HELLO_REPLY, Round: m.Round, Snapshot: c.commitMeta()}
	if k := c.marks[m.FromDisk]; k != nil {
		reply.Marks = []*pb.Mark{k}
	}
	// A folder that was put back confirms nothing: others may have elected leaders without it since.
	reply.Reject = slices.Contains(c.replaced, m.FromDisk)
	c.send(sender(m), reply)
}

func (c *Core) onHelloReply(m *pb.Message) {
	if m.Round != c.startNonce() || c.confirmed {
		return
	}
	if m.Reject {
		return
	}
	if t := m.Snapshot; t.GetIndex() > max(c.commit, c.newerVoters.GetIndex()) && c.isMemberOf(t.Voters) {
		c.newerVoters = t
	}
	c.confirmations[m.FromDisk] = true
	c.updateConfirmed()
}
