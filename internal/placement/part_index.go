package placement

import "sync"

// partIndexSlots is the number of prompt parts that a router remembers; a part
// that maps to an occupied slot replaces the older one. The index takes 96 KiB, at
// 24 bytes a slot.
const partIndexSlots = 4096

// partIndex maps the hash of a prompt part to the server to which this router last
// sent it successfully.
type partIndex struct {
	mu    sync.Mutex
	slots [partIndexSlots]struct {
		part   uint64
		server *Server
	}
}

// record notes that the server has processed the parts, and so has them in its
// cache.
func (r *partIndex) record(parts []uint64, s *Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		slot := &r.slots[part%partIndexSlots]
		slot.part, slot.server = part, s
	}
}

// lookup returns the server that last processed the part, or nil.
func (r *partIndex) lookup(part uint64) *Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slot := &r.slots[part%partIndexSlots]; slot.part == part {
		return slot.server
	}
	return nil
}
