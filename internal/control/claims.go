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
	// maxClaims limits the number of records. Above the limit, the record that would
	// expire first is evicted, and a resend of its key is refused as too late.
	maxClaims = 500_000
	// maxTotalAnswerBytes limits the stored answer bodies. Above the limit, the oldest
	// are dropped, and the response to a resend says that the answer was not kept.
	maxTotalAnswerBytes = 256 << 20
	// maxExpiredKeys limits the fingerprints of expired keys that contain no timestamp.
	maxExpiredKeys = 500_000
	// maxExpirationsPerCommand limits the records that one command expires or examines
	// for eviction on behalf of others.
	maxExpirationsPerCommand = 64
)

// claims holds the records of requests that must run at most once. It is a
// deterministic function of the commands and of the times that they carry.
type claims struct {
	// limit is maxClaims; tests use a smaller one.
	limit    int
	byKey    map[claimID]*statepb.ClaimRecord
	byExpiry expiryHeap
	// answered lists the records that have an answer, oldest answer first.
	answered    []*statepb.ClaimRecord
	answerBytes int
	fence       uint64
	settles     uint64
	expiredKeys expiredKeys
	// keyWatermark is, by service, the newest timestamp in a key whose record expired.
	// A key with this timestamp or an older one is treated as expired. Snapshots store
	// it as Horizon.
	keyWatermark map[string]int64
}

type claimID struct{ service, workspace, key string }

func idOf(k *controlpb.ClaimKey) claimID {
	return claimID{k.GetService(), k.GetWorkspace(), k.GetIdempotencyKey()}
}

func newClaims() claims {
	return claims{limit: maxClaims, byKey: map[claimID]*statepb.ClaimRecord{}, expiredKeys: newExpiredKeys(), keyWatermark: map[string]int64{}}
}

func (c *claims) claim(req *controlpb.ClaimRequest, now int64) result {
	c.expire(now)
	id := idOf(req.Key)
	if r := c.byKey[id]; r != nil {
		return result{msg: c.existingClaim(r, req, now)}
	}
	if c.hasExpired(id) {
		return result{msg: &controlpb.ClaimResponse{State: controlpb.ClaimState_CLAIM_STATE_TOO_LATE}}
	}
	if !c.evict(now) {
		return result{err: errkind.New(errkind.QueueFull, "the limit of claim records is reached and too many of the claims are in progress; nothing was recorded")}
	}
	r := c.insert(req, now)
	return result{msg: &controlpb.ClaimResponse{State: controlpb.ClaimState_CLAIM_STATE_GRANTED, AttemptId: r.AttemptId, Fence: r.Fence}}
}

func (c *claims) insert(req *controlpb.ClaimRequest, now int64) *statepb.ClaimRecord {
	retention := int64(min(req.RetentionMs, maxRetentionMs))
	if retention == 0 {
		retention = defaultRetentionMs
	}
	runTime := int64(min(req.RunMs, maxRetentionMs))
	if runTime == 0 {
		runTime = defaultRunMs
	}
	c.fence++
	r := &statepb.ClaimRecord{
		Key: req.Key, BodyHash: req.BodyHash, AttemptId: req.AttemptId, Router: req.Router,
		State: controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS, CreatedMs: now,
		ExpiresMs: now + max(retention, runTime), RunUntilMs: now + runTime, Fence: c.fence,
	}
	c.byKey[idOf(req.Key)] = r
	heap.Push(&c.byExpiry, r)
	return r
}

// existingClaim returns the response to a claim whose key already has a record.
func (c *claims) existingClaim(r *statepb.ClaimRecord, req *controlpb.ClaimRequest, now int64) *controlpb.ClaimResponse {
	out := &controlpb.ClaimResponse{AttemptId: r.AttemptId, Fence: r.Fence, AgeMs: uint64(now - r.CreatedMs)}
	if !slices.Equal(r.BodyHash, req.BodyHash) {
		out.State = controlpb.ClaimState_CLAIM_STATE_KEY_CONFLICT
		return out
	}
	timeOutAttempt(r, now)
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
		return result{err: errkind.New(errkind.NotFound, "no claim is recorded for this idempotency key")}
	}
	if r.AttemptId != req.AttemptId {
		return result{err: errkind.New(errkind.KeyConflict, "the claim belongs to another attempt")}
	}
	unsettled := r.State == controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS || r.State == controlpb.ClaimState_CLAIM_STATE_UNKNOWN
	switch req.State {
	case controlpb.ClaimState_CLAIM_STATE_COMPLETED, controlpb.ClaimState_CLAIM_STATE_FAILED:
		if unsettled {
			r.State = req.State
			c.storeAnswer(r, req.Answer)
		}
	case controlpb.ClaimState_CLAIM_STATE_UNKNOWN:
		if unsettled {
			r.State = req.State
		}
	case controlpb.ClaimState_CLAIM_STATE_UNSPECIFIED:
		if !unsettled {
			return result{err: errkind.New(errkind.KeyConflict, "the claim was settled already")}
		}
		c.remove(r)
	default:
		return result{err: errkind.New(errkind.BadRequest, "a claim can't be settled as %s", req.State)}
	}
	return result{msg: &controlpb.SettleResponse{}}
}

