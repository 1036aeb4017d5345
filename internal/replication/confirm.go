package replication

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// noteMarks remembers what the sender's disk shows and what its leader knows,
// and compares what is known of the own disk with what it holds.
func (c *Core) noteMarks(m *pb.Message) {
	if s := m.Shown; s != nil && s.Disk == m.FromDisk {
		c.marks[s.Disk] = mergeMark(c.marks[s.Disk], s)
	}
	for _, k := range m.Marks {
		if k.Disk == c.cfg.Disk {
			c.compareOwn(k)
			continue
		}
		c.marks[k.Disk] = mergeMark(c.marks[k.Disk], k)
	}
	c.dropOldMarks()
}

// maxMarks bounds the memory for disks that were replaced.
const maxMarks = 64

func (c *Core) dropOldMarks() {
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

// compareOwn quarantines a disk that has forgotten a promise. A mark never
// exceeds what an intact disk holds, however late it arrives.
func (c *Core) compareOwn(k *pb.Mark) {
	if c.quarantined || !showsLess(c.durableTerm, c.durableLast, k) {
		return
	}
	c.quarantined = true
	if c.role != Follower {
		c.becomeFollower(c.term, "")
	}
}

// reference is the newest voter set in the log, committed or not, that has this
// process in it: one that it may be counted in. An uncommitted removal may yet be
// overwritten, and must not keep a voter from voting. A newer set that another
// process told of comes first: those known here may all have been replaced.
func (c *Core) reference() *pb.VoterSet {
	if c.told.GetIndex() > c.commit {
		return c.told.Voters
	}
	for i := c.log.last(); i > c.commit; i-- {
		e := c.log.entries[i-c.log.base-1]
		set := &pb.VoterSet{}
		if e.Type == pb.EntryType_VOTERS && proto.Unmarshal(e.Data, set) == nil && c.isIn(set) {
			return set
		}
	}
	return c.voters
}

func (c *Core) isIn(set *pb.VoterSet) bool {
	return isMember(set.Voters, c.cfg.ID, c.cfg.Disk) || isMember(set.Learners, c.cfg.ID, c.cfg.Disk)
}

// checkConfirmed sets confirmed once enough other voters have answered.
func (c *Core) checkConfirmed() {
	set := c.reference()
	if c.confirmed || !c.isIn(set) {
		return
	}
	n, all := 1, 1
	for _, v := range set.Voters {
		if v.Disk == c.cfg.Disk {
			continue
		}
		all++
		if c.confirms[v.Disk] {
			n++
		}
	}
	c.confirmed = n == all || n >= majority(len(set.Voters)) && c.now >= c.confirmDue
	if first := c.cfg.FirstElection; c.confirmed && first > 0 && c.role == Follower && c.leader == "" {
		c.electionDue = min(c.electionDue, c.now+time.Duration(c.rng.Int64N(int64(first))))
	}
}

// tickConfirm asks the other voters what they know of this disk.
func (c *Core) tickConfirm() {
	if c.confirmed {
		return
	}
	c.checkConfirmed()
	set := c.reference()
	if c.confirmed || c.now < c.helloDue || !c.isIn(set) {
		return
	}
	c.helloDue = c.now + c.cfg.Heartbeat
	for _, v := range set.Voters {
		if v.Disk != c.cfg.Disk && !c.confirms[v.Disk] {
			c.send(v, &pb.Message{Type: pb.MessageType_HELLO, Round: c.nonce()})
		}
	}
}

// nonce tells this start's questions from an earlier one's.
func (c *Core) nonce() uint64 {
	for c.bootNonce == 0 {
		c.bootNonce = c.rng.Uint64()
	}
	return c.bootNonce
}

// askCandidate asks a process that this one does not know of, and that counts it
// as a voter.
func (c *Core) askCandidate(m *pb.Message) {
	if !c.confirmed && !c.confirms[m.FromDisk] && c.isIn(c.reference()) {
		c.send(sender(m), &pb.Message{Type: pb.MessageType_HELLO, Round: c.nonce()})
	}
}

func (c *Core) onHello(m *pb.Message) {
	reply := &pb.Message{Type: pb.MessageType_HELLO_REPLY, Round: m.Round}
	reply.Snapshot = &pb.SnapshotMeta{Index: c.commit, Voters: c.voters}
	if k := c.marks[m.FromDisk]; k != nil {
		reply.Marks = []*pb.Mark{k}
	}
	c.send(sender(m), reply)
}

func (c *Core) onHelloReply(m *pb.Message) {
	if m.Round != c.nonce() || c.confirmed {
		return
	}
	if t := m.Snapshot; t.GetIndex() > max(c.commit, c.told.GetIndex()) && c.isIn(t.Voters) {
		c.told = t
	}
	c.confirms[m.FromDisk] = true
	c.checkConfirmed()
}
