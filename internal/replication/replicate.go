package replication

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// Propose appends a command to the leader's log and returns its index and term.
// If it returns an error, nothing was appended.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.suspended {
		return 0, 0, ErrNotLeader
	}
	if c.uncommittedBytes > c.cfg.MaxUncommittedBytes {
		return 0, 0, ErrUncommittedLimit
	}
	return c.appendLocal(pb.EntryType_COMMAND, data), c.term, nil
}

// ProposeVoters appends a new voter set to the leader's log. The set takes effect
// when it is committed. The next one is accepted once a majority of its voters durably
// knows so.
func (c *Core) ProposeVoters(next *pb.VoterSet) (index, term uint64, err error) {
	switch {
	case c.role != Leader || c.suspended:
		return 0, 0, ErrNotLeader
	case c.pendingVotersIndex > c.commit || !c.votersDurable():
		return 0, 0, ErrChangePending
	case !differByAtMostOne(c.voters, next) || len(next.Voters) == 0:
		return 0, 0, ErrInvalidVoterChange
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, err
	}
	c.pendingVotersIndex = c.appendLocal(pb.EntryType_VOTERS, data)
	return c.pendingVotersIndex, c.term, nil
}

// Progress returns the leader's view of a member. ok is false if this process is not the
// leader or id is not a member.
func (c *Core) Progress(id string) (mp MemberProgress, ok bool) {
	if c.role != Leader {
		return MemberProgress{}, false
	}
	if id == c.cfg.ID {
		return MemberProgress{MatchIndex: c.durableLast}, true
	}
	p := c.progress[id]
	if p == nil {
		return MemberProgress{}, false
	}
	unanswered := c.now - p.lastContact
	silent := unanswered
	if heard, known := c.heard[p.disk]; known {
		silent = c.now - heard
	}
	return MemberProgress{MatchIndex: p.match, SilentMs: silent.Milliseconds(), UnansweredMs: unanswered.Milliseconds()}, true
}

func (c *Core) appendLocal(t pb.EntryType, data []byte) uint64 {
	e := &pb.Entry{Term: c.term, Index: c.log.last() + 1, Type: t, Data: data}
	c.log.append([]*pb.Entry{e})
	c.uncommittedBytes += entrySize(e)
	c.broadcastAppend()
	return e.Index
}

func (c *Core) members() []*pb.Voter {
	return append(slices.Clone(c.voters.Voters), c.voters.Learners...)
}

func (c *Core) broadcastAppend() {
	for _, v := range c.members() {
		if p := c.progress[v.Id]; p != nil {
			c.sendAppend(v, p, false)
		}
	}
}

// sendAppend sends the entries that the follower is missing, as far as its limit
// of messages in flight allows. An empty message is sent only if force is true.
func (c *Core) sendAppend(v *pb.Voter, p *progress, force bool) {
	for !p.blocked(c.cfg.MaxInflightMessages) {
		prevTerm, ok := c.log.term(p.next - 1)
		if !ok {
			c.sendSnapshot(v, p)
			return
		}
		es := c.log.slice(p.next, c.log.last(), c.cfg.MaxAppendBytes)
		if len(es) == 0 && !force {
			return
		}
		m := &pb.Message{Type: pb.MessageType_APPEND, Index: p.next - 1, LogTerm: prevTerm, Entries: es, Commit: c.commit}
		c.ready.Immediate = append(c.ready.Immediate, c.fill(v, m))
		if len(es) == 0 {
			return
		}
		p.recordSent(es[len(es)-1].Index)
		force = false
	}
}

func (c *Core) sendSnapshot(v *pb.Voter, p *progress) {
	if c.snapshot == nil || c.now-p.lastContact > c.cfg.ElectionTimeout {
		return
	}
	p.becomeInstall(c.snapshot.Index, c.now)
	c.ready.Immediate = append(c.ready.Immediate, c.fill(v, &pb.Message{Type: pb.MessageType_SNAPSHOT, Snapshot: c.snapshot}))
}

