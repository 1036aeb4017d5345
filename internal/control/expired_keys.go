package control

import (
	"container/heap"
	"crypto/sha256"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/statepb"
)

const fingerprintSize = 16

type keyFingerprint [fingerprintSize]byte

func fingerprintOf(id claimID) keyFingerprint {
	sum := sha256.Sum256([]byte(id.service + "\x00" + id.workspace + "\x00" + id.key))
	return keyFingerprint(sum[:fingerprintSize])
}

// expiredKeys is a bounded set of key fingerprints that evicts the oldest first.
type expiredKeys struct {
	queue []keyFingerprint
	set   map[keyFingerprint]struct{}
}

func newExpiredKeys() expiredKeys { return expiredKeys{set: map[keyFingerprint]struct{}{}} }

func (k *expiredKeys) has(p keyFingerprint) bool {
	_, ok := k.set[p]
	return ok
}

func (k *expiredKeys) add(p keyFingerprint) {
	if k.has(p) {
		return
	}
	k.queue = append(k.queue, p)
	k.set[p] = struct{}{}
	for len(k.queue) > maxExpiredKeys {
		delete(k.set, k.queue[0])
		k.queue = k.queue[1:]
	}
}

// expiryHeap orders records by expiry time, then by fence, so that all replicas expire
// them in the same order.
type expiryHeap []*statepb.ClaimRecord

var _ heap.Interface = (*expiryHeap)(nil)

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool {
	if h[i].ExpiresMs != h[j].ExpiresMs {
		return h[i].ExpiresMs < h[j].ExpiresMs
	}
	return h[i].Fence < h[j].Fence
}

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*statepb.ClaimRecord)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}

// timeOutAttempt sets the state of a claim to unknown if its attempt's run time has
// passed and the claim is not settled.
func timeOutAttempt(r *statepb.ClaimRecord, now int64) {
	if r.State == controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS && now >= r.RunUntilMs {
		r.State = controlpb.ClaimState_CLAIM_STATE_UNKNOWN
	}
}
