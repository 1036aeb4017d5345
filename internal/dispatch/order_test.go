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

// openingPermits is a region in which the grantor of "a" is new: it refuses at
// once if asked to, and else grants after its opening.
type openingPermits struct {
	*fakePermits
	asked  []string
	others errkind.Kind // how data centre "b" refuses; empty to grant
}

func (p *openingPermits) Ask(ctx context.Context, dataCentre string, ask *grantpb.Ask) (Permit, error) {
	label := dataCentre
	if !ask.NotWhileOpening {
		label += " waiting"
	}
	p.asked = append(p.asked, label)
	switch {
	case dataCentre == "a" && ask.NotWhileOpening:
		return nil, errkind.New(errkind.NoGrantor, "opening")
	case dataCentre == "b" && p.others != "":
		return nil, errkind.New(p.others, "refused")
	}
	return p.fakePermits.Ask(ctx, dataCentre, ask)
}

func TestOpeningGrantorIsWaitedForOnlyIfNoOtherHelps(t *testing.T) {
	for _, tc := range []struct {
		name   string
		others errkind.Kind
		want   []string
		status int
	}{
		{"another data centre takes it", "", []string{"a", "b waiting"}, http.StatusOK},
		{"the other is full", errkind.QueueFull, []string{"a", "b waiting", "a waiting"}, http.StatusOK},
		{"the other has no server", errkind.NoBackend, []string{"a", "b waiting", "a waiting"}, http.StatusOK},
		{"the caller's own limit", errkind.WorkspaceLimit, []string{"a", "b waiting"}, http.StatusTooManyRequests},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := backend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			rig := newRig(t, address)
			p := &openingPermits{fakePermits: rig.permits, others: tc.others}
			rig.d.opts.Permits = p
			rig.d.opts.Order = func(*config.Set, string, uint64, time.Time) []string { return []string{"a", "b"} }
			resp, _ := do(t, rig.request("POST", "/v1/chat/completions", "{}"))
			if resp.StatusCode != tc.status || !slices.Equal(p.asked, tc.want) {
				t.Errorf("status %d after asking %q, want %d after %q", resp.StatusCode, p.asked, tc.status, tc.want)
			}
		})
	}
}