// ReportSnapshotFailure reports that a snapshot could not be sent to the follower.
func (c *Core) ReportSnapshotFailure(id string) {
	if p := c.progress[id]; p != nil && p.state == installing {
		p.becomeProbe()
		p.paused = true
	}
}

// ReportSnapshotSent reports that the follower has received the snapshot at index, or a later one,
// and has installed or refused it. Its acknowledgement may have been lost, so the leader asks it
// for what follows.
func (c *Core) ReportSnapshotSent(id string, index uint64) {
	if p := c.progress[id]; p != nil && p.state == installing && p.pendingSnapshot == index {
		p.becomeProbe()
		p.next = max(p.next, index+1)
		p.paused = true
	}
}

func (c *Core) heartbeat() {
	c.heartbeatDue = c.now + c.cfg.HeartbeatInterval
	c.heartbeatRound++
	marks, silent := c.memberMarks(), c.silences()
	for _, v := range c.members() {
		p := c.progress[v.Id]
		if p == nil {
			continue
		}
		m := &pb.Message{Type: pb.MessageType_HEARTBEAT, Round: c.heartbeatRound, Commit: min(c.commit, p.match), Marks: marks, Silent: silent}
		m.Shown = &pb.Mark{Disk: c.cfg.Disk, Term: c.term, Index: c.durableLast}
		c.ready.Immediate = append(c.ready.Immediate, c.fill(v, m))
	}
	c.readsUnsent = false
	for i := range c.reads {
		if c.reads[i].round == 0 {
			c.reads[i].round = c.heartbeatRound
		}
	}
	c.confirmReads()
}

func (c *Core) onAppend(m *pb.Message) {
	reply := &pb.Message{Type: pb.MessageType_APPEND_REPLY}
	defer c.send(sender(m), reply)
	if m.Index < c.commit && m.Index+uint64(len(m.Entries)) <= c.commit {
		reply.Index = c.commit
		return
	}
	if m.Index < c.log.base {
		m = trimmedAppend(m, c.log.base, c.log.baseTerm)
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		reply.Reject, reply.Index, reply.Hint = true, m.Index, c.rejectHint(m.Index)
		return
	}
	c.mergeEntries(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	c.advanceCommit(min(m.Commit, reply.Index))
	c.ackedIndex = max(c.ackedIndex, reply.Index)
}

// trimmedAppend returns the append message without its entries up to base, which
// are already committed here.
func trimmedAppend(m *pb.Message, base, baseTerm uint64) *pb.Message {
	return &pb.Message{
		From: m.From, FromDisk: m.FromDisk, Index: base, LogTerm: baseTerm, Commit: m.Commit,
		Entries: m.Entries[base-m.Index:],
	}
}

// rejectHint returns the index at which the leader should try next after a log
// mismatch at index.
func (c *Core) rejectHint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	t, _ := c.log.term(index)
	for index > c.commit+1 {
		if p, ok := c.log.term(index - 1); !ok || p != t {
			break
		}
		index--
	}
	return index - 1
}

// mergeEntries appends new entries, and truncates the log first where an existing
// entry conflicts with them.
func (c *Core) mergeEntries(es []*pb.Entry) {
	for i, e := range es {
		t, ok := c.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			c.log.truncate(e.Index)
			c.durableNext = min(c.durableNext, e.Index)
		}
		c.log.append(es[i:])
		return
	}
}

// recordContact records that the disk of a member was heard from.
func (c *Core) recordContact(disk string, at time.Duration) {
	for _, v := range c.members() {
		if v.Disk != disk {
			continue
		}
		if heard, known := c.heard[disk]; !known || at > heard {
			c.heard[disk] = at
		}
		return
	}
}

