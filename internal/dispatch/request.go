package dispatch

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const maxKeyBytes = 255

// request is a caller's request mapped to a declared route.
type request struct {
	id        string
	set       *config.Set
	route     *treatment
	limits    limits
	workspace string
	model     string
	// chat is the hash of workspace and chat identity; of the request id without one.
	chat uint64
	// key is the idempotency key, empty on repeatable routes.
	key  string
	body []byte
	http *http.Request
	// keyed is true if the workspace's callers show a key, which stays at the router.
	keyed bool
}

// mapRequest maps a request with its body, already bounded, to its route.
func mapRequest(set *config.Set, route *treatment, r *http.Request, body []byte, id string) (*request, error) {
	ids := identitiesOf(route.service)
	fields, err := readFields(body, ids.fields())
	if err != nil {
		return nil, err
	}
	q := &request{id: id, set: set, route: route, body: body, http: r}
	if q.workspace, err = find(ids.workspace, r.Header, fields); err != nil {
		return nil, err
	}
	ws, err := authorise(set, route.service.Name, q.workspace, r.Header)
	if err != nil {
		return nil, err
	}
	q.keyed = ws.KeyHash != ""
	q.limits = limitsFor(set, route.service, ws)
	if q.model, err = modelOf(route.service, ids.model, r.Header, fields); err != nil {
		return nil, err
	}
	chat, err := find(ids.chat, r.Header, fields)
	if err != nil {
		return nil, err
	}
	q.chat = chatHash(q.workspace, chat, id)
	return q, q.readKey()
}

// authorise checks that the workspace is declared, may use the service, and has
// shown its key where one is declared.
func authorise(set *config.Set, service, name string, h http.Header) (*config.Workspace, error) {
	ws := set.Workspaces[name]
	if ws == nil {
		return nil, errkind.New(errkind.UnknownWorkspace, "no such workspace")
	}
	if ws.KeyHash != "" && !bearerMatches(h, ws.KeyHash) {
		return nil, errkind.New(errkind.Unauthenticated, "the workspace's callers must show its key as a bearer token")
	}
	if len(ws.Services) > 0 && !slices.Contains(ws.Services, service) {
		return nil, errkind.New(errkind.UnknownWorkspace, "the workspace may not use service %s", service)
	}
	return ws, nil
}

func bearerMatches(h http.Header, keyHash string) bool {
	lines := h.Values("Authorization")
	if len(lines) != 1 {
		return false
	}
	scheme, key, _ := strings.Cut(lines[0], " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(keyHash))) == 1
}

func modelOf(svc *config.Service, id config.Identity, h http.Header, f bodyFields) (string, error) {
	if svc.Type != config.Model {
		return "", nil
	}
	model, err := find(id, h, f)
	if err != nil {
		return "", err
	}
	if model == "" && len(svc.Models) > 0 {
		model = svc.Models[0]
	}
	if len(svc.Models) > 0 && !slices.Contains(svc.Models, model) {
		return "", errkind.New(errkind.BadRequest, "service %s has no such model", svc.Name)
	}
	return model, nil
}

// chatHash hashes workspace and chat; requests without a chat spread by id.
func chatHash(workspace, chat, id string) uint64 {
	if chat == "" {
		chat = "\x00" + id
	}
	return xxhash.Sum64String(workspace + "\x00" + chat)
}

// readKey takes the idempotency key on routes that may not be repeated.
func (q *request) readKey() error {
	if q.route.repeatable {
		return nil
	}
	lines := q.http.Header.Values(HeaderKey)
	if len(lines) == 0 || lines[0] == "" {
		return errkind.New(errkind.KeyRequired, "this call may not be repeated; send %s", HeaderKey)
	}
	if len(lines) > 1 || len(lines[0]) > maxKeyBytes {
		return errkind.New(errkind.BadRequest, "%s must stand once, with at most %d bytes", HeaderKey, maxKeyBytes)
	}
	for i := range len(lines[0]) {
		if lines[0][i] <= ' ' || lines[0][i] > '~' {
			return errkind.New(errkind.BadRequest, "%s must be printable ASCII without spaces", HeaderKey)
		}
	}
	q.key = lines[0]
	return nil
}

// bodyHash identifies the request's content: method, target and body.
func (q *request) bodyHash() []byte {
	h := sha256.New()
	for _, part := range []string{q.http.Method, q.http.URL.EscapedPath(), q.http.URL.RawQuery} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	return h.Sum(nil)
}
