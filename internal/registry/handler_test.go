package registry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
)

func testConfig() *config.Set {
	sum := sha256.Sum256([]byte("secret"))
	return &config.Set{
		DataCentres: map[string]*config.DataCentre{"tt-north-a": {Name: "tt-north-a"}},
		Services: map[string]*config.Service{
			"runners": {Name: "runners"},
			"entries": {Name: "entries", AnnounceKey: hex.EncodeToString(sum[:])},
		},
		BackendServers: map[string]*config.BackendServer{
			"fixed": {Name: "fixed", Service: "entries", DataCentre: "tt-north-a"},
		},
	}
}

func validAnnouncement() Announcement {
	return Announcement{
		Name: "runner-1", Service: "runners", DataCentre: "tt-north-a", Address: "127.0.0.1:9000",
		Incarnation: "i1", State: "ready", Capacity: 8, ColdCapacity: 2, Sequence: 4, Running: 3,
	}
}

func TestAnnounce(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*Announcement)
		key    string
		want   int
	}{
		{"accepted", func(*Announcement) {}, "", 204},
		{"no name", func(a *Announcement) { a.Name = "" }, "", 400},
		{"long name", func(a *Announcement) { a.Name = strings.Repeat("x", 200) }, "", 400},
		{"control byte", func(a *Announcement) { a.Incarnation = "a\nb" }, "", 400},
		{"host name", func(a *Announcement) { a.Address = "localhost:80" }, "", 400},
		{"state", func(a *Announcement) { a.State = "warm" }, "", 400},
		{"no capacity", func(a *Announcement) { a.Capacity = 0 }, "", 400},
		{"cold over capacity", func(a *Announcement) { a.ColdCapacity = 9 }, "", 400},
		{"many models", func(a *Announcement) { a.Models = make([]string, 300) }, "", 400},
		{"oversized", func(a *Announcement) { a.Models = []string{strings.Repeat("m", maxAnnounceBytes)} }, "", 413},
		{"unknown service", func(a *Announcement) { a.Service = "x" }, "", 404},
		{"unknown data centre", func(a *Announcement) { a.DataCentre = "x" }, "", 404},
		{"no key", func(a *Announcement) { a.Service = "entries" }, "", 401},
		{"wrong key", func(a *Announcement) { a.Service = "entries" }, "Secret", 401},
		{"right key", func(a *Announcement) { a.Service = "entries" }, "secret", 204},
		{"declared otherwise", func(a *Announcement) { a.Name = "fixed" }, "", 400},
	} {
		var got *grantpb.Announcement
		h := NewHandler(Options{
			Config:   testConfig,
			Announce: func(_ string, a *grantpb.Announcement) { got = a },
			Log:      hclog.NewNullLogger(),
		})
		a := validAnnouncement()
		tc.change(&a)
		body, _ := json.Marshal(a)
		r := httptest.NewRequest(http.MethodPost, AnnouncePath, strings.NewReader(string(body)))
		r.Header.Set(AnnounceKeyHeader, tc.key)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != tc.want || (got != nil) != (tc.want == 204) {
			t.Errorf("%s: status %d, want %d; forwarded: %v; %s", tc.name, w.Code, tc.want, got != nil, w.Body)
		}
		if got != nil && (got.Running != 3 || got.Sequence != 4 || got.State != grantpb.ServerState_SERVER_STATE_READY) {
			t.Errorf("%s: forwarded %v", tc.name, got)
		}
	}
}

func TestAnnounceBeforeConfigurationIsRefused(t *testing.T) {
	h := NewHandler(Options{Config: func() *config.Set { return nil }, Log: hclog.NewNullLogger()})
	body, _ := json.Marshal(validAnnouncement())
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, AnnouncePath, strings.NewReader(string(body))))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", w.Code)
	}
}

func TestAnnouncedReadyTimeIsForwarded(t *testing.T) {
	a := validAnnouncement()
	a.ReadyMs = 90_000
	if got := a.toProto().ReadyMs; got != 90_000 {
		t.Errorf("ready for %d ms, want 90000", got)
	}
}
