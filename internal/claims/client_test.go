package claims

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// fakeGroup returns the next error listed for an address; once there is none, the
// call succeeds.
type fakeGroup struct {
	mu       sync.Mutex
	errs     map[string][]error
	claims   []string // attempt ids in order of arrival
	settled  []string
	attempts map[string]int
}

func (g *fakeGroup) nextError(address string) error {
	g.attempts[address]++
	if len(g.errs[address]) == 0 {
		return nil
	}
	err := g.errs[address][0]
	g.errs[address] = g.errs[address][1:]
	return err
}

func (g *fakeGroup) Claim(_ context.Context, address string, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claims = append(g.claims, req.AttemptId)
	if err := g.nextError(address); err != nil {
		return nil, err
	}
	return &controlpb.ClaimResponse{State: controlpb.ClaimState_CLAIM_STATE_GRANTED, AttemptId: req.AttemptId}, nil
}

func (g *fakeGroup) Settle(_ context.Context, address string, req *controlpb.SettleRequest) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.nextError(address); err != nil {
		return err
	}
	g.settled = append(g.settled, req.AttemptId)
	return nil
}

func newClient(g *fakeGroup, addresses ...string) *Client {
	g.attempts = map[string]int{}
	return New(Options{Addresses: addresses, Group: g, Log: hclog.NewNullLogger(), Metrics: telemetry.NewRegistry()})
}

func TestClaimIsResentUnderTheSameAttempt(t *testing.T) {
	lost := errors.New("connection broke")
	g := &fakeGroup{errs: map[string][]error{
		"a": {lost, errkind.New(errkind.NoQuorum, "x")},
		"b": {errkind.New(errkind.NotLeader, "x")},
	}}
	c := newClient(g, "a", "b")
	resp, err := c.Claim(context.Background(), &controlpb.ClaimRequest{AttemptId: "t"})
	if err != nil || resp.State != controlpb.ClaimState_CLAIM_STATE_GRANTED {
		t.Fatalf("%v %v", resp, err)
	}
	if len(g.claims) != 4 {
		t.Errorf("sent claims %v, want 4", g.claims)
	}
	for _, id := range g.claims {
		if id != "t" {
			t.Errorf("sent claims %v, want all with attempt id t", g.claims)
		}
	}
	_, _ = c.Claim(context.Background(), &controlpb.ClaimRequest{AttemptId: "u"})
	if g.attempts["b"] != 3 {
		t.Errorf("the process that responded last was not called first; calls by address: %v", g.attempts)
	}
}

func TestClaimErrors(t *testing.T) {
	permanent := errkind.New(errkind.Unauthorised, "no")
	c := newClient(&fakeGroup{errs: map[string][]error{"a": {permanent}}}, "a", "b")
	if _, err := c.Claim(context.Background(), &controlpb.ClaimRequest{}); !errkind.Is(err, errkind.Unauthorised) {
		t.Errorf("error that is not retryable: %v, want unauthorised", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, addresses := range [][]string{nil, {"a"}} {
		c = newClient(&fakeGroup{errs: map[string][]error{"a": {errors.New("lost")}}}, addresses...)
		if _, err := c.Claim(ctx, &controlpb.ClaimRequest{}); !errkind.Is(err, errkind.NoQuorum) {
			t.Errorf("addresses %v: %v, want no-quorum", addresses, err)
		}
	}
}

func TestOutcomesAreRecordedInTheBackground(t *testing.T) {
	g := &fakeGroup{errs: map[string][]error{"a": {errors.New("lost"), errors.New("lost")}}}
	c := newClient(g, "a")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	for range 50 {
		c.Settle(ctx, &controlpb.SettleRequest{Key: &controlpb.ClaimKey{}, AttemptId: "t"})
	}
	flush, stop := context.WithTimeout(ctx, 30*time.Second)
	defer stop()
	if left := c.Flush(flush); left != 0 || len(g.settled) != 50 {
		t.Errorf("%d outcomes left and %d recorded, want 0 and 50", left, len(g.settled))
	}
	cancel()
	<-done
	c.Settle(ctx, &controlpb.SettleRequest{Key: &controlpb.ClaimKey{}})
	if left := c.Flush(ctx); left != 1 {
		t.Errorf("after Run ended: %d outcomes left, want 1", left)
	}
}
