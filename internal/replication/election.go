package replication

import pb "github.com/kumquathollow/kumquathollow/api/replicationpb"

// Step takes one message in.
func (c *Core) Step(m *pb.Message) {
	if m.ToDisk != c.cfg.Disk || m.FromDisk == c.cfg.Disk {
		return
	}
	c.noteMarks(m)
	switch m.Type {
	case pb.MessageType_HELLO:
		c.onHello(m)
		return
	case pb.MessageType_HELLO_REPLY:
		c.onHelloReply(m)
		return
	}
	if !c.settleTerm(m) {
		return
	}
	switch m.Type {
	case pb.MessageType_PRE_VOTE, pb.MessageType_VOTE:
		c.onVoteRequest(m)
	case pb.MessageType_PRE_VOTE_REPLY, pb.MessageType_VOTE_REPLY:
		c.onVoteReply(m)
	case pb.MessageType_APPEND:
		c.followLeader(m)
		c.onAppend(m)
	case pb.MessageType_HEARTBEAT:
		c.followLeader(m)
		c.onHeartbeat(m)
	case pb.MessageType_SNAPSHOT:
		c.followLeader(m)
		c.onSnapshot(m)
	case pb.MessageType_HAND_OVER:
		c.onHandOver(m)
	case pb.MessageType_APPEND_REPLY:
		c.onAppendReply(m)
	case pb.MessageType_HEARTBEAT_REPLY:
		c.onHeartbeatReply(m)
	}
}

// settleTerm compares terms and reports whether the message is to be handled.
func (c *Core) settleTerm(m *pb.Message) bool {
	isRequest := m.Type == pb.MessageType_PRE_VOTE || m.Type == pb.MessageType_VOTE
	if isRequest && !c.mayVote() {
		c.askCandidate(m)
		return false
	}
	if isRequest && !m.HandedOver && c.hasLiveLeader() {
		return false
	}
	switch {
	case m.Term < c.term:
		c.answerOldTerm(m)
		return false
	case m.Term == c.term || m.Type == pb.MessageType_PRE_VOTE:
		return true
	case m.Type == pb.MessageType_PRE_VOTE_REPLY && !m.Reject:
		return true
	}
	c.becomeFollower(m.Term, "")
	return true
}

func (c *Core) answerOldTerm(m *pb.Message) {
	switch m.Type {
	case pb.MessageType_APPEND, pb.MessageType_HEARTBEAT, pb.MessageType_SNAPSHOT:
		c.send(sender(m), &pb.Message{Type: pb.MessageType_APPEND_REPLY, Reject: true})
	case pb.MessageType_PRE_VOTE:
		c.send(sender(m), &pb.Message{Type: pb.MessageType_PRE_VOTE_REPLY, Reject: true})
	}
}

// hasLiveLeader keeps voters loyal to a leader that they hear.
func (c *Core) hasLiveLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.now-c.leaderContact < c.cfg.ElectionTimeout
}

// mayVote is false for a process in no voter set: it has nothing to compare
// with, and its disk may be new. A learner may vote: only a candidate that
// knows of its promotion counts it.
func (c *Core) mayVote() bool { return c.Confirmed() }

func (c *Core) campaign(role Role) {
	typ, term := pb.MessageType_PRE_VOTE, c.term+1
	if role == Candidate {
		c.term, c.vote, c.acked = c.term+1, c.cfg.Disk, 0
		typ, term = pb.MessageType_VOTE, c.term
	}
	c.role, c.leader = role, ""
	c.votes = map[string]bool{c.cfg.ID: true}
	c.resetElection()
	if c.wonVotes() {
		return
	}
	for _, v := range c.voters.Voters {
		if v.Id != c.cfg.ID {
			c.send(v, &pb.Message{Type: typ, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), HandedOver: c.handedOver})
		}
	}
}

func (c *Core) onVoteRequest(m *pb.Message) {
	upToDate := m.LogTerm > c.log.lastTerm() || m.LogTerm == c.log.lastTerm() && m.Index >= c.log.last()
	if m.Type == pb.MessageType_PRE_VOTE {
		grant := upToDate && m.Term > c.term
		reply := &pb.Message{Type: pb.MessageType_PRE_VOTE_REPLY, Reject: !grant}
		if grant {
			reply.Term = m.Term
			c.giveWay(m)
		}
		c.send(sender(m), reply)
		return
	}
	grant := upToDate && (c.vote == "" || c.vote == m.FromDisk) && c.role == Follower
	if grant {
		c.vote = m.FromDisk
		c.resetElection()
	}
	c.send(sender(m), &pb.Message{Type: pb.MessageType_VOTE_REPLY, Reject: !grant})
}

