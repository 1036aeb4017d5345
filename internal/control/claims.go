package control

import (
	"container/heap"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/statepb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	defaultRetentionMs = 24 * 3600 * 1000
	maxRetentionMs     = 30 * 24 * 3600 * 1000
	defaultRunMs       = 15 * 60 * 1000
	// maxClaims bounds the records; above it the record that would expire first is
	// forgotten early, so that a resend of its key is refused as too late.
	maxClaims = 500_000
	// maxAnswerBytes bounds the answers kept; above it the oldest are dropped and
	// a resend is told that the answer was not kept.
	maxAnswerBytes = 256 << 20
	// maxForgotten bounds the fingerprints of expired keys without a time.
	maxForgotten = 500_000
	// expiredPerCommand bounds the work that one command does for others.
	expiredPerCommand = 64
)

// claims is the records of requests that may not be repeated. They are a
// deterministic function of the commands and the times that these carry.
type claims struct {
	// limit is maxClaims but in tests.
	limit int
	byKey map[claimID]*statepb.ClaimRecord
	order expiryHeap
	// answered lists records with an answer, oldest first.
	answered    []*statepb.ClaimRecord
	answerBytes int
	fence       uint64
	settles     uint64
	forgotten   forgotten
	// horizon is, by service, the newest time in a key whose record expired.
	horizon map[string]int64
}

type claimID struct{ service, workspace, key string }

func idOf(k *controlpb.ClaimKey) claimID {
	return claimID{k.GetService(), k.GetWorkspace(), k.GetIdempotencyKey()}
}

func newClaims() claims {
	return claims{limit: maxClaims, byKey: map[claimID]*statepb.ClaimRecord{}, forgotten: newForgotten(), horizon: map[string]int64{}}
}

func (c *claims) claim(req *controlpb.ClaimRequest, now int64) result {
	c.expire(now)
	id := idOf(req.Key)
	if r := c.byKey[id]; r != nil {
		return result{msg: c.existing(r, req, now)}
	}
	if c.wasForgotten(id) {
		return result{msg: &controlpb.ClaimResponse{State: controlpb.ClaimState_CLAIM_STATE_TOO_LATE}}
	}
	if !c.makeRoom(now) {
		return result{err: errkind.New(errkind.QueueFull, "too many claims are in progress; nothing was recorded")}
	}
	r := c.record(req, now)
	return result{msg: &controlpb.ClaimResponse{State: controlpb.ClaimState_CLAIM_STATE_GRANTED, AttemptId: r.AttemptId, Fence: r.Fence}}
}

func (c *claims) record(req *controlpb.ClaimRequest, now int64) *statepb.ClaimRecord {
	retention := int64(min(req.RetentionMs, maxRetentionMs))
	if retention == 0 {
		retention = defaultRetentionMs
	}
	run := int64(min(req.RunMs, maxRetentionMs))
	if run == 0 {
		run = defaultRunMs
	}
	c.fence++
	r := &statepb.ClaimRecord{
		Key: req.Key, BodyHash: req.BodyHash, AttemptId: req.AttemptId, Router: req.Router,
		State: controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS, CreatedMs: now,
		ExpiresMs: now + max(retention, run), RunUntilMs: now + run, Fence: c.fence,
	}
	c.byKey[idOf(req.Key)] = r
	heap.Push(&c.order, r)
	return r
}

// existing answers a key that has a record.
func (c *claims) existing(r *statepb.ClaimRecord, req *controlpb.ClaimRequest, now int64) *controlpb.ClaimResponse {
	out := &controlpb.ClaimResponse{AttemptId: r.AttemptId, Fence: r.Fence, AgeMs: uint64(now - r.CreatedMs)}
	if !slices.Equal(r.BodyHash, req.BodyHash) {
		out.State = controlpb.ClaimState_CLAIM_STATE_KEY_CONFLICT
		return out
	}
	overdue(r, now)
	out.State, out.Answer = r.State, r.Answer
	if r.State == controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS && r.AttemptId == req.AttemptId {
		out.State = controlpb.ClaimState_CLAIM_STATE_GRANTED
	}
	return out
}

