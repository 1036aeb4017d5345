package registry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// AnnounceKeyHeader is the request header with the service's announce key.
const AnnounceKeyHeader = "X-Kq-Announce-Key"

// AnnouncePath is the URL path at which backend servers announce themselves.
const AnnouncePath = "/v1/announce"

// Options configure a Handler. All fields are required.
type Options struct {
	// Config returns the configuration in force, or nil if there is none yet.
	Config func() *config.Set
	// Announce forwards an accepted announcement to the grantor of its data centre.
	Announce func(dataCentre string, a *grantpb.Announcement)
	Log      hclog.Logger
}

// Handler serves announcements over HTTP. It is safe for concurrent use.
type Handler struct {
	opts Options
	mux  *http.ServeMux
}

// NewHandler returns a Handler.
func NewHandler(opts Options) *Handler {
	h := &Handler{opts: opts, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST "+AnnouncePath, h.announce)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	a, err := decode(r.Body)
	if err == nil {
		err = h.authorise(a, r.Header.Get(AnnounceKeyHeader))
	}
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	h.opts.Announce(a.DataCentre, a.toProto())
	w.WriteHeader(http.StatusNoContent)
}

// authorise checks the announcement against the configuration in force: service,
// announce key, data centre and, for a declared backend server, its declaration.
func (h *Handler) authorise(a *Announcement, key string) error {
	set := h.opts.Config()
	if set == nil {
		return errkind.New(errkind.NotReady, "no configuration in force yet")
	}
	svc := set.Services[a.Service]
	if svc == nil {
		return errkind.New(errkind.NotFound, "service %s is not declared", a.Service)
	}
	if err := authenticate(svc, key); err != nil {
		return err
	}
	if set.DataCentres[a.DataCentre] == nil {
		return errkind.New(errkind.NotFound, "data centre %s is not declared", a.DataCentre)
	}
	if b := set.BackendServers[a.Name]; b != nil && (b.Service != a.Service || b.DataCentre != a.DataCentre) {
		return errkind.New(errkind.BadRequest, "backend server %s is declared for service %s in data centre %s", a.Name, b.Service, b.DataCentre)
	}
	return nil
}

func authenticate(svc *config.Service, key string) error {
	if svc.AnnounceKey == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(svc.AnnounceKey)) != 1 {
		return errkind.New(errkind.Unauthenticated, "announcements for service %s must carry its announce key in header %s", svc.Name, AnnounceKeyHeader)
	}
	return nil
}

type errorBody struct {
	Error   errkind.Kind `json:"error"`
	Message string       `json:"message"`
}

func (h *Handler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	info := errkind.Lookup(errkind.Of(err))
	h.opts.Log.Log(info.Level, "announcement rejected", "from", r.RemoteAddr, "error", err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(info.Status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: info.Kind, Message: err.Error()})
}
