package replication

import (
	"fmt"
	"time"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// Step processes one received message. It ignores messages that are addressed to
// another disk or come from this one.
func (c *Core) Step(m *pb.Message) {
	if c.suspended || m.ToDisk != c.cfg.Disk || m.FromDisk == c.cfg.Disk {
		return
	}
	c.answering = c.acknowledgeReplaced(m)
	defer func() { c.answering = "" }()
	c.recordMarks(m)
	c.recordContact(m.FromDisk, c.now)
	c.learnCommit(m)
	switch m.Type {
	case pb.MessageType_HELLO:
		c.onHello(m)
		return
	case pb.MessageType_HELLO_REPLY:
		c.onHelloReply(m)
		return
	}
	if !c.handleTerm(m) {
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
		c.onTransferLeadership(m)
	case pb.MessageType_APPEND_REPLY:
		c.onAppendReply(m)
	case pb.MessageType_HEARTBEAT_REPLY:
		c.onHeartbeatReply(m)
	}
}

// handleTerm compares the message's term with the current one, adopts a newer term
// where the message calls for it, and reports whether the message is to be
// processed further.
func (c *Core) handleTerm(m *pb.Message) bool {
	isRequest := m.Type == pb.MessageType_PRE_VOTE || m.Type == pb.MessageType_VOTE
	if isRequest && !c.mayVote() {
		c.sendHelloToCandidate(m)
		if m.Type == pb.MessageType_PRE_VOTE && c.commit > 0 {
			c.send(sender(m), &pb.Message{Type: pb.MessageType_PRE_VOTE_REPLY, Reject: true, Snapshot: c.commitMeta()})
		}
		return false
	}
	if isRequest && !m.HandedOver && c.hasLiveLeader() {
		return false
	}
	switch {
	case m.Term < c.term:
		c.rejectStaleTerm(m)
		return false
	case m.Term == c.term || m.Type == pb.MessageType_PRE_VOTE:
		return true
	case m.Type == pb.MessageType_PRE_VOTE_REPLY && !m.Reject:
		return true
	}
	c.becomeFollower(m.Term, fmt.Sprintf("%q has a higher term (%s)", m.From, m.Type))
	return true
}

func (c *Core) rejectStaleTerm(m *pb.Message) {
	switch m.Type {
	case pb.MessageType_APPEND, pb.MessageType_HEARTBEAT, pb.MessageType_SNAPSHOT:
		c.send(sender(m), &pb.Message{Type: pb.MessageType_APPEND_REPLY, Reject: true})
	case pb.MessageType_PRE_VOTE:
		c.send(sender(m), &pb.Message{Type: pb.MessageType_PRE_VOTE_REPLY, Reject: true})
	}
}

// hasLiveLeader reports whether this process is the leader, or has heard from one
// within the election timeout. Voters then refuse candidates.
func (c *Core) hasLiveLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.now-c.leaderContact < c.cfg.ElectionTimeout
}

// mayVote reports whether this process may grant votes. A process that is in no
// voter set may not: it has no marks to compare its disk with, and the disk may be
// new. A learner may, since only a candidate that knows of its promotion counts its
// vote.
func (c *Core) mayVote() bool { return c.Confirmed() }

// silenceReason says how long no leader was heard from when a voter begins to campaign.
func (c *Core) silenceReason() string {
	if c.leader == "" {
		return "no leader is known"
	}
	return fmt.Sprintf("leader %q was not heard from for %s", c.leader, (c.now - c.leaderContact).Round(time.Millisecond))
}

func (c *Core) campaign(role Role, reason string) {
	c.roleReason = reason
	typ, term := pb.MessageType_PRE_VOTE, c.term+1
	if role == Candidate {
		c.term, c.vote, c.ackedIndex = c.term+1, c.cfg.Disk, 0
		typ, term = pb.MessageType_VOTE, c.term
	}
	c.role, c.leader = role, ""
	c.uncounted = Uncountable(c.voters, c.replaced, c.votersKnown())
	c.votes = map[string]vote{c.cfg.ID: {uncounted: c.uncounted}}
	c.resetElection()
	if c.tallyVotes() {
		return
	}
	for _, v := range c.quorum().electors() {
		if v.Id != c.cfg.ID {
			c.send(v, &pb.Message{Type: typ, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), HandedOver: c.leadershipTransfer, Snapshot: c.commitMeta()})
		}
	}
}

