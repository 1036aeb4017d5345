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
	// maxHistory limits the audit trail and the change ids. It covers about ten days at
	// 5,200 changes a day. A resend of a change that is no longer in the history fails
	// with a revision conflict; it is never accepted twice.
	maxHistory = 50_000
	// maxReversible limits the changes that can be undone to rebuild an older
	// configuration.
	maxReversible = 5_000
	// maxReversibleBytes limits the size of the object bodies kept for that purpose.
	maxReversibleBytes = 32 << 20
)

// history holds the accepted changes, oldest first.
type history struct {
	entries    []*statepb.History
	byChangeID map[string]*statepb.History
	// firstReversible is the index of the oldest entry that still holds object bodies.
	firstReversible int
	reversibleBytes int
}

func newHistory() history { return history{byChangeID: map[string]*statepb.History{}} }

func (h *history) add(e *statepb.History) {
	h.entries = append(h.entries, e)
	h.byChangeID[e.Entry.ChangeId] = e
	if e.Reversible {
		h.reversibleBytes += proto.Size(e)
	} else {
		h.firstReversible = len(h.entries)
	}
	for len(h.entries)-h.firstReversible > maxReversible || h.reversibleBytes > maxReversibleBytes && h.firstReversible < len(h.entries) {
		h.dropOldestBodies()
	}
	for len(h.entries) > maxHistory {
		old := h.entries[0]
		if h.byChangeID[old.Entry.ChangeId] == old {
			delete(h.byChangeID, old.Entry.ChangeId)
		}
		h.entries = h.entries[1:]
		h.firstReversible = max(0, h.firstReversible-1)
	}
}

// dropOldestBodies replaces the oldest entry that holds object bodies by one without
// them. It does not modify the old entry, because concurrent readers may still use it.
func (h *history) dropOldestBodies() {
	e := h.entries[h.firstReversible]
	h.reversibleBytes -= proto.Size(e)
	withoutBodies := &statepb.History{Entry: e.Entry, Hash: e.Hash}
	h.entries[h.firstReversible] = withoutBodies
	h.byChangeID[e.Entry.ChangeId] = withoutBodies
	h.firstReversible++
}

// Get returns the objects at a revision; nil means the newest revision.
func (s *State) Get(at *controlpb.Revision) (*controlpb.GetResponse, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	newest := s.rev
	if at == nil || config.RevisionFromProto(at) == newest {
		return &controlpb.GetResponse{Revision: newest.ToProto(), Objects: sortedObjects(s.objects)}, nil
	}
	want := config.RevisionFromProto(at)
	if newest.Less(want) {
		return nil, errkind.New(errkind.NotFound, "revision %d.%d does not exist; the newest is %d.%d", want.Epoch, want.Number, newest.Epoch, newest.Number)
	}
	objects := maps.Clone(s.objects)
	h := &s.history
	for i := len(h.entries) - 1; i >= h.firstReversible; i-- {
		undo(objects, h.entries[i])
		if config.RevisionFromProto(h.entries[i].Entry.Base) == want {
			return &controlpb.GetResponse{Revision: at, Objects: sortedObjects(objects)}, nil
		}
	}
	return nil, errkind.New(errkind.NotFound, "revision %d.%d can no longer be rebuilt: the changes since are not all kept", want.Epoch, want.Number)
}

func undo(objects map[config.ObjectKey]*controlpb.Object, h *statepb.History) {
	for _, k := range h.Created {
		delete(objects, config.ObjectKey{Kind: k.Kind, Name: k.Name})
	}
	for _, o := range h.Before {
		objects[keyOf(o)] = o
	}
}

// maxHistoryResponse limits the entries of one response.
const maxHistoryResponse = 1000

// History returns audit entries, newest first.
func (s *State) History(req *controlpb.HistoryRequest) *controlpb.HistoryResponse {
	s.mu.RLock()
	defer s.mu.RUnlock()
	limit := int(req.Limit)
	if limit == 0 || limit > maxHistoryResponse {
		limit = maxHistoryResponse
	}
	out := &controlpb.HistoryResponse{}
	for i := len(s.history.entries) - 1; i >= 0 && len(out.Entries) < limit; i-- {
		e := s.history.entries[i].Entry
		if req.Before == nil || config.RevisionFromProto(e.Revision).Less(config.RevisionFromProto(req.Before)) {
			out.Entries = append(out.Entries, e)
		}
	}
	return out
}
