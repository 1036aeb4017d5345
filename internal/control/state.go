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

// State is the replicated state of the control group. Only one goroutine may apply
// commands; reads are safe for concurrent use with it.
type State struct {
	mu sync.RWMutex
	// clockMs is the latest time, in Unix ms, that a command has carried.
	clockMs int64
	objects map[config.ObjectKey]*controlpb.Object
	digest  uint64
	rev     config.Revision
	// decodedSet is the decoded configuration at this or an earlier revision, and
	// changedKeys are the keys that changed since. Only the changed objects are decoded
	// for the next set, so that the cost of decoding is proportional to the change and
	// not to the whole configuration.
	decodedSet  *config.Set
	changedKeys map[config.ObjectKey]bool
	history     history
	claims      claims
}

// NewState returns an empty state at revision 0 of epoch 1.
func NewState() *State {
	return &State{
		objects:     map[config.ObjectKey]*controlpb.Object{},
		rev:         config.Revision{Epoch: 1},
		decodedSet:  config.NewSet(config.Revision{Epoch: 1}),
		changedKeys: map[config.ObjectKey]bool{},
		history:     newHistory(),
		claims:      newClaims(),
	}
}

// result is the result of a command: a response message or an error.
type result struct {
	msg proto.Message
	err error
}

// Apply applies one command. It is deterministic.
func (s *State) Apply(data []byte) any {
	cmd := &statepb.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return result{err: errkind.Wrap(err, errkind.Internal, "decode the command")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockMs = max(s.clockMs, cmd.UnixMs)
	switch op := cmd.Op.(type) {
	case *statepb.Command_Change:
		return s.applyCheckedChange(op.Change)
	case *statepb.Command_Claim:
		return s.claims.claim(op.Claim, s.clockMs)
	case *statepb.Command_Settle:
		return s.claims.settle(op.Settle, s.clockMs)
	}
	return result{err: errkind.New(errkind.Internal, "unknown command; this process runs an older version than the leader")}
}

func (s *State) applyCheckedChange(c *statepb.Change) result {
	req := c.Request
	if r, known := s.previousResult(req); known {
		return r
	}
	if config.RevisionFromProto(req.Base) != s.rev {
		return result{err: s.conflictError(req)}
	}
	next := nextRevision(s.rev)
	digest := s.digestAfter(req)
	if digest != c.Digest {
		return result{err: errkind.New(errkind.PromiseBroken, "the configuration at revision %d.%d is not the one that the leader checked: the digests differ", next.Epoch, next.Number)}
	}
	if _, err := config.NewSet(next).Apply(next, req.Upserts, nil); err != nil {
		return result{err: err}
	}
	h := s.updateObjects(req)
	h.Hash = changeHash(req)
	h.Entry = auditEntry(c, next, s.clockMs)
	s.rev, s.digest = next, digest
	s.history.add(h)
	return result{msg: &controlpb.ApplyResponse{Revision: next.ToProto()}}
}

// previousResult returns the result for a change id that was accepted before, and false
// for any other.
func (s *State) previousResult(req *controlpb.ApplyRequest) (result, bool) {
	h := s.history.byChangeID[req.ChangeId]
	if h == nil {
		return result{}, false
	}
	if !slices.Equal(h.Hash, changeHash(req)) {
		return result{err: errkind.New(errkind.ChangeConflict, "change id %q was used for another change, at revision %d.%d", req.ChangeId, h.Entry.Revision.Epoch, h.Entry.Revision.Number)}, true
	}
	return result{msg: &controlpb.ApplyResponse{Revision: h.Entry.Revision, RepeatedChange: true}}, true
}

func (s *State) conflictError(req *controlpb.ApplyRequest) error {
	newest, base := s.rev, config.RevisionFromProto(req.Base)
	return errkind.New(errkind.RevisionConflict, "the change was made from revision %d.%d, the newest is %d.%d", base.Epoch, base.Number, newest.Epoch, newest.Number)
}

func nextRevision(r config.Revision) config.Revision {
	return config.Revision{Epoch: r.Epoch, Number: r.Number + 1}
}

func auditEntry(c *statepb.Change, at config.Revision, unixMs int64) *controlpb.AuditEntry {
	req := c.Request
	e := &controlpb.AuditEntry{
		Revision: at.ToProto(), Base: req.Base, ChangeId: req.ChangeId, Actor: c.Actor,
		Action: req.Action, Comment: req.Comment, UnixMs: unixMs, Deleted: req.Deletes,
	}
	for _, o := range req.Upserts {
		e.Upserted = append(e.Upserted, &controlpb.ObjectKey{Kind: o.Kind, Name: o.Name})
	}
	return e
}

// updateObjects applies the change to the objects and returns the history entry that
// undoes it.
func (s *State) updateObjects(req *controlpb.ApplyRequest) *statepb.History {
	h := &statepb.History{Reversible: true}
	for _, d := range req.Deletes {
		k := config.ObjectKey{Kind: d.Kind, Name: d.Name}
		if o := s.objects[k]; o != nil {
			h.Before = append(h.Before, o)
			delete(s.objects, k)
			s.changedKeys[k] = true
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
		s.changedKeys[k] = true
	}
	return h
}

func keyOf(o *controlpb.Object) config.ObjectKey { return config.ObjectKey{Kind: o.Kind, Name: o.Name} }

// digestAfter returns the digest of the whole configuration after the change. The digest
// is the sum of the objects' digests, so that the cost depends only on the size of the
// change.
func (s *State) digestAfter(req *controlpb.ApplyRequest) uint64 {
	d := s.digest
	subtracted := map[config.ObjectKey]bool{}
	subtract := func(k config.ObjectKey) {
		if o := s.objects[k]; o != nil && !subtracted[k] {
			d -= objectDigest(o)
			subtracted[k] = true
		}
	}
	for _, k := range req.Deletes {
		subtract(config.ObjectKey{Kind: k.Kind, Name: k.Name})
	}
	for _, o := range req.Upserts {
		subtract(keyOf(o))
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

// changeHash returns a hash that distinguishes a resend from another change with the
// same id.
func changeHash(req *controlpb.ApplyRequest) []byte {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(req)
	sum := sha256.Sum256(data)
	return sum[:]
}

// Newest returns the newest configuration. The caller must not modify it.
func (s *State) Newest() *config.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestLocked()
}

// newestLocked brings decodedSet up to date and returns it. The caller holds mu.
func (s *State) newestLocked() *config.Set {
	if s.decodedSet.Revision == s.rev {
		return s.decodedSet
	}
	var upserts []*controlpb.Object
	var deletes []*controlpb.ObjectKey
	for k := range s.changedKeys {
		if o := s.objects[k]; o != nil {
			upserts = append(upserts, o)
		} else {
			deletes = append(deletes, &controlpb.ObjectKey{Kind: k.Kind, Name: k.Name})
		}
	}
	set, err := s.decodedSet.Apply(s.rev, upserts, deletes)
	if err != nil {
		// Cannot happen: each object was decoded before it was added to the state.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "decode the configuration at revision %d", s.rev.Number))
	}
	s.decodedSet = set
	clear(s.changedKeys)
	return set
}

// Revision returns the newest revision.
func (s *State) Revision() config.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rev
}

// sortedObjects returns the objects ordered by kind and name.
func sortedObjects(objects map[config.ObjectKey]*controlpb.Object) []*controlpb.Object {
	out := make([]*controlpb.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *controlpb.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}