func (c *claims) settle(req *controlpb.SettleRequest, now int64) result {
	c.expire(now)
	r := c.byKey[idOf(req.Key)]
	if r == nil {
		return result{err: errkind.New(errkind.NotFound, "there is no claim for this key")}
	}
	if r.AttemptId != req.AttemptId {
		return result{err: errkind.New(errkind.KeyConflict, "the claim belongs to another attempt")}
	}
	open := r.State == controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS || r.State == controlpb.ClaimState_CLAIM_STATE_UNKNOWN
	switch req.State {
	case controlpb.ClaimState_CLAIM_STATE_COMPLETED, controlpb.ClaimState_CLAIM_STATE_FAILED:
		if open {
			r.State = req.State
			c.keepAnswer(r, req.Answer)
		}
	case controlpb.ClaimState_CLAIM_STATE_UNKNOWN:
		if open {
			r.State = req.State
		}
	case controlpb.ClaimState_CLAIM_STATE_UNSPECIFIED:
		if !open {
			return result{err: errkind.New(errkind.KeyConflict, "the claim was settled already")}
		}
		c.remove(r)
	default:
		return result{err: errkind.New(errkind.BadRequest, "a claim can't be settled as %s", req.State)}
	}
	return result{msg: &controlpb.SettleResponse{}}
}

func (c *claims) keepAnswer(r *statepb.ClaimRecord, a *controlpb.RecordedAnswer) {
	if a == nil {
		return
	}
	c.settles++
	r.Answer, r.Settled = a, c.settles
	c.answered = append(c.answered, r)
	c.answerBytes += len(a.Body)
	for c.answerBytes > maxAnswerBytes && len(c.answered) > 0 {
		old := c.answered[0]
		c.answered = c.answered[1:]
		c.dropAnswer(old)
	}
}

// dropAnswer replaces the answer, since readers may hold the old one.
func (c *claims) dropAnswer(r *statepb.ClaimRecord) {
	if r.Answer == nil {
		return
	}
	c.answerBytes -= len(r.Answer.Body)
	r.Answer = &controlpb.RecordedAnswer{Status: r.Answer.Status, ContentType: r.Answer.ContentType, NotKept: true}
}

func (c *claims) remove(r *statepb.ClaimRecord) {
	delete(c.byKey, idOf(r.Key))
	if r.Answer != nil {
		c.answerBytes -= len(r.Answer.Body)
		r.Answer = nil
	}
}

// expire forgets records whose time has passed. A forgotten key is remembered
// as such, so that it is never granted again.
func (c *claims) expire(now int64) {
	for n := 0; n < expiredPerCommand && len(c.order) > 0 && c.order[0].ExpiresMs <= now; {
		r := heap.Pop(&c.order).(*statepb.ClaimRecord)
		// A record that was given back does not count: after a restart it is not here.
		if c.byKey[idOf(r.Key)] != r {
			continue
		}
		c.remove(r)
		c.forget(r, now)
		n++
	}
	for len(c.answered) > 0 && c.answered[0].Answer == nil {
		c.answered = c.answered[1:]
	}
}

// makeRoom forgets the first record to expire if there is no room for another.
// One that is still in progress is kept for longer instead. It fails if all that
// it looked at are.
func (c *claims) makeRoom(now int64) bool {
	for tries := 0; len(c.byKey) >= c.limit && tries < expiredPerCommand; {
		r := c.order[0]
		if c.byKey[idOf(r.Key)] != r {
			heap.Pop(&c.order)
			continue
		}
		tries++
		overdue(r, now)
		if r.State == controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS {
			r.ExpiresMs = max(r.ExpiresMs, now) + defaultRetentionMs
			heap.Fix(&c.order, 0)
			continue
		}
		heap.Pop(&c.order)
		c.remove(r)
		c.forget(r, now)
	}
	return len(c.byKey) < c.limit
}

func (c *claims) forget(r *statepb.ClaimRecord, now int64) {
	if t, ok := keyTime(r.Key.IdempotencyKey); ok && t <= now {
		c.horizon[r.Key.Service] = max(c.horizon[r.Key.Service], t)
		return
	}
	c.forgotten.add(fingerprint(idOf(r.Key)))
}

func (c *claims) wasForgotten(id claimID) bool {
	if t, ok := keyTime(id.key); ok && t <= c.horizon[id.service] {
		return true
	}
	return c.forgotten.has(fingerprint(id))
}

// keyTime returns the time in a key that is a UUID of version 7, in Unix ms.
func keyTime(key string) (int64, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return 0, false
	}
	sec, nsec := u.Time().UnixTime()
	return sec*1000 + nsec/1_000_000, true
}

// Claims returns the number of records.
func (s *State) Claims() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.claims.byKey)
}

// Clock returns the highest time, in Unix ms, that a command has carried.
func (s *State) Clock() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.clockMs
}

// marshalCommand stamps and encodes a command.
func marshalCommand(unixMs int64, cmd *statepb.Command) ([]byte, error) {
	cmd.UnixMs = unixMs
	return proto.Marshal(cmd)
}
