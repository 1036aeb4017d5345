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

// historyRecorder records the history of concurrent operations.
type historyRecorder struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (r *historyRecorder) now() int64 { return time.Since(r.start).Nanoseconds() }

func (r *historyRecorder) add(client int, in any, call int64, out any, unknown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.now()
	if unknown {
		// An operation without a response may take effect at any later time.
		end = 1 << 62
	}
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// configIn is an Apply with a base revision, or a Get if apply is false.
type configIn struct {
	apply bool
	base  uint64
}

// configOut is the revision in the response. conflict is set for a revision conflict,
// outcomeUnknown if the change may have been accepted or not.
type configOut struct {
	number                   uint64
	conflict, outcomeUnknown bool
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
		case o.outcomeUnknown:
			if i.base == s {
				return true, s + 1
			}
			return true, s
		}
		return i.base == s && o.number == s+1, s + 1
	},
}

const (
	// A run lasts until minKills processes were killed, for maxRounds rounds at most.
	minKills  = 5
	maxRounds = 1000
	// roundPause spreads the operations over the time in which processes are killed.
	roundPause = 10 * time.Millisecond
)

func shortElectionTimeouts(o *replication.Options) {
	o.Config.ElectionTimeout, o.Config.HeartbeatInterval = 250*time.Millisecond, 25*time.Millisecond
	o.Config.ConfirmTimeout = 750 * time.Millisecond
}

// killAndRestart kills and restarts one process at a time until stop is closed, so that
// a majority always runs.
func (c *cluster) killAndRestart(rng *rand.Rand, stop <-chan struct{}, kills *atomic.Int64) {
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

// pause sleeps for d and reports whether stop was closed in the meantime.
func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

// TestApplyAndGetAreLinearizable calls Apply and Get concurrently on all processes while
// processes are killed, and checks the recorded history for linearisability.
func TestApplyAndGetAreLinearizable(t *testing.T) {
	c := newCluster(t, 3, shortElectionTimeouts)
	rec := &historyRecorder{start: time.Now()}
	stop, done := make(chan struct{}), make(chan struct{})
	var kills atomic.Int64
	go func() {
		defer close(done)
		c.killAndRestart(rand.New(rand.NewPCG(1, 1)), stop, &kills)
	}()
	var wg sync.WaitGroup
	for k := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(2, uint64(k)))
			base := uint64(0)
			for n := 0; n < 40 || n < maxRounds && kills.Load() < minKills; n++ {
				base = c.applyOrGet(rec, rng, k, n, base)
				pause(nil, roundPause)
			}
		}()
	}
	wg.Wait()
	close(stop)
	<-done
	if res := porcupine.CheckOperationsTimeout(configModel, rec.ops, time.Minute); res != porcupine.Ok {
		t.Fatalf("linearisability check of %d operations with %d kills: %v", len(rec.ops), kills.Load(), res)
	}
	final := c.newest(0).Revision.Number
	t.Logf("%d operations, %d kills, %d accepted", len(rec.ops), kills.Load(), final)
	if final == 0 || kills.Load() < 2 {
		t.Fatal("no change was accepted, or fewer than 2 processes were killed")
	}
}

// applyOrGet makes one call and returns the newest revision known to the client.
func (c *cluster) applyOrGet(rec *historyRecorder, rng *rand.Rand, client, n int, base uint64) uint64 {
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
		// Certainly not accepted. It is not recorded, so that the check fails if it has an
		// effect after all.
	default:
		rec.add(client, in, call, configOut{outcomeUnknown: true}, true)
	}
	return base
}

// claimIn is a Claim by an attempt, or its Settle if settle is set.
type claimIn struct {
	key, attempt string
	settle       bool
}

type claimOut struct {
	state          controlpb.ClaimState
	owner          string
	outcomeUnknown bool
}

// claimModel models each key as a register that the first claim sets.
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
			return o.outcomeUnknown || owner == i.attempt, [2]string{owner, "settled"}
		}
		if owner == "" {
			return o.outcomeUnknown || o.state == granted, [2]string{i.attempt, ""}
		}
		switch {
		case o.outcomeUnknown:
			return true, s
		case settled:
			return o.state == completed && o.owner == owner, s
		case owner == i.attempt:
			return o.state == granted, s
		}
		return o.state == inProgress && o.owner == owner, s
	},
}

// TestClaimsRunAtMostOnce guards against one key being granted to two attempts. Clients
// claim the same keys through all processes, resend claims without a response, and
// settle, while processes are killed.
func TestClaimsRunAtMostOnce(t *testing.T) {
	c := newCluster(t, 3, shortElectionTimeouts)
	rec := &historyRecorder{start: time.Now()}
	stop, done := make(chan struct{}), make(chan struct{})
	var kills atomic.Int64
	go func() {
		defer close(done)
		c.killAndRestart(rand.New(rand.NewPCG(5, 1)), stop, &kills)
	}()
	var wg sync.WaitGroup
	var runs [maxRounds]atomic.Int64
	for k := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(6, uint64(k)))
			for n := 0; n < 30 || n < maxRounds && kills.Load() < minKills; n++ {
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
			t.Errorf("key %d was granted to %d attempts", n, got)
		}
	}
	if res := porcupine.CheckOperationsTimeout(claimModel, rec.ops, time.Minute); res != porcupine.Ok {
		t.Fatalf("linearisability check of %d operations with %d kills: %v", len(rec.ops), kills.Load(), res)
	}
	t.Logf("%d operations, %d kills", len(rec.ops), kills.Load())
	if kills.Load() < 2 {
		t.Fatal("fewer than 2 processes were killed")
	}
}

func (c *cluster) claimOnce(rec *historyRecorder, rng *rand.Rand, client, n int, runs *atomic.Int64) {
	key, attempt := fmt.Sprint("key", n), fmt.Sprintf("client-%d", client)
	k := &controlpb.ClaimKey{Service: "s", Workspace: "w", IdempotencyKey: key}
	ran := false
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		call := rec.now()
		resp, err := c.client(rng.IntN(len(c.confs))).Claim(ctx, &controlpb.ClaimRequest{Key: k, BodyHash: []byte("b"), AttemptId: attempt})
		cancel()
		if err != nil {
			rec.add(client, claimIn{key: key, attempt: attempt}, call, claimOut{outcomeUnknown: true}, true)
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
	rec.add(client, claimIn{key: key, attempt: attempt, settle: true}, call, claimOut{outcomeUnknown: err != nil}, err != nil)
}
