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

// maxRecordBytes limits the size of a record when a snapshot is read.
const maxRecordBytes = 64 << 20

// Snapshot writes the state as length-delimited records. It runs on the goroutine that
// applies commands, so that none is applied in the meantime.
func (s *State) Snapshot(w io.Writer) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	bw := bufio.NewWriterSize(w, 64<<10)
	writeRecord := func(r *statepb.Record) error {
		_, err := protodelim.MarshalTo(bw, r)
		return errors.Wrap(err, "write a snapshot")
	}
	if err := s.writeRecords(writeRecord); err != nil {
		return err
	}
	if err := writeRecord(&statepb.Record{Part: &statepb.Record_End{End: true}}); err != nil {
		return err
	}
	return errors.Wrap(bw.Flush(), "write a snapshot")
}

func (s *State) writeRecords(writeRecord func(*statepb.Record) error) error {
	header := &statepb.Header{Revision: s.rev.ToProto(), ClockMs: s.clockMs, Digest: s.digest, Fence: s.claims.fence, Settles: s.claims.settles}
	if err := writeRecord(&statepb.Record{Part: &statepb.Record_Header{Header: header}}); err != nil {
		return err
	}
	for _, o := range sortedObjects(s.objects) {
		if err := writeRecord(&statepb.Record{Part: &statepb.Record_Object{Object: o}}); err != nil {
			return err
		}
	}
	for _, h := range s.history.entries {
		if err := writeRecord(&statepb.Record{Part: &statepb.Record_History{History: h}}); err != nil {
			return err
		}
	}
	return s.claims.writeRecords(writeRecord)
}

func (c *claims) writeRecords(writeRecord func(*statepb.Record) error) error {
	for _, service := range slices.Sorted(maps.Keys(c.keyWatermark)) {
		h := &statepb.Horizon{Service: service, UnixMs: c.keyWatermark[service]}
		if err := writeRecord(&statepb.Record{Part: &statepb.Record_Horizon{Horizon: h}}); err != nil {
			return err
		}
	}
	buf := make([]byte, 0, len(c.expiredKeys.queue)*fingerprintSize)
	for _, p := range c.expiredKeys.queue {
		buf = append(buf, p[:]...)
	}
	if err := writeRecord(&statepb.Record{Part: &statepb.Record_Forgotten{Forgotten: buf}}); err != nil {
		return err
	}
	records := slices.Collect(maps.Values(c.byKey))
	slices.SortFunc(records, func(a, b *statepb.ClaimRecord) int { return cmp.Compare(a.Fence, b.Fence) })
	for _, r := range records {
		if err := writeRecord(&statepb.Record{Part: &statepb.Record_Claim{Claim: r}}); err != nil {
			return err
		}
	}
	return nil
}

// Restore replaces the state by that of a snapshot. On an error the state is unchanged.
func (s *State) Restore(r io.Reader) error {
	next := NewState()
	header, err := next.readRecords(bufio.NewReaderSize(r, 64<<10))
	if err != nil {
		return err
	}
	objs := sortedObjects(next.objects)
	set, err := config.FromObjects(config.RevisionFromProto(header.Revision), objs)
	if err != nil {
		return err
	}
	if next.digest != header.Digest {
		return errkind.New(errkind.DamagedStorage, "the digest of the snapshot's objects does not match its header")
	}
	next.claims.fence, next.claims.settles = header.Fence, header.Settles
	slices.SortFunc(next.claims.answered, func(a, b *statepb.ClaimRecord) int { return cmp.Compare(a.Settled, b.Settled) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockMs, s.objects, s.digest = header.ClockMs, next.objects, next.digest
	s.rev, s.decodedSet, s.changedKeys = set.Revision, set, map[config.ObjectKey]bool{}
	s.history, s.claims = next.history, next.claims
	return nil
}

func (s *State) readRecords(br *bufio.Reader) (*statepb.Header, error) {
	var header *statepb.Header
	opts := protodelim.UnmarshalOptions{MaxSize: maxRecordBytes}
	for {
		rec := &statepb.Record{}
		if err := opts.UnmarshalFrom(br, rec); err != nil {
			return nil, errkind.Wrap(err, errkind.DamagedStorage, "read a snapshot")
		}
		switch p := rec.Part.(type) {
		case *statepb.Record_Header:
			header = p.Header
		case *statepb.Record_Object:
			s.objects[keyOf(p.Object)] = p.Object
			s.digest += objectDigest(p.Object)
		case *statepb.Record_History:
			s.history.add(p.History)
		case *statepb.Record_Claim:
			s.claims.restoreRecord(p.Claim)
		case *statepb.Record_Forgotten:
			for b := p.Forgotten; len(b) >= fingerprintSize; b = b[fingerprintSize:] {
				s.claims.expiredKeys.add(keyFingerprint(b[:fingerprintSize]))
			}
		case *statepb.Record_Horizon:
			s.claims.keyWatermark[p.Horizon.Service] = p.Horizon.UnixMs
		case *statepb.Record_End:
			if header == nil {
				return nil, errkind.New(errkind.DamagedStorage, "the snapshot has no header")
			}
			return header, nil
		default:
			return nil, errkind.New(errkind.DamagedStorage, "the snapshot holds a record of a type that this version does not know")
		}
	}
}

func (c *claims) restoreRecord(r *statepb.ClaimRecord) {
	c.byKey[idOf(r.Key)] = r
	heap.Push(&c.byExpiry, r)
	if r.Answer != nil {
		c.answered = append(c.answered, r)
		c.answerBytes += len(r.Answer.Body)
	}
}

// beginEpoch moves a restored state to a new epoch that no node has seen.
func (s *State) beginEpoch(epoch uint64, unixMs int64) {
	rev := s.rev
	next := config.Revision{Epoch: max(rev.Epoch+1, epoch), Number: rev.Number + 1}
	s.rev = next
	s.clockMs = max(s.clockMs, unixMs)
	s.history.add(&statepb.History{Reversible: true, Entry: &controlpb.AuditEntry{
		Revision: next.ToProto(), Base: rev.ToProto(), UnixMs: unixMs, Actor: "restore", Action: "restore",
		ChangeId: fmt.Sprintf("restore-%d.%d", next.Epoch, next.Number), Comment: "restored from a snapshot; changes accepted after it are lost",
	}})
}
