package control

import (
	"container/heap"
	"crypto/sha256"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/statepb"
)

const fingerprintSize = 16

type keyPrint [fingerprintSize]byte

func fingerprint(id claimID) keyPrint {
	sum := sha256.Sum256([]byte(id.service + "\x00" + id.workspace + "\x00" + id.key))
	return keyPrint(sum[:fingerprintSize])
}

// forgotten is a bounded set of fingerprints; the oldest leaves first.
type forgotten struct {
	queue []keyPrint
	set   map[keyPrint]struct{}
}

func newForgotten() forgotten { return forgotten{set: map[keyPrint]struct{}{}} }

func (f *forgotten) has(p keyPrint) bool {
	_, ok := f.set[p]
	return ok
}

func (f *forgotten) add(p keyPrint) {
	if f.has(p) {
		return
	}
	f.queue = append(f.queue, p)
	f.set[p] = struct{}{}
	for len(f.queue) > maxForgotten {
		delete(f.set, f.queue[0])
		f.queue = f.queue[1:]
	}
}

// expiryHeap orders records by expiry, then by fence, so that all replicas
// forget in the same order.
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

// overdue makes a claim unknown whose attempt had its time and did not settle.
func overdue(r *statepb.ClaimRecord, now int64) {
	if r.State == controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS && now >= r.RunUntilMs {
		r.State = controlpb.ClaimState_CLAIM_STATE_UNKNOWN
	}
}
