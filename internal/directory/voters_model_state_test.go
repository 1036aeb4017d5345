package directory

import (
	"encoding/binary"
	"fmt"
	"strings"
)

// key identifies a state.
func (w *modelWorld) key(buf []byte) []byte {
	b := buf[:0]
	flags := func(on ...bool) {
		f := byte(0)
		for i, v := range on {
			if v {
				f |= 1 << i
			}
		}
		b = append(b, f)
	}
	for i := range w.p {
		p := &w.p[i]
		flags(p.up, p.frozen, p.resigning, p.leads, p.campaigns)
		b = append(b, p.generation, p.term, p.vote, p.last, p.saved, p.commit, p.uncounted, p.since)
		b = binary.LittleEndian.AppendUint16(b, p.replaced)
		b = binary.LittleEndian.AppendUint16(b, p.votes)
		b = binary.LittleEndian.AppendUint16(b, p.knowing)
		for _, a := range p.acks {
			b = append(b, a.match)
			flags(a.knows)
		}
		b = appendEntries(b, p.log[:p.last])
	}
	b = append(b, w.lost, byte(w.spare), byte(w.campaigns), byte(w.commands), byte(w.restarts), byte(w.wipes), byte(w.freezes), byte(w.ends), byte(w.losses))
	b = appendEntries(b, w.committed[:w.nCommitted])
	return append(b, w.leaders[:]...)
}

func appendEntries(b []byte, es []modelEntry) []byte {
	for _, e := range es {
		b = append(b, e.term, e.command)
		b = binary.LittleEndian.AppendUint16(b, e.set.voters)
		b = binary.LittleEndian.AppendUint16(b, e.set.learners)
	}
	return append(b, 0xff)
}

// String describes a state for the report of a violation.
func (w *modelWorld) String() string {
	var b strings.Builder
	names := func(set uint16) (out []string) {
		for _, d := range disksIn(set) {
			out = append(out, diskName(d))
		}
		return out
	}
	for i := range w.p {
		p := &w.p[i]
		if p.last == 0 && !p.up {
			continue
		}
		set, at := p.inForce()
		fmt.Fprintf(&b, "  %s: up %v frozen %v leads %v term %d log %d commit %d; voters %v learners %v since %d; replaced %v\n",
			diskName(p.disk(i)), p.up, p.frozen, p.leads, p.term, p.last, p.commit, names(set.voters), names(set.learners), at, names(p.replaced))
	}
	return b.String()
}
