package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

// recorder collects a concurrent history.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (r *recorder) now() int64 { return time.Since(r.start).Nanoseconds() }

func (r *recorder) add(client int, in any, call int64, out any, unknown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.now()
	if unknown {
		// What has no answer may take effect at any later time.
		end = 1 << 62
	}
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// configIn is an Apply of a base, or a Get if apply is false.
type configIn struct {
	apply bool
	base  uint64
}

// configOut is the revision that was answered; conflict and lost are as named.
type configOut struct {
	number         uint64
	conflict, lost bool
}

var configModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(uint64), in.(configIn), out.(configOut)
		switch {
		case !i.apply:
			return o.number == s, s
		case o.conflict:
			return i.base != s, s
		case o.lost:
			if i.base == s {
				return true, s + 1
			}
			return true, s
		}
		return i.base == s && o.number == s+1, s + 1
	},
}

const (
	// wantKills is how many losses a run should see, maxRounds when it gives up.
	wantKills = 5
	maxRounds = 1000
	// roundPause spreads the load over the losses.
	roundPause = 10 * time.Millisecond
)

func quickElections(o *replication.Options) {
	o.Config.ElectionTimeout, o.Config.Heartbeat = 250*time.Millisecond, 25*time.Millisecond
	o.Config.ConfirmTime = 750 * time.Millisecond
}

// harass kills and restarts processes until stop is closed; a majority stays.
func (c *cluster) harass(rng *rand.Rand, stop <-chan struct{}, kills *atomic.Int64) {
	for {
		i := rng.IntN(len(c.procs))
		if rng.IntN(2) == 0 {
			i = c.leader()
		}
		c.kill(i)
		kills.Add(1)
		pause(stop, 150*time.Millisecond)
		c.start(i, nil)
		if pause(stop, time.Duration(500+rng.IntN(1500))*time.Millisecond) {
			return
		}
	}
}

// pause paces load; it reports whether stop was closed meanwhile.
func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

// TestApplyAndGetAreLinearizable lets operators race through all processes while
// leaders are lost, and checks the history.
func TestApplyAndGetAreLinearizable(t *testing.T) {
	c := newCluster(t, 3, quickElections)
	rec := &recorder{start: time.Now()}
	stop, done := make(chan struct{}), make(chan struct{})
	var kills atomic.Int64
	go func() {
		defer close(done)
		c.harass(rand.New(rand.NewPCG(1, 1)), stop, &kills)
	}()
	var wg sync.WaitGroup
	for k := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(2, uint64(k)))
			base := uint64(0)
			for n := 0; n < 40 || n < maxRounds && kills.Load() < wantKills; n++ {
				base = c.operate(rec, rng, k, n, base)
				pause(nil, roundPause)
			}
		}()
	}
	wg.Wait()
	close(stop)
	<-done
	if res := porcupine.CheckOperationsTimeout(configModel, rec.ops, time.Minute); res != porcupine.Ok {
		t.Fatalf("the history of %d operations with %d kills: %v", len(rec.ops), kills.Load(), res)
	}
	final := c.newest(0).Revision.Number
	t.Logf("%d operations, %d kills, %d accepted", len(rec.ops), kills.Load(), final)
	if final == 0 || kills.Load() < 2 {
		t.Fatal("nothing was accepted, or nothing was killed")
	}
}

// operate makes one call and returns the revision that it learned.
func (c *cluster) operate(rec *recorder, rng *rand.Rand, client, n int, base uint64) uint64 {
	i := rng.IntN(len(c.confs))
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	call := rec.now()
	if rng.IntN(2) == 0 {
		resp, err := c.client(i).Get(ctx, &controlpb.GetRequest{})
		if err != nil {
			return base
		}
		rec.add(client, configIn{}, call, configOut{number: resp.Revision.Number}, false)
		return resp.Revision.Number
	}
	req := change(fmt.Sprintf("client-%d-%d", client, n), &controlpb.Revision{Epoch: 1, Number: base}, workspace("w", fmt.Sprint(client, n)))
	resp, err := c.client(i).Apply(ctx, req)
	in := configIn{apply: true, base: base}
	switch k := errkind.Of(err); {
	case err == nil:
		rec.add(client, in, call, configOut{number: resp.Revision.Number}, false)
		return resp.Revision.Number
	case k == errkind.RevisionConflict:
		rec.add(client, in, call, configOut{conflict: true}, false)
	case k == errkind.NotLeader || k == errkind.NoQuorum || k == errkind.Unreachable || k == errkind.ShuttingDown:
		// Surely not accepted: it is left out of the history, so that an effect would show.
	default:
		rec.add(client, in, call, configOut{lost: true}, true)
	}
	return base
}

