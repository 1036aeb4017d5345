package replication

import pb "github.com/kumquathollow/kumquathollow/api/replicationpb"

// ReadIndex requests a linearizable read, which a heartbeat round then confirms. Its
// id is returned in Ready.Reads or Ready.AbortedReads.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader || c.suspended || c.commit < c.termStartIndex {
		return ErrNotLeader
	}
	c.reads = append(c.reads, pendingRead{id: id, index: c.commit})
	c.readsUnsent = true
	return nil
}

// flushReads starts one heartbeat round for all reads requested since the last one.
func (c *Core) flushReads() {
	if c.readsUnsent && c.role == Leader {
		c.heartbeat()
	}
}

// confirmReads adds to Ready the reads whose heartbeat round a majority of the voters
// has answered.
func (c *Core) confirmReads() {
	if c.role != Leader || len(c.reads) == 0 {
		return
	}
	q := c.quorum()
	confirmed := func(round uint64) bool {
		return q.Reached(func(v *pb.Voter, uncounted string) bool {
			p := c.progress[v.Id]
			return v.Id == c.cfg.ID || p != nil && p.disk == v.Disk && p.ackedRound >= round && c.knowsUncounted(v, uncounted)
		})
	}
	n := 0
	for n < len(c.reads) && c.reads[n].round != 0 && confirmed(c.reads[n].round) {
		c.ready.Reads = append(c.ready.Reads, ReadState{ID: c.reads[n].id, Index: c.reads[n].index})
		n++
	}
	c.reads = c.reads[n:]
}