func (c *claims) storeAnswer(r *statepb.ClaimRecord, a *controlpb.RecordedAnswer) {
	if a == nil {
		return
	}
	c.settles++
	r.Answer, r.Settled = a, c.settles
	c.answered = append(c.answered, r)
	c.answerBytes += len(a.Body)
	for c.answerBytes > maxTotalAnswerBytes && len(c.answered) > 0 {
		old := c.answered[0]
		c.answered = c.answered[1:]
		c.dropAnswer(old)
	}
}

// dropAnswer replaces the answer by one without a body. It does not modify the old
// answer, because concurrent readers may still use it.
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

// expire removes the records whose retention has ended. It records their keys as
// expired, so that they are not granted again.
func (c *claims) expire(now int64) {
	for n := 0; n < maxExpirationsPerCommand && len(c.byExpiry) > 0 && c.byExpiry[0].ExpiresMs <= now; {
		r := heap.Pop(&c.byExpiry).(*statepb.ClaimRecord)
		// A released claim stays in the heap. It must not count towards the limit, since
		// the heap of a replica that restarted does not contain it.
		if c.byKey[idOf(r.Key)] != r {
			continue
		}
		c.remove(r)
		c.recordExpired(r, now)
		n++
	}
	for len(c.answered) > 0 && c.answered[0].Answer == nil {
		c.answered = c.answered[1:]
	}
}

// evict makes room for one record: while the limit is reached, it removes the record
// that would expire first. A record that is still in progress is not removed; its
// retention is extended instead. evict returns false if all records that it examined
// are in progress.
func (c *claims) evict(now int64) bool {
	for examined := 0; len(c.byKey) >= c.limit && examined < maxExpirationsPerCommand; {
		r := c.byExpiry[0]
		if c.byKey[idOf(r.Key)] != r {
			heap.Pop(&c.byExpiry)
			continue
		}
		examined++
		timeOutAttempt(r, now)
		if r.State == controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS {
			r.ExpiresMs = max(r.ExpiresMs, now) + defaultRetentionMs
			heap.Fix(&c.byExpiry, 0)
			continue
		}
		heap.Pop(&c.byExpiry)
		c.remove(r)
		c.recordExpired(r, now)
	}
	return len(c.byKey) < c.limit
}

func (c *claims) recordExpired(r *statepb.ClaimRecord, now int64) {
	if t, ok := keyTime(r.Key.IdempotencyKey); ok && t <= now {
		c.keyWatermark[r.Key.Service] = max(c.keyWatermark[r.Key.Service], t)
		return
	}
	c.expiredKeys.add(fingerprintOf(idOf(r.Key)))
}

func (c *claims) hasExpired(id claimID) bool {
	if t, ok := keyTime(id.key); ok && t <= c.keyWatermark[id.service] {
		return true
	}
	return c.expiredKeys.has(fingerprintOf(id))
}

// keyTime returns the timestamp, in Unix ms, of a key that is a version 7 UUID.
func keyTime(key string) (int64, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return 0, false
	}
	sec, nsec := u.Time().UnixTime()
	return sec*1000 + nsec/1_000_000, true
}

// ClaimCount returns the number of claim records.
func (s *State) ClaimCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.claims.byKey)
}

// ClockMs returns the latest time, in Unix ms, that a command has carried.
func (s *State) ClockMs() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.clockMs
}

// encodeCommand sets the time of a command and encodes it.
func encodeCommand(unixMs int64, cmd *statepb.Command) ([]byte, error) {
	cmd.UnixMs = unixMs
	return proto.Marshal(cmd)
}
