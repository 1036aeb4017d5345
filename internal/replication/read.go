package replication

import "slices"

// Read asks for a read round. Its id comes back in Reads or LostReads.
func (c *Core) Read(id uint64) error {
	if c.role != Leader || c.commit < c.termStart {
		return ErrNotLeader
	}
	c.reads = append(c.reads, pendingRead{id: id, index: c.commit})
	c.readsUnsent = true
	return nil
}

// flushReads starts one round for all reads that came since the last.
func (c *Core) flushReads() {
	if c.readsUnsent && c.role == Leader {
		c.heartbeat()
	}
}

// confirmReads hands out the reads whose round a majority has answered.
func (c *Core) confirmReads() {
	if c.role != Leader || len(c.reads) == 0 {
		return
	}
	var rounds []uint64
	for _, v := range c.voters.Voters {
		switch p := c.progress[v.Id]; {
		case v.Id == c.cfg.ID:
			rounds = append(rounds, c.round)
		case p != nil && p.disk == v.Disk:
			rounds = append(rounds, p.round)
		default:
			rounds = append(rounds, 0)
		}
	}
	slices.Sort(rounds)
	reached := rounds[len(rounds)-majority(len(rounds))]
	n := 0
	for n < len(c.reads) && c.reads[n].round != 0 && c.reads[n].round <= reached {
		c.out.Reads = append(c.out.Reads, ReadState{ID: c.reads[n].id, Index: c.reads[n].index})
		n++
	}
	c.reads = c.reads[n:]
}