// giveWay puts the own campaign off for that of another voter, so that voters
// which start together do not split the votes. Each voter does so once between
// two campaigns of its own: the other's may come to nothing.
func (c *Core) giveWay(m *pb.Message) {
	if !c.starting || c.gaveWay || c.role == PreCandidate && m.From > c.cfg.ID {
		return
	}
	if c.role == PreCandidate {
		c.role, c.votes = Follower, nil
	}
	if c.role == Follower {
		c.gaveWay = true
		c.resetElection()
	}
}

func (c *Core) onVoteReply(m *pb.Message) {
	preVote := m.Type == pb.MessageType_PRE_VOTE_REPLY
	switch {
	case m.Unconfirmed || !isMember(c.voters.Voters, m.From, m.FromDisk):
		return
	case preVote && (c.role != PreCandidate || !m.Reject && m.Term != c.term+1):
		return
	case !preVote && (c.role != Candidate || m.Term != c.term):
		return
	}
	if m.Reject {
		return
	}
	c.votes[m.From] = true
	c.wonVotes()
}

// wonVotes moves on if a majority has granted, and reports whether it did.
func (c *Core) wonVotes() bool {
	n := 0
	for _, v := range c.voters.Voters {
		if c.votes[v.Id] {
			n++
		}
	}
	if n < majority(len(c.voters.Voters)) {
		return false
	}
	if c.role == PreCandidate {
		c.campaign(Candidate)
	} else {
		c.becomeLeader()
	}
	return true
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.cfg.ID
	c.starting, c.attempts = false, 0
	c.progress = map[string]*progress{}
	c.syncProgress()
	c.quorumDue = c.now + c.cfg.ElectionTimeout
	c.termStart = c.log.last() + 1
	c.uncommitted = 0
	// An earlier leader's change of voters may be in the log uncommitted.
	c.pendingVoters = c.log.last()
	c.appendLocal(pb.EntryType_NOOP, nil)
	c.heartbeat()
}

// syncProgress keeps one progress for each other member of the voter set.
func (c *Core) syncProgress() {
	keep := map[string]bool{}
	for _, vs := range [][]*pb.Voter{c.voters.Voters, c.voters.Learners} {
		for _, v := range vs {
			keep[v.Id] = true
			p := c.progress[v.Id]
			if v.Id == c.cfg.ID || p != nil && p.disk == v.Disk {
				continue
			}
			c.progress[v.Id] = &progress{disk: v.Disk, next: c.log.last() + 1, lastContact: c.now}
		}
	}
	for id := range c.progress {
		if !keep[id] {
			delete(c.progress, id)
		}
	}
}

func (c *Core) followLeader(m *pb.Message) {
	c.role, c.leader, c.votes = Follower, m.From, nil
	c.starting, c.attempts = false, 0
	c.leaderContact = c.now
	if c.vote == "" {
		// Who has seen the leader of a term never votes for another in it, even if
		// its disk has forgotten a vote.
		c.vote = m.FromDisk
	}
	c.resetElection()
}

// HandOver asks the voter that holds the most of the log to campaign, and
// reports whether there is one that holds all of it.
func (c *Core) HandOver() bool {
	if c.role != Leader {
		return false
	}
	for _, v := range c.voters.Voters {
		p := c.progress[v.Id]
		if p == nil || p.match < c.log.last() || c.now-p.lastContact >= c.cfg.ElectionTimeout {
			continue
		}
		c.out.Early = append(c.out.Early, c.fill(v, &pb.Message{Type: pb.MessageType_HAND_OVER}))
		return true
	}
	return false
}

// onHandOver campaigns without a pre-vote: the leader has asked for it.
func (c *Core) onHandOver(m *pb.Message) {
	if m.From != c.leader || c.role != Follower || !c.mayCampaign() {
		return
	}
	c.handedOver = true
	c.campaign(Candidate)
	c.handedOver = false
}
