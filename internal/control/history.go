package control

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/statepb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// maxHistory bounds the audit trail and the change ids: about ten days at
	// 5,200 changes a day. A forgotten change that is resent meets a revision
	// conflict, never a second acceptance.
	maxHistory = 50_000
	// maxReversible bounds the changes that older configurations are rebuilt from.
	maxReversible = 5_000
	// maxReversibleBytes bounds the bodies kept for that.
	maxReversibleBytes = 32 << 20
)

// history is the accepted changes, oldest first.
type history struct {
	entries  []*statepb.History
	byChange map[string]*statepb.History
	// reversible is the index of the oldest entry that still holds bodies.
	reversible int
	bytes      int
}

func newHistory() history { return history{byChange: map[string]*statepb.History{}} }

func (h *history) add(e *statepb.History) {
	h.entries = append(h.entries, e)
	h.byChange[e.Entry.ChangeId] = e
	if e.Reversible {
		h.bytes += proto.Size(e)
	} else {
		h.reversible = len(h.entries)
	}
	for len(h.entries)-h.reversible > maxReversible || h.bytes > maxReversibleBytes && h.reversible < len(h.entries) {
		h.forgetBodies()
	}
	for len(h.entries) > maxHistory {
		old := h.entries[0]
		if h.byChange[old.Entry.ChangeId] == old {
			delete(h.byChange, old.Entry.ChangeId)
		}
		h.entries = h.entries[1:]
		h.reversible = max(0, h.reversible-1)
	}
}

// forgetBodies replaces the oldest entry with bodies by one without: readers may
// hold the old one.
func (h *history) forgetBodies() {
	e := h.entries[h.reversible]
	h.bytes -= proto.Size(e)
	bare := &statepb.History{Entry: e.Entry, Hash: e.Hash}
	h.entries[h.reversible] = bare
	h.byChange[e.Entry.ChangeId] = bare
	h.reversible++
}

// Get returns the objects at a revision; nil means the newest.
func (s *State) Get(at *controlpb.Revision) (*controlpb.GetResponse, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	now := s.rev
	if at == nil || config.FromPB(at) == now {
		return &controlpb.GetResponse{Revision: now.PB(), Objects: sorted(s.objects)}, nil
	}
	want := config.FromPB(at)
	if now.Less(want) {
		return nil, errkind.New(errkind.NotFound, "revision %d.%d does not exist; the newest is %d.%d", want.Epoch, want.Number, now.Epoch, now.Number)
	}
	objects := maps.Clone(s.objects)
	h := &s.history
	for i := len(h.entries) - 1; i >= h.reversible; i-- {
		undo(objects, h.entries[i])
		if config.FromPB(h.entries[i].Entry.Base) == want {
			return &controlpb.GetResponse{Revision: at, Objects: sorted(objects)}, nil
		}
	}
	return nil, errkind.New(errkind.NotFound, "revision %d.%d is no longer kept", want.Epoch, want.Number)
}

func undo(objects map[config.Key]*controlpb.Object, h *statepb.History) {
	for _, k := range h.Created {
		delete(objects, config.Key{Kind: k.Kind, Name: k.Name})
	}
	for _, o := range h.Before {
		objects[keyOf(o)] = o
	}
}

// maxHistoryAnswer bounds the entries of one answer.
const maxHistoryAnswer = 1000

// History returns audit entries, newest first.
func (s *State) History(req *controlpb.HistoryRequest) *controlpb.HistoryResponse {
	s.mu.RLock()
	defer s.mu.RUnlock()
	limit := int(req.Limit)
	if limit == 0 || limit > maxHistoryAnswer {
		limit = maxHistoryAnswer
	}
	out := &controlpb.HistoryResponse{}
	for i := len(s.history.entries) - 1; i >= 0 && len(out.Entries) < limit; i-- {
		e := s.history.entries[i].Entry
		if req.Before == nil || config.FromPB(e.Revision).Less(config.FromPB(req.Before)) {
			out.Entries = append(out.Entries, e)
		}
	}
	return out
}
