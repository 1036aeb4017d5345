package dispatch

import (
	"crypto/rand"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	idRandomBytes = 16
	idHintSep     = "~"
	maxRequestID  = 512
)

// newBaseID returns the part of a request id that is known before a server is
// chosen: random, then a check on the workspace. The random part is what keeps
// one workspace from resuming another's stream.
func newBaseID(workspace string) string {
	var b [idRandomBytes]byte
	_, _ = rand.Read(b[:])
	random := hex.EncodeToString(b[:])
	return random + "-" + workspaceTag(random, workspace)
}

func workspaceTag(random, workspace string) string {
	sum := xxhash.Sum64String(random + workspace)
	return hex.EncodeToString([]byte{byte(sum >> 56), byte(sum >> 48), byte(sum >> 40), byte(sum >> 32)})
}

// withServer adds where the request runs, so that any router can find it.
func withServer(base, service, dataCentre, server string) string {
	return base + idHintSep + service + idHintSep + dataCentre + idHintSep + server
}

// baseOf returns the part of a request id that stays the same over its attempts.
func baseOf(id string) string {
	base, _, _ := strings.Cut(id, idHintSep)
	return base
}

// streamRef is what a request id says of a stream.
type streamRef struct {
	id         string
	service    string
	dataCentre string
	server     string
}

// parseStreamRef reads a request id and checks that it belongs to the workspace.
func parseStreamRef(id, workspace string) (streamRef, error) {
	bad := errkind.New(errkind.NotFound, "no stream has this request id")
	if len(id) > maxRequestID {
		return streamRef{}, bad
	}
	parts := strings.Split(id, idHintSep)
	if len(parts) != 4 || parts[1] == "" || parts[2] == "" || parts[3] == "" {
		return streamRef{}, bad
	}
	random, tag, found := strings.Cut(parts[0], "-")
	if !found || len(random) != 2*idRandomBytes || tag != workspaceTag(random, workspace) {
		return streamRef{}, bad
	}
	for i := range len(id) {
		if !isIDByte(id[i]) {
			return streamRef{}, bad
		}
	}
	return streamRef{id: id, service: parts[1], dataCentre: parts[2], server: parts[3]}, nil
}

func isIDByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}