// claimIn is a claim by an attempt, or its settlement.
type claimIn struct {
	key, attempt string
	settle       bool
}

type claimOut struct {
	state controlpb.ClaimState
	owner string
	lost  bool
}

// claimModel is a run-at-most-once register for each key.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(claimIn).key
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return [2]string{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.([2]string), in.(claimIn), out.(claimOut)
		owner, settled := s[0], s[1] != ""
		if i.settle {
			return o.lost || owner == i.attempt, [2]string{owner, "settled"}
		}
		if owner == "" {
			return o.lost || o.state == granted, [2]string{i.attempt, ""}
		}
		switch {
		case o.lost:
			return true, s
		case settled:
			return o.state == completed && o.owner == owner, s
		case owner == i.attempt:
			return o.state == granted, s
		}
		return o.state == inProgress && o.owner == owner, s
	},
}

// TestClaimsRunAtMostOnce lets routers claim the same keys through all processes,
// resend after lost answers, and settle, while leaders are lost.
func TestClaimsRunAtMostOnce(t *testing.T) {
	c := newCluster(t, 3, quickElections)
	rec := &recorder{start: time.Now()}
	stop, done := make(chan struct{}), make(chan struct{})
	var kills atomic.Int64
	go func() {
		defer close(done)
		c.harass(rand.New(rand.NewPCG(5, 1)), stop, &kills)
	}()
	var wg sync.WaitGroup
	var runs [maxRounds]atomic.Int64
	for k := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(6, uint64(k)))
			for n := 0; n < 30 || n < maxRounds && kills.Load() < wantKills; n++ {
				c.claimOnce(rec, rng, k, n, &runs[n])
				pause(nil, roundPause)
			}
		}()
	}
	wg.Wait()
	close(stop)
	<-done
	for n := range runs {
		if got := runs[n].Load(); got > 1 {
			t.Errorf("key %d ran %d times", n, got)
		}
	}
	if res := porcupine.CheckOperationsTimeout(claimModel, rec.ops, time.Minute); res != porcupine.Ok {
		t.Fatalf("the history of %d operations with %d kills: %v", len(rec.ops), kills.Load(), res)
	}
	t.Logf("%d operations, %d kills", len(rec.ops), kills.Load())
	if kills.Load() < 2 {
		t.Fatal("too few processes were killed")
	}
}

func (c *cluster) claimOnce(rec *recorder, rng *rand.Rand, client, n int, runs *atomic.Int64) {
	key, attempt := fmt.Sprint("key", n), fmt.Sprintf("client-%d", client)
	k := &controlpb.ClaimKey{Service: "s", Workspace: "w", IdempotencyKey: key}
	ran := false
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		call := rec.now()
		resp, err := c.client(rng.IntN(len(c.confs))).Claim(ctx, &controlpb.ClaimRequest{Key: k, BodyHash: []byte("b"), AttemptId: attempt})
		cancel()
		if err != nil {
			rec.add(client, claimIn{key: key, attempt: attempt}, call, claimOut{lost: true}, true)
			continue
		}
		rec.add(client, claimIn{key: key, attempt: attempt}, call, claimOut{state: resp.State, owner: resp.AttemptId}, false)
		if resp.State == granted && !ran {
			ran = true
			runs.Add(1)
		}
		break
	}
	if !ran || rng.IntN(3) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	call := rec.now()
	_, err := c.client(rng.IntN(len(c.confs))).Settle(ctx, &controlpb.SettleRequest{Key: k, AttemptId: attempt, State: completed})
	rec.add(client, claimIn{key: key, attempt: attempt, settle: true}, call, claimOut{lost: err != nil}, err != nil)
}
