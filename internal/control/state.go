package control

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/statepb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// State is the replicated state of the control group. Commands must be applied
// by one goroutine; reads are safe beside it.
type State struct {
	mu sync.RWMutex
	// clockMs is the highest time that a command has carried.
	clockMs int64
	objects map[config.Key]*controlpb.Object
	digest  uint64
	rev     config.Revision
	// decoded is the set at an earlier revision, and pending the keys that have
	// changed since: decoding costs the size of the set, a change only its own.
	decoded *config.Set
	pending map[config.Key]bool
	history history
	claims  claims
}

// NewState returns an empty state at revision 0 of epoch 1.
func NewState() *State {
	return &State{
		objects: map[config.Key]*controlpb.Object{},
		rev:     config.Revision{Epoch: 1},
		decoded: config.NewSet(config.Revision{Epoch: 1}),
		pending: map[config.Key]bool{},
		history: newHistory(),
		claims:  newClaims(),
	}
}

// result is what a command answers: a response message or an error.
type result struct {
	msg proto.Message
	err error
}

// Apply takes one command in. It is deterministic.
func (s *State) Apply(data []byte) any {
	cmd := &statepb.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return result{err: errkind.Wrap(err, errkind.Internal, "unreadable command")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockMs = max(s.clockMs, cmd.UnixMs)
	switch op := cmd.Op.(type) {
	case *statepb.Command_Change:
		return s.change(op.Change)
	case *statepb.Command_Claim:
		return s.claims.claim(op.Claim, s.clockMs)
	case *statepb.Command_Settle:
		return s.claims.settle(op.Settle, s.clockMs)
	}
	return result{err: errkind.New(errkind.Internal, "unknown command; this program is older than the leader's")}
}

func (s *State) change(c *statepb.Change) result {
	req := c.Request
	if r, known := s.repeated(req); known {
		return r
	}
	if config.FromPB(req.Base) != s.rev {
		return result{err: s.conflict(req)}
	}
	next := nextRevision(s.rev)
	digest := s.digestAfter(req)
	if digest != c.Digest {
		return result{err: errkind.New(errkind.PromiseBroken, "the set at revision %d.%d is not the one that was checked", next.Epoch, next.Number)}
	}
	if _, err := config.NewSet(next).Apply(next, req.Upserts, nil); err != nil {
		return result{err: err}
	}
	h := s.replace(req)
	h.Hash = changeHash(req)
	h.Entry = auditEntry(c, next, s.clockMs)
	s.rev, s.digest = next, digest
	s.history.add(h)
	return result{msg: &controlpb.ApplyResponse{Revision: next.PB()}}
}

// repeated answers a change id that was accepted before.
func (s *State) repeated(req *controlpb.ApplyRequest) (result, bool) {
	h := s.history.byChange[req.ChangeId]
	if h == nil {
		return result{}, false
	}
	if !slices.Equal(h.Hash, changeHash(req)) {
		return result{err: errkind.New(errkind.ChangeConflict, "change id %q was used for another change, at revision %d.%d", req.ChangeId, h.Entry.Revision.Epoch, h.Entry.Revision.Number)}, true
	}
	return result{msg: &controlpb.ApplyResponse{Revision: h.Entry.Revision, RepeatedChange: true}}, true
}

func (s *State) conflict(req *controlpb.ApplyRequest) error {
	now, base := s.rev, config.FromPB(req.Base)
	return errkind.New(errkind.RevisionConflict, "the change was made from revision %d.%d, the newest is %d.%d", base.Epoch, base.Number, now.Epoch, now.Number)
}

func nextRevision(r config.Revision) config.Revision {
	return config.Revision{Epoch: r.Epoch, Number: r.Number + 1}
}

func auditEntry(c *statepb.Change, at config.Revision, unixMs int64) *controlpb.AuditEntry {
	req := c.Request
	e := &controlpb.AuditEntry{
		Revision: at.PB(), Base: req.Base, ChangeId: req.ChangeId, Actor: c.Actor,
		Action: req.Action, Comment: req.Comment, UnixMs: unixMs, Deleted: req.Deletes,
	}
	for _, o := range req.Upserts {
		e.Upserted = append(e.Upserted, &controlpb.ObjectKey{Kind: o.Kind, Name: o.Name})
	}
	return e
}

// replace makes the change to the objects and returns how to undo it.
func (s *State) replace(req *controlpb.ApplyRequest) *statepb.History {
	h := &statepb.History{Reversible: true}
	for _, d := range req.Deletes {
		k := config.Key{Kind: d.Kind, Name: d.Name}
		if o := s.objects[k]; o != nil {
			h.Before = append(h.Before, o)
			delete(s.objects, k)
			s.pending[k] = true
		}
	}
	for _, o := range req.Upserts {
		k := keyOf(o)
		if old := s.objects[k]; old != nil {
			h.Before = append(h.Before, old)
		} else {
			h.Created = append(h.Created, &controlpb.ObjectKey{Kind: o.Kind, Name: o.Name})
		}
		s.objects[k] = o
		s.pending[k] = true
	}
	return h
}

func keyOf(o *controlpb.Object) config.Key { return config.Key{Kind: o.Kind, Name: o.Name} }

// digestAfter returns the digest of the whole set after the change. It is a sum
// over the objects, so that a change costs its own size only.
func (s *State) digestAfter(req *controlpb.ApplyRequest) uint64 {
	d := s.digest
	gone := map[config.Key]bool{}
	drop := func(k config.Key) {
		if o := s.objects[k]; o != nil && !gone[k] {
			d -= objectDigest(o)
			gone[k] = true
		}
	}
	for _, k := range req.Deletes {
		drop(config.Key{Kind: k.Kind, Name: k.Name})
	}
	for _, o := range req.Upserts {
		drop(keyOf(o))
		d += objectDigest(o)
	}
	return d
}

func objectDigest(o *controlpb.Object) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(o.Kind + "\x00" + o.Name + "\x00")
	_, _ = h.Write(o.Body)
	return h.Sum64()
}

// changeHash tells a resend from another change under the same id.
func changeHash(req *controlpb.ApplyRequest) []byte {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(req)
	sum := sha256.Sum256(data)
	return sum[:]
}

// Newest returns the decoded set in force. It must not be changed.
func (s *State) Newest() *config.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest()
}

// newest brings the decoded set up to date.
func (s *State) newest() *config.Set {
	if s.decoded.Revision == s.rev {
		return s.decoded
	}
	var upserts []*controlpb.Object
	var deletes []*controlpb.ObjectKey
	for k := range s.pending {
		if o := s.objects[k]; o != nil {
			upserts = append(upserts, o)
		} else {
			deletes = append(deletes, &controlpb.ObjectKey{Kind: k.Kind, Name: k.Name})
		}
	}
	set, err := s.decoded.Apply(s.rev, upserts, deletes)
	if err != nil {
		// Each object was decoded once before it was taken in.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "decode the set at revision %d", s.rev.Number))
	}
	s.decoded = set
	clear(s.pending)
	return set
}

// Revision returns the revision in force.
func (s *State) Revision() config.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rev
}

// sorted returns the objects by kind and name.
func sorted(objects map[config.Key]*controlpb.Object) []*controlpb.Object {
	out := make([]*controlpb.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *controlpb.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}