// silences returns the voters that were not heard from for longer than an election timeout.
func (c *Core) silences() []*pb.Silence {
	var out []*pb.Silence
	for _, v := range c.voters.Voters {
		heard, known := c.heard[v.Disk]
		if known && v.Disk != c.cfg.Disk && c.now-heard > c.cfg.ElectionTimeout {
			out = append(out, &pb.Silence{Disk: v.Disk, Ms: uint64((c.now - heard).Milliseconds())})
		}
	}
	return out
}

// recordSilences takes over what a leader says of the voters. One that it does not mention was
// heard from; a leader of an earlier release mentions none.
func (c *Core) recordSilences(silent []*pb.Silence) {
	since := map[string]time.Duration{}
	for _, s := range silent {
		since[s.Disk] = time.Duration(s.Ms) * time.Millisecond
	}
	for _, v := range c.voters.Voters {
		c.recordContact(v.Disk, c.now-since[v.Disk])
	}
}

func (c *Core) onHeartbeat(m *pb.Message) {
	c.recordSilences(m.Silent)
	c.advanceCommit(min(m.Commit, c.log.last()))
	c.send(sender(m), &pb.Message{Type: pb.MessageType_HEARTBEAT_REPLY, Round: m.Round})
}

func (c *Core) onSnapshot(m *pb.Message) {
	s := m.Snapshot
	reply := &pb.Message{Type: pb.MessageType_APPEND_REPLY, Index: c.commit}
	defer c.send(sender(m), reply)
	if s.GetIndex() <= c.commit {
		return
	}
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		c.advanceCommit(s.Index)
		reply.Index = c.commit
		return
	}
	c.log = newLog(s.Index, s.Term, nil)
	c.commit, c.applying, c.durableNext = s.Index, s.Index, s.Index+1
	c.snapshot, c.voters, c.votersIndex = s, cloneVoterSet(s.Voters), snapshotVotersIndex(s)
	c.forgetReplaced()
	c.ready.Install, c.ready.Committed = s, nil
	reply.Index = s.Index
	c.ackedIndex = max(c.ackedIndex, s.Index)
}

func (c *Core) senderProgress(m *pb.Message) *progress {
	p := c.progress[m.From]
	if c.role != Leader || p == nil || p.disk != m.FromDisk {
		return nil
	}
	p.lastContact = c.now
	if c.uncounted != "" && m.Uncounted == c.uncounted {
		p.knowsUncounted = true
	}
	return p
}

func (c *Core) onAppendReply(m *pb.Message) {
	p := c.senderProgress(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.onReject(m, p)
		return
	}
	if p.state == installing && m.Index < p.pendingSnapshot {
		return
	}
	p.recordAck(m.Index, !m.Unconfirmed)
	if p.state != replicating {
		p.becomeReplicate()
		p.next = max(p.next, m.Index+1)
	}
	c.maybeCommit()
	c.sendAppend(sender(m), p, false)
}

func (c *Core) onReject(m *pb.Message, p *progress) {
	if m.Index <= p.match && !m.Unconfirmed {
		return
	}
	if m.Unconfirmed {
		p.match = 0
	}
	p.becomeProbe()
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
	p.next = max(p.next, 1)
	c.sendAppend(sender(m), p, true)
}

func (c *Core) onHeartbeatReply(m *pb.Message) {
	p := c.senderProgress(m)
	if p == nil {
		return
	}
	p.paused = false
	if !m.Unconfirmed {
		p.ackedRound = max(p.ackedRound, m.Round)
	}
	if p.state == replicating && len(p.inflight) >= c.cfg.MaxInflightMessages {
		p.inflight = p.inflight[1:]
	}
	if p.match < c.log.last() {
		c.sendAppend(sender(m), p, true)
	}
	c.confirmReads()
}

