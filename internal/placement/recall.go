package placement

import "sync"

// recallSlots bounds the parts of prompts that a router remembers; a part that
// hashes to the slot of another takes it. At 24 bytes each, 96 KiB.
const recallSlots = 4096

// recall remembers at which server this router last had a part of a prompt read.
type recall struct {
	mu    sync.Mutex
	slots [recallSlots]struct {
		part   uint64
		server *Server
	}
}

// had takes in that the server has read the parts.
func (r *recall) had(parts []uint64, s *Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		slot := &r.slots[part%recallSlots]
		slot.part, slot.server = part, s
	}
}

// at returns the server that last read the part, or nil.
func (r *recall) at(part uint64) *Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slot := &r.slots[part%recallSlots]; slot.part == part {
		return slot.server
	}
	return nil
}
