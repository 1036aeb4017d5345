package dispatch

import (
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// openingPermits simulates a region in which the term of the grantor of data
// centre "a" is still opening: it refuses at once if the request asks for that,
// and otherwise grants once it has opened.
type openingPermits struct {
	*fakePermits
	asked       []string
	refusalKind errkind.Kind // how data centre "b" refuses; empty to grant
}

func (p *openingPermits) Acquire(ctx context.Context, dataCentre string, ask *grantpb.Ask) (Permit, error) {
	label := dataCentre
	if !ask.NotWhileOpening {
		label += " waiting"
	}
	p.asked = append(p.asked, label)
	switch {
	case dataCentre == "a" && ask.NotWhileOpening:
		return nil, errkind.New(errkind.NoGrantor, "opening")
	case dataCentre == "b" && p.refusalKind != "":
		return nil, errkind.New(p.refusalKind, "refused")
	}
	return p.fakePermits.Acquire(ctx, dataCentre, ask)
}

func TestOpeningGrantorIsWaitedForOnlyIfNoOtherHelps(t *testing.T) {
	for _, tc := range []struct {
		name        string
		refusalKind errkind.Kind
		want        []string
		status      int
	}{
		{"another data centre grants a permit", "", []string{"a", "b waiting"}, http.StatusOK},
		{"the other is full", errkind.QueueFull, []string{"a", "b waiting", "a waiting"}, http.StatusOK},
		{"the other has no server", errkind.NoBackend, []string{"a", "b waiting", "a waiting"}, http.StatusOK},
		{"the workspace's own limit", errkind.WorkspaceLimit, []string{"a", "b waiting"}, http.StatusTooManyRequests},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := backend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			rig := newRig(t, address)
			p := &openingPermits{fakePermits: rig.permits, refusalKind: tc.refusalKind}
			rig.d.opts.Permits = p
			rig.d.opts.DataCentreOrder = func(*config.Set, string, uint64, time.Time) []string { return []string{"a", "b"} }
			resp, _ := do(t, rig.request("POST", "/v1/chat/completions", "{}"))
			if resp.StatusCode != tc.status || !slices.Equal(p.asked, tc.want) {
				t.Errorf("status %d after asking %q, want %d after %q", resp.StatusCode, p.asked, tc.status, tc.want)
			}
		})
	}
}