func (c *Core) onVoteRequest(m *pb.Message) {
	upToDate := m.LogTerm > c.log.lastTerm() || m.LogTerm == c.log.lastTerm() && m.Index >= c.log.last()
	if m.Type == pb.MessageType_PRE_VOTE {
		grant := upToDate && m.Term > c.term
		reply := &pb.Message{Type: pb.MessageType_PRE_VOTE_REPLY, Reject: !grant, Snapshot: c.commitMeta()}
		if grant {
			reply.Term = m.Term
			c.deferCampaign(m)
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

// deferCampaign postpones this voter's campaign in favour of another's, so that
// voters that start together do not split the vote. Each voter does so only once
// between two campaigns of its own, since the other's campaign may fail.
func (c *Core) deferCampaign(m *pb.Message) {
	if !c.starting || c.campaignDeferred || c.role == PreCandidate && m.From > c.cfg.ID {
		return
	}
	if c.role == PreCandidate {
		c.role, c.votes, c.uncounted = Follower, nil, ""
	}
	if c.role == Follower {
		c.campaignDeferred = true
		c.resetElection()
	}
}

func (c *Core) onVoteReply(m *pb.Message) {
	preVote := m.Type == pb.MessageType_PRE_VOTE_REPLY
	switch {
	case m.Unconfirmed || !isMember(c.quorum().electors(), m.From, m.FromDisk):
		return
	case preVote && (c.role != PreCandidate || !m.Reject && m.Term != c.term+1):
		return
	case !preVote && (c.role != Candidate || m.Term != c.term):
		return
	}
	if m.Reject {
		return
	}
	c.votes[m.From] = vote{uncounted: m.Uncounted}
	c.tallyVotes()
}

// vote is a vote for this process. uncounted is the disk of whose replacement the voter knows.
type vote struct{ uncounted string }

// tallyVotes starts the election after a won pre-vote, or becomes leader after a won
// election. It reports whether a majority has granted its vote.
func (c *Core) tallyVotes() bool {
	granted := c.quorum().Reached(func(v *pb.Voter, uncounted string) bool {
		vote, ok := c.votes[v.Id]
		return ok && (uncounted == "" || vote.uncounted == uncounted)
	})
	if !granted {
		return false
	}
	if c.role == PreCandidate {
		c.campaign(Candidate, "a majority would vote for this process")
	} else {
		c.becomeLeader()
	}
	return true
}

// commitMeta returns the last entry known to be committed and the voter set in force. Processes
// tell each other while there is no leader: after a restart only some of them may know that a
// change of the voters is committed, and the others would wait for voters that are gone.
func (c *Core) commitMeta() *pb.SnapshotMeta {
	term, _ := c.log.term(c.commit)
	return &pb.SnapshotMeta{Index: c.commit, Term: term, Voters: c.voters}
}

// learnCommit advances the commit index to that of another process if this log holds the
// same entry there. Its term is missing in messages of earlier releases.
func (c *Core) learnCommit(m *pb.Message) {
	s := m.Snapshot
	if m.Type == pb.MessageType_SNAPSHOT || c.role == Leader || s.GetTerm() == 0 || s.Index <= c.commit {
		return
	}
	if t, ok := c.log.term(s.Index); !ok || t != s.Term {
		return
	}
	known := c.votersIndex
	c.advanceCommit(s.Index)
	if c.votersIndex != known && c.role != Follower {
		// The votes were asked of another set.
		c.becomeFollower(c.term, "the voters changed during the campaign")
	}
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.roleReason = Leader, c.cfg.ID, "a majority voted for this process"
	c.starting, c.attempts = false, 0
	c.progress = map[string]*progress{}
	c.syncProgress()
	for id, p := range c.progress {
		p.knowsUncounted = c.uncounted != "" && c.votes[id].uncounted == c.uncounted
	}
	for _, v := range c.members() {
		if _, known := c.heard[v.Disk]; !known {
			c.heard[v.Disk] = c.now
		}
	}
	c.termStartIndex = c.log.last() + 1
	c.votersStartIndex = c.termStartIndex
	c.uncommittedBytes = 0
	// The log may hold an uncommitted voter set of an earlier leader.
	c.pendingVotersIndex = c.log.last()
	c.appendLocal(pb.EntryType_NOOP, nil)
	c.heartbeat()
}

// syncProgress adds and removes progress entries, so that there is one for each
// other member of the voter set.
func (c *Core) syncProgress() {
	memberIDs := map[string]bool{}
	for _, vs := range [][]*pb.Voter{c.voters.Voters, c.voters.Learners} {
		for _, v := range vs {
			memberIDs[v.Id] = true
			p := c.progress[v.Id]
			if v.Id == c.cfg.ID || p != nil && p.disk == v.Disk {
				continue
			}
			c.progress[v.Id] = &progress{disk: v.Disk, next: c.log.last() + 1, lastContact: c.now}
		}
	}
	for id := range c.progress {
		if !memberIDs[id] {
			delete(c.progress, id)
		}
	}
}

func (c *Core) followLeader(m *pb.Message) {
	if c.leader != m.From {
		c.roleReason = "a leader was heard from"
	}
	c.role, c.leader, c.votes, c.uncounted = Follower, m.From, nil, ""
	c.starting, c.attempts = false, 0
	c.leaderContact = c.now
	if c.vote == "" {
		// A process that has seen the leader of a term never votes for another
		// candidate in that term, even if its disk has lost its vote.
		c.vote = m.FromDisk
	}
	c.resetElection()
}

// TransferLeadership asks a voter that holds the whole log, and that was heard from
// within the election timeout, to campaign. It reports whether there is one.
func (c *Core) TransferLeadership() bool {
	if c.suspended {
		return false
	}
	messages := c.handOver(func(p *progress) bool { return p.match >= c.log.last() })
	c.ready.Immediate = append(c.ready.Immediate, messages...)
	return len(messages) > 0
}

// handOver returns the message of a leader that asks a voter to campaign: of those that are
// suitable and were heard from within the election timeout, the one known to hold most of the
// log. It returns nil if there is none.
func (c *Core) handOver(suitable func(*progress) bool) []*pb.Message {
	if c.role != Leader {
		return nil
	}
	var best *pb.Voter
	for _, v := range c.voters.Voters {
		p := c.progress[v.Id]
		if p == nil || !suitable(p) || c.now-p.lastContact >= c.cfg.ElectionTimeout {
			continue
		}
		if best == nil || p.match > c.progress[best.Id].match {
			best = v
		}
	}
	if best == nil {
		return nil
	}
	return []*pb.Message{c.fill(best, &pb.Message{Type: pb.MessageType_HAND_OVER, Index: c.log.last()})}
}

// onTransferLeadership campaigns without a pre-vote, as the leader has asked for it.
func (c *Core) onTransferLeadership(m *pb.Message) {
	if m.From != c.leader || c.role != Follower || !c.mayCampaign() || c.log.last() < m.Index {
		return
	}
	c.leadershipTransfer = true
	c.campaign(Candidate, fmt.Sprintf("leader %q handed over", m.From))
	c.leadershipTransfer = false
}
