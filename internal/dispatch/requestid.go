package dispatch

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	idRandomBytes     = 16
	idPartSeparator   = "~"
	maxRequestIDBytes = 512
	// deadlineMark begins the deadline in a request id. It encodes to "_", which is no hexadecimal digit.
	deadlineMark = 0xff << 56
)

// idEncoding encodes the random part of a request id together with a deadline in as many bytes as hexadecimal digits
// take without one: routers of the release before check the length, and resume such streams as well.
var idEncoding = base64.NewEncoding("0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz._").WithPadding(base64.NoPadding)

// newBaseID returns the part of a request id that is known before a server is
// chosen: a random part, then a checksum of it with the workspace. The random
// part prevents one workspace from resuming another's stream.
func newBaseID(workspace string) string {
	var b [idRandomBytes]byte
	_, _ = rand.Read(b[:])
	random := hex.EncodeToString(b[:])
	return random + "-" + workspaceChecksum(random, workspace)
}

// newBaseIDWithDeadline returns the base id of a request whose server may stop work at stopsAt. The router through which
// a client resumes the stream tells the end of the run from the stop by it.
func newBaseIDWithDeadline(workspace string, stopsAt time.Time) string {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 8+idRandomBytes), deadlineMark|uint64(stopsAt.UnixMilli()))
	b = b[:cap(b)]
	_, _ = rand.Read(b[8:])
	random := idEncoding.EncodeToString(b)
	return random + "-" + workspaceChecksum(random, workspace)
}

// stopsAtOf returns the time that a base id names; zero if it names none.
func stopsAtOf(random string) time.Time {
	b, err := idEncoding.DecodeString(random)
	if err != nil || len(b) != 8+idRandomBytes || b[0] != deadlineMark>>56 {
		return time.Time{}
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b) &^ deadlineMark))
}

func workspaceChecksum(random, workspace string) string {
	sum := xxhash.Sum64String(random + workspace)
	return hex.EncodeToString([]byte{byte(sum >> 56), byte(sum >> 48), byte(sum >> 40), byte(sum >> 32)})
}

// requestIDWithServer appends the server of the run, so that any router can find
// it.
func requestIDWithServer(base, service, dataCentre, server string) string {
	return base + idPartSeparator + service + idPartSeparator + dataCentre + idPartSeparator + server
}

// baseIDOf returns the part of a request id that is the same for all attempts.
func baseIDOf(id string) string {
	base, _, _ := strings.Cut(id, idPartSeparator)
	return base
}

// streamRef is the location of a stream as stated by a request id.
type streamRef struct {
	id         string
	service    string
	dataCentre string
	server     string
	// stopsAt is the earliest instant at which the server may stop work, by the clock of the router that sent the
	// request; zero if the id is one of the release before.
	stopsAt time.Time
}

// parseStreamRef parses a request id and checks that it belongs to the workspace.
func parseStreamRef(id, workspace string) (streamRef, error) {
	notFound := errkind.New(errkind.NotFound, "no stream has this request id")
	if len(id) > maxRequestIDBytes {
		return streamRef{}, notFound
	}
	parts := strings.Split(id, idPartSeparator)
	if len(parts) != 4 || parts[1] == "" || parts[2] == "" || parts[3] == "" {
		return streamRef{}, notFound
	}
	random, tag, found := strings.Cut(parts[0], "-")
	if !found || len(random) != 2*idRandomBytes || tag != workspaceChecksum(random, workspace) {
		return streamRef{}, notFound
	}
	for i := range len(id) {
		if !isIDByte(id[i]) {
			return streamRef{}, notFound
		}
	}
	return streamRef{id: id, service: parts[1], dataCentre: parts[2], server: parts[3], stopsAt: stopsAtOf(random)}, nil
}

func isIDByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}
