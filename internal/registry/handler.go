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

// KeyHeader carries the service's announce key.
const KeyHeader = "X-Kq-Announce-Key"

// Path is where servers announce themselves.
const Path = "/v1/announce"

// Options are what a Handler works with. All are needed.
type Options struct {
	// Config returns the declarations in force, or nil before the first.
	Config func() *config.Set
	// Announce hands an accepted announcement to the grantor of its data centre.
	Announce func(dataCentre string, a *grantpb.Announcement)
	Log      hclog.Logger
}

// Handler serves the announce listener. It is safe for concurrent use.
type Handler struct {
	opts Options
	mux  *http.ServeMux
}

// NewHandler returns a Handler.
func NewHandler(opts Options) *Handler {
	h := &Handler{opts: opts, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST "+Path, h.announce)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	a, err := decode(r.Body)
	if err == nil {
		err = h.admit(a, r.Header.Get(KeyHeader))
	}
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	h.opts.Announce(a.DataCentre, a.message())
	w.WriteHeader(http.StatusNoContent)
}

// admit checks the announcement against the declarations in force.
func (h *Handler) admit(a *Announcement, key string) error {
	set := h.opts.Config()
	if set == nil {
		return errkind.New(errkind.NotReady, "no configuration in force yet")
	}
	svc := set.Services[a.Service]
	if svc == nil {
		return errkind.New(errkind.NotFound, "service %s is not declared", a.Service)
	}
	if err := checkKey(svc, key); err != nil {
		return err
	}
	if set.DataCentres[a.DataCentre] == nil {
		return errkind.New(errkind.NotFound, "data centre %s is not declared", a.DataCentre)
	}
	if b := set.BackendServers[a.Name]; b != nil && (b.Service != a.Service || b.DataCentre != a.DataCentre) {
		return errkind.New(errkind.BadRequest, "backend server %s is declared for service %s in %s", a.Name, b.Service, b.DataCentre)
	}
	return nil
}

func checkKey(svc *config.Service, key string) error {
	if svc.AnnounceKey == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(svc.AnnounceKey)) != 1 {
		return errkind.New(errkind.Unauthenticated, "announcements of service %s need its key in %s", svc.Name, KeyHeader)
	}
	return nil
}

type refusal struct {
	Error   errkind.Kind `json:"error"`
	Message string       `json:"message"`
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, err error) {
	row := errkind.Lookup(errkind.Of(err))
	h.opts.Log.Log(row.Level, "announcement refused", "from", r.RemoteAddr, "error", err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(row.Status)
	_ = json.NewEncoder(w).Encode(refusal{Error: row.Kind, Message: err.Error()})
}
