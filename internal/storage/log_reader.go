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
	// blockSize is the block size of pebble's record format. No chunk of a record crosses
	// a block boundary.
	blockSize = 32 << 10
	// maxSequenceGap limits how far the sequence number of a later record may exceed that
	// of a damaged one. Anything further apart is not taken for a record.
	maxSequenceGap = 1 << 32
)

// readLog calls apply for each batch of one log file. The sequence number of the first
// batch must be next. readLog returns the number after the last batch, with which the
// next file must begin, and the size of the torn tail. The number detects damage to the
// last synced record of any file but the newest.
func readLog(data []byte, next uint64, apply func(*pb.LogBatch) error) (uint64, int64, error) {
	rr := record.NewReader(bytes.NewReader(data), 0)
	for {
		at := rr.Offset()
		b, err := readBatch(rr)
		if err == io.EOF {
			return next, 0, nil
		}
		if err != nil {
			return next, int64(len(data)) - at, damageError(data, at, next, err)
		}
		if b.Sequence != next {
			return next, 0, errkind.New(errkind.DamagedStorage, "log record has sequence number %d and %d was expected; %s", b.Sequence, next, repairHint)
		}
		if err := apply(b); err != nil {
			return next, 0, err
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

// damageError returns nil if the invalid record at offset is a torn tail, and an error
// of kind damaged-storage if a valid record follows it.
func damageError(data []byte, offset int64, next uint64, cause error) error {
	if later, ok := findLaterRecord(data, offset, next); ok {
		return errkind.Wrap(cause, errkind.DamagedStorage, "log record %d is damaged, and the valid record %d after it proves that it was synced; %s", next, later, repairHint)
	}
	return nil
}

// findLaterRecord looks for the start of a valid record with a sequence number above
// next. Such a record proves that record next was synced.
func findLaterRecord(data []byte, offset int64, next uint64) (uint64, bool) {
	for at := offset + 1; at < int64(len(data)); at++ {
		end := min((at/blockSize+1)*blockSize, int64(len(data)))
		if !mayStartRecord(data[at:end]) {
			continue
		}
		r, err := record.NewReader(bytes.NewReader(data[at:end]), 0).Next()
		if err != nil {
			continue
		}
		var header [sequenceSize]byte
		if _, err := io.ReadFull(r, header[:]); err != nil {
			continue
		}
		if n := binary.BigEndian.Uint64(header[:]); n > next && n-next < maxSequenceGap {
			return n, true
		}
	}
	return 0, false
}

// mayStartRecord is a cheap check that rejects most offsets without creating a reader.
// A chunk that starts a record has type 1 or 2 and ends within its block.
func mayStartRecord(b []byte) bool {
	const header = 7
	if len(b) < header+sequenceSize || b[6] != 1 && b[6] != 2 {
		return false
	}
	return header+int(binary.LittleEndian.Uint16(b[4:6])) <= len(b)
}
