package storage

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/pebble/v2/record"
	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// sequenceSize is the length of the big-endian sequence number before each batch.
	sequenceSize = 8
	// blockSize is the unit in which the framing aligns records.
	blockSize = 32 << 10
	// plausibleGap bounds how far after a damaged record a later one may be.
	plausibleGap = 1 << 32
)

// readLog calls take for each batch of one log file, the first of which must
// have the sequence next. It returns the sequence that follows, with which the
// next file must begin: that finds a synced last record that was damaged in any
// file but the newest.
func readLog(data []byte, next uint64, take func(*pb.LogBatch) error) (uint64, error) {
	rr := record.NewReader(bytes.NewReader(data), 0)
	for {
		at := rr.Offset()
		b, err := readBatch(rr)
		if err == io.EOF {
			return next, nil
		}
		if err != nil {
			return next, tornOrDamaged(data, at, next, err)
		}
		if b.Sequence != next {
			return next, errkind.New(errkind.DamagedStorage, "log record %d stands where %d belongs; %s", b.Sequence, next, wayOut)
		}
		if err := take(b); err != nil {
			return next, err
		}
		next++
	}
}

func readBatch(rr *record.Reader) (*pb.LogBatch, error) {
	r, err := rr.Next()
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	if len(data) < sequenceSize {
		return nil, io.ErrUnexpectedEOF
	}
	b := &pb.LogBatch{}
	if err := proto.Unmarshal(data[sequenceSize:], b); err != nil {
		return nil, err
	}
	if b.Sequence != binary.BigEndian.Uint64(data) {
		return nil, io.ErrUnexpectedEOF
	}
	return b, nil
}

// tornOrDamaged returns nil if the fault at offset is a torn tail.
func tornOrDamaged(data []byte, offset int64, next uint64, cause error) error {
	if later, ok := laterRecord(data, offset, next); ok {
		return errkind.Wrap(cause, errkind.DamagedStorage, "log record %d is damaged, and record %d after it shows that it was durable; %s", next, later, wayOut)
	}
	return nil
}

// laterRecord looks for the beginning of a valid record after next, which proves
// that next had been synced.
func laterRecord(data []byte, offset int64, next uint64) (uint64, bool) {
	for at := offset + 1; at < int64(len(data)); at++ {
		end := min((at/blockSize+1)*blockSize, int64(len(data)))
		if !plausibleChunk(data[at:end]) {
			continue
		}
		r, err := record.NewReader(bytes.NewReader(data[at:end]), 0).Next()
		if err != nil {
			continue
		}
		var head [sequenceSize]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			continue
		}
		if n := binary.BigEndian.Uint64(head[:]); n > next && n-next < plausibleGap {
			return n, true
		}
	}
	return 0, false
}

// plausibleChunk spares most offsets the cost of a reader: a chunk that begins
// a record has type 1 or 2 and fits its block.
func plausibleChunk(b []byte) bool {
	const header = 7
	if len(b) < header+sequenceSize || b[6] != 1 && b[6] != 2 {
		return false
	}
	return header+int(binary.LittleEndian.Uint16(b[4:6])) <= len(b)
}
