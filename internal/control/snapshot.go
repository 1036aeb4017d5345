package control

import (
	"bufio"
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/statepb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// maxRecordBytes bounds one record of a snapshot that is read.
const maxRecordBytes = 64 << 20

// Snapshot writes the state as length-delimited records. It runs on the
// goroutine that applies, so that no command comes in between.
func (s *State) Snapshot(w io.Writer) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	bw := bufio.NewWriterSize(w, 64<<10)
	put := func(r *statepb.Record) error {
		_, err := protodelim.MarshalTo(bw, r)
		return errors.Wrap(err, "write a snapshot")
	}
	if err := s.write(put); err != nil {
		return err
	}
	if err := put(&statepb.Record{Part: &statepb.Record_End{End: true}}); err != nil {
		return err
	}
	return errors.Wrap(bw.Flush(), "write a snapshot")
}

func (s *State) write(put func(*statepb.Record) error) error {
	head := &statepb.Header{Revision: s.rev.PB(), ClockMs: s.clockMs, Digest: s.digest, Fence: s.claims.fence, Settles: s.claims.settles}
	if err := put(&statepb.Record{Part: &statepb.Record_Header{Header: head}}); err != nil {
		return err
	}
	for _, o := range sorted(s.objects) {
		if err := put(&statepb.Record{Part: &statepb.Record_Object{Object: o}}); err != nil {
			return err
		}
	}
	for _, h := range s.history.entries {
		if err := put(&statepb.Record{Part: &statepb.Record_History{History: h}}); err != nil {
			return err
		}
	}
	return s.claims.write(put)
}

func (c *claims) write(put func(*statepb.Record) error) error {
	for _, service := range slices.Sorted(maps.Keys(c.horizon)) {
		h := &statepb.Horizon{Service: service, UnixMs: c.horizon[service]}
		if err := put(&statepb.Record{Part: &statepb.Record_Horizon{Horizon: h}}); err != nil {
			return err
		}
	}
	buf := make([]byte, 0, len(c.forgotten.queue)*fingerprintSize)
	for _, p := range c.forgotten.queue {
		buf = append(buf, p[:]...)
	}
	if err := put(&statepb.Record{Part: &statepb.Record_Forgotten{Forgotten: buf}}); err != nil {
		return err
	}
	records := slices.Collect(maps.Values(c.byKey))
	slices.SortFunc(records, func(a, b *statepb.ClaimRecord) int { return cmp.Compare(a.Fence, b.Fence) })
	for _, r := range records {
		if err := put(&statepb.Record{Part: &statepb.Record_Claim{Claim: r}}); err != nil {
			return err
		}
	}
	return nil
}

// Restore replaces the state by a snapshot's. On an error the state is as before.
func (s *State) Restore(r io.Reader) error {
	next := NewState()
	head, err := next.read(bufio.NewReaderSize(r, 64<<10))
	if err != nil {
		return err
	}
	objs := sorted(next.objects)
	set, err := config.FromObjects(config.FromPB(head.Revision), objs)
	if err != nil {
		return err
	}
	if next.digest != head.Digest {
		return errkind.New(errkind.DamagedStorage, "the snapshot's objects do not agree with its digest")
	}
	next.claims.fence, next.claims.settles = head.Fence, head.Settles
	slices.SortFunc(next.claims.answered, func(a, b *statepb.ClaimRecord) int { return cmp.Compare(a.Settled, b.Settled) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockMs, s.objects, s.digest = head.ClockMs, next.objects, next.digest
	s.rev, s.decoded, s.pending = set.Revision, set, map[config.Key]bool{}
	s.history, s.claims = next.history, next.claims
	return nil
}

func (s *State) read(br *bufio.Reader) (*statepb.Header, error) {
	var head *statepb.Header
	opts := protodelim.UnmarshalOptions{MaxSize: maxRecordBytes}
	for {
		rec := &statepb.Record{}
		if err := opts.UnmarshalFrom(br, rec); err != nil {
			return nil, errkind.Wrap(err, errkind.DamagedStorage, "read a snapshot")
		}
		switch p := rec.Part.(type) {
		case *statepb.Record_Header:
			head = p.Header
		case *statepb.Record_Object:
			s.objects[keyOf(p.Object)] = p.Object
			s.digest += objectDigest(p.Object)
		case *statepb.Record_History:
			s.history.add(p.History)
		case *statepb.Record_Claim:
			s.claims.restore(p.Claim)
		case *statepb.Record_Forgotten:
			for b := p.Forgotten; len(b) >= fingerprintSize; b = b[fingerprintSize:] {
				s.claims.forgotten.add(keyPrint(b[:fingerprintSize]))
			}
		case *statepb.Record_Horizon:
			s.claims.horizon[p.Horizon.Service] = p.Horizon.UnixMs
		case *statepb.Record_End:
			if head == nil {
				return nil, errkind.New(errkind.DamagedStorage, "the snapshot has no header")
			}
			return head, nil
		default:
			return nil, errkind.New(errkind.DamagedStorage, "the snapshot holds a record that this program does not know")
		}
	}
}

func (c *claims) restore(r *statepb.ClaimRecord) {
	c.byKey[idOf(r.Key)] = r
	heap.Push(&c.order, r)
	if r.Answer != nil {
		c.answered = append(c.answered, r)
		c.answerBytes += len(r.Answer.Body)
	}
}

// beginEpoch gives a restored state an epoch that no node has seen.
func (s *State) beginEpoch(epoch uint64, unixMs int64) {
	rev := s.rev
	next := config.Revision{Epoch: max(rev.Epoch+1, epoch), Number: rev.Number + 1}
	s.rev = next
	s.clockMs = max(s.clockMs, unixMs)
	s.history.add(&statepb.History{Reversible: true, Entry: &controlpb.AuditEntry{
		Revision: next.PB(), Base: rev.PB(), UnixMs: unixMs, Actor: "restore", Action: "restore",
		ChangeId: fmt.Sprintf("restore-%d.%d", next.Epoch, next.Number), Comment: "restored from a snapshot; changes accepted after it are lost",
	}})
}
