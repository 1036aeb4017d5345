package admission

const (
	// detourBits gives the number of detours that a pool remembers.
	detourBits = 17
	detourMask = 1<<detourBits - 1
)

// detours remembers where chats went that were not placed at the first server
// of their order, because that is where their newest prefix is. It is a table
// of fixed size, whatever the number of chats: a detour that is forgotten costs
// one prefix, and nothing depends on it.
type detours struct {
	entries []detour
}

// detour is one entry; a tag of 0 marks a free one.
type detour struct {
	tag    uint32
	server int32
}

// split gives a chat's place in the table and its tag.
func split(chat uint64) (index int, tag uint32) {
	return int(chat & detourMask), uint32(chat>>32) | 1
}

// of returns the server of the chat's detour, or -1.
func (d *detours) of(chat uint64) int32 {
	if d.entries == nil {
		return -1
	}
	i, tag := split(chat)
	if d.entries[i].tag != tag {
		return -1
	}
	return d.entries[i].server
}

// note remembers that the chat was placed at the server; first is true if that
// is the first of its order.
func (d *detours) note(chat uint64, server int32, first bool) {
	i, tag := split(chat)
	switch {
	case !first:
		if d.entries == nil {
			d.entries = make([]detour, 1<<detourBits)
		}
		d.entries[i] = detour{tag, server}
	case d.entries != nil && d.entries[i].tag == tag:
		d.entries[i] = detour{}
	}
}