// maybeCommit advances the commit index to the highest index that a majority of
// the voters holds, if the entry there is of the current term and was appended since
// the voter set is in force. A voter that holds such an entry durably knows, by the
// commit index that came with it, that the set is committed. So whatever is committed
// by the majority of a set is preceded by the set itself on the disks of a majority.
func (c *Core) maybeCommit() {
	var matches []uint64
	q, index := c.quorum(), uint64(0)
	for _, v := range q.electors() {
		matches = append(matches, c.matchIndex(v))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	for _, match := range slices.Backward(matches) {
		if q.Reached(func(v *pb.Voter, uncounted string) bool {
			return c.matchIndex(v) >= match && c.knowsUncounted(v, uncounted)
		}) {
			index = match
			break
		}
	}
	if t, ok := c.log.term(index); !ok || t != c.term || index <= c.commit || index < c.votersStartIndex {
		return
	}
	c.advanceCommit(c.firstVoterSet(index))
	if c.role != Leader {
		return
	}
	for _, v := range c.members() {
		if p := c.progress[v.Id]; p != nil && p.state == replicating {
			c.sendAppend(v, p, true)
		}
	}
}

// firstVoterSet returns the index of the first voter set after the commit index and up
// to the given index, or that index if there is none.
func (c *Core) firstVoterSet(to uint64) uint64 {
	for _, e := range c.log.slice(c.commit+1, to, int(^uint(0)>>1)) {
		if e.Type == pb.EntryType_VOTERS {
			return e.Index
		}
	}
	return to
}

// knowsUncounted reports whether a voter knows that the disk was replaced, in this term; true if there is none.
func (c *Core) knowsUncounted(v *pb.Voter, uncounted string) bool {
	p := c.progress[v.Id]
	return uncounted == "" || v.Id == c.cfg.ID || p != nil && p.knowsUncounted
}

func (c *Core) matchIndex(v *pb.Voter) uint64 {
	if v.Id == c.cfg.ID {
		return c.durableLast
	}
	if p := c.progress[v.Id]; p != nil && p.disk == v.Disk {
		return p.match
	}
	return 0
}

// advanceCommit advances the commit index and activates each voter set that
// becomes committed.
func (c *Core) advanceCommit(to uint64) {
	for c.commit < to {
		c.commit++
		e := c.log.entries[c.commit-c.log.base-1]
		c.uncommittedBytes = max(0, c.uncommittedBytes-entrySize(e))
		if e.Type != pb.EntryType_VOTERS {
			continue
		}
		set := &pb.VoterSet{}
		if err := proto.Unmarshal(e.Data, set); err == nil {
			c.activateVoters(set)
		}
	}
}

// votersDurable reports whether this process leads and a majority of the voters durably
// knows that the set is committed, as they hold an entry of its term that came after.
func (c *Core) votersDurable() bool {
	return c.role == Leader && c.commit >= c.votersStartIndex
}

func (c *Core) activateVoters(set *pb.VoterSet) {
	c.voters, c.votersIndex = set, c.commit
	// What is left uncounted was chosen for the set before.
	c.uncounted = ""
	c.forgetReplaced()
	c.forgetRemoved()
	c.updateConfirmed()
	if c.role != Leader {
		return
	}
	c.syncProgress()
	if !c.isVoter() {
		c.becomeFollower(c.term, "this process is no longer a voter")
		return
	}
	c.votersStartIndex = c.log.last() + 1
	c.appendLocal(pb.EntryType_NOOP, nil)
}

// forgetRemoved drops the contacts of disks that are no longer members.
func (c *Core) forgetRemoved() {
	members := map[string]bool{}
	for _, v := range c.members() {
		members[v.Disk] = true
	}
	for disk := range c.heard {
		if !members[disk] {
			delete(c.heard, disk)
		}
	}
}

// Compact reports that a snapshot is durable. The entries up to keepFrom that the
// snapshot covers are removed from memory.
func (c *Core) Compact(meta *pb.SnapshotMeta, keepFrom uint64) {
	if meta.Index <= c.snapshot.GetIndex() {
		return
	}
	c.snapshot = meta
	c.log.compact(min(keepFrom, meta.Index))
}
