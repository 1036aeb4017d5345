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

const maxIdempotencyKeyBytes = 255

// request is a client's request mapped to a declared route.
type request struct {
	id        string
	set       *config.Set
	route     *resolvedRoute
	policy    resolvedPolicy
	workspace string
	model     string
	// chatHash is the hash of the workspace and the chat identity, or of the
	// request id if the request has no chat identity.
	chatHash uint64
	// idempotencyKey is empty on repeatable routes.
	idempotencyKey string
	body           []byte
	httpRequest    *http.Request
	// apiKeyRequired is set if the workspace's clients authenticate with an API
	// key, which is not forwarded to servers.
	apiKeyRequired bool
}

// mapRequest maps a request to its route. The size of body has been checked.
func mapRequest(set *config.Set, route *resolvedRoute, r *http.Request, body []byte, id string) (*request, error) {
	ids := identitiesOf(route.service)
	fields, err := readFields(body, ids.fields())
	if err != nil {
		return nil, err
	}
	q := &request{id: id, set: set, route: route, body: body, httpRequest: r}
	if q.workspace, err = readIdentity(ids.workspace, r.Header, fields); err != nil {
		return nil, err
	}
	ws, err := authorise(set, route.service.Name, q.workspace, r.Header)
	if err != nil {
		return nil, err
	}
	q.apiKeyRequired = ws.KeyHash != ""
	q.policy = resolvePolicy(set, route.service, ws)
	if q.model, err = resolveModel(route.service, ids.model, r.Header, fields); err != nil {
		return nil, err
	}
	chat, err := readIdentity(ids.chat, r.Header, fields)
	if err != nil {
		return nil, err
	}
	q.chatHash = chatHash(q.workspace, chat, id)
	return q, q.readIdempotencyKey()
}

// authorise checks that the workspace is declared and may use the service, and
// that the request carries the API key if the workspace has one.
func authorise(set *config.Set, service, name string, h http.Header) (*config.Workspace, error) {
	ws := set.Workspaces[name]
	if ws == nil {
		return nil, errkind.New(errkind.UnknownWorkspace, "the workspace is not declared")
	}
	if ws.KeyHash != "" && !bearerTokenMatches(h, ws.KeyHash) {
		return nil, errkind.New(errkind.Unauthenticated, "the workspace requires its API key as a bearer token")
	}
	if len(ws.Services) > 0 && !slices.Contains(ws.Services, service) {
		return nil, errkind.New(errkind.UnknownWorkspace, "the workspace may not use service %s", service)
	}
	return ws, nil
}

func bearerTokenMatches(h http.Header, keyHash string) bool {
	values := h.Values("Authorization")
	if len(values) != 1 {
		return false
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(keyHash))) == 1
}

func resolveModel(svc *config.Service, id config.NameSource, h http.Header, f bodyFields) (string, error) {
	if svc.Type != config.TypeModel {
		return "", nil
	}
	model, err := readIdentity(id, h, f)
	if err != nil {
		return "", err
	}
	if model == "" && len(svc.Models) > 0 {
		model = svc.Models[0]
	}
	if len(svc.Models) > 0 && !slices.Contains(svc.Models, model) {
		return "", errkind.New(errkind.BadRequest, "service %s does not declare the requested model", svc.Name)
	}
	return model, nil
}

// chatHash hashes workspace and chat. Requests without a chat are spread by their
// id.
func chatHash(workspace, chat, id string) uint64 {
	if chat == "" {
		chat = "\x00" + id
	}
	return xxhash.Sum64String(workspace + "\x00" + chat)
}

// readIdempotencyKey reads the idempotency key if the route may not be repeated.
func (q *request) readIdempotencyKey() error {
	if q.route.repeatable {
		return nil
	}
	values := q.httpRequest.Header.Values(HeaderKey)
	if len(values) == 0 || values[0] == "" {
		return errkind.New(errkind.KeyRequired, "requests on this route may not be repeated and require the header %s", HeaderKey)
	}
	if len(values) > 1 || len(values[0]) > maxIdempotencyKeyBytes {
		return errkind.New(errkind.BadRequest, "the header %s must occur once and have at most %d bytes", HeaderKey, maxIdempotencyKeyBytes)
	}
	for i := range len(values[0]) {
		if values[0][i] <= ' ' || values[0][i] > '~' {
			return errkind.New(errkind.BadRequest, "the header %s must be printable ASCII without spaces", HeaderKey)
		}
	}
	q.idempotencyKey = values[0]
	return nil
}

// bodyHash identifies the request's content: method, target and body.
func (q *request) bodyHash() []byte {
	h := sha256.New()
	for _, part := range []string{q.httpRequest.Method, q.httpRequest.URL.EscapedPath(), q.httpRequest.URL.RawQuery} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	return h.Sum(nil)
}
