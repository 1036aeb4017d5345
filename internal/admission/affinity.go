package admission

const (
	// affinityBits is the base-2 logarithm of the number of entries of an
	// affinityTable.
	affinityBits = 17
	affinityMask = 1<<affinityBits - 1
)

// affinityTable records the server of each chat that was placed at a server other
// than its home, the first server in its rendezvous order: the recorded server has
// the chat's most recent prefix cached. The size of the table is fixed, whatever
// the number of chats: a lost entry costs one prefix computation, and correctness
// does not depend on it.
type affinityTable struct {
	entries []affinityEntry
}

// affinityEntry is the server of one chat; tag 0 marks a free entry.
type affinityEntry struct {
	tag    uint32
	server int32
}

// affinityIndex returns a chat's index in the table and its tag.
func affinityIndex(chat uint64) (index int, tag uint32) {
	return int(chat & affinityMask), uint32(chat>>32) | 1
}

// lookup returns the recorded server of the chat, or -1.
func (t *affinityTable) lookup(chat uint64) int32 {
	if t.entries == nil {
		return -1
	}
	i, tag := affinityIndex(chat)
	if t.entries[i].tag != tag {
		return -1
	}
	return t.entries[i].server
}

// record sets the server at which the chat was placed. If that is the chat's home,
// it removes an existing entry instead.
func (t *affinityTable) record(chat uint64, server int32, isHome bool) {
	i, tag := affinityIndex(chat)
	switch {
	case !isHome:
		if t.entries == nil {
			t.entries = make([]affinityEntry, 1<<affinityBits)
		}
		t.entries[i] = affinityEntry{tag, server}
	case t.entries != nil && t.entries[i].tag == tag:
		t.entries[i] = affinityEntry{}
	}
}
