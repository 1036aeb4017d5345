package replication

import "slices"

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
	var rounds []uint64
	for _, v := range c.voters.Voters {
		switch p := c.progress[v.Id]; {
		case v.Id == c.cfg.ID:
			rounds = append(rounds, c.heartbeatRound)
		case p != nil && p.disk == v.Disk:
			rounds = append(rounds, p.ackedRound)
		default:
			rounds = append(rounds, 0)
		}
	}
	slices.Sort(rounds)
	confirmedRound := rounds[len(rounds)-majority(len(rounds))]
	n := 0
	for n < len(c.reads) && c.reads[n].round != 0 && c.reads[n].round <= confirmedRound {
		c.ready.Reads = append(c.ready.Reads, ReadState{ID: c.reads[n].id, Index: c.reads[n].index})
		n++
	}
	c.reads = c.reads[n:]
}
