package capacity

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/statepb"
	"github.com/kumquathollow/kumquathollow/internal/control"
)

const (
	// claimBaseMs is the Unix time, in ms, of the first log entry.
	claimBaseMs = 1_780_000_000_000
	// recordedAnswerBytes is the size of a typical response that is recorded to be
	// replayed to repeated requests.
	recordedAnswerBytes = 400
	retentionMs         = 24 * 3600 * 1000
	claimRunMs          = 30_000
)

func claimEntry(i int) ([]byte, error) {
	return proto.Marshal(&statepb.Command{UnixMs: claimBaseMs + int64(i), Op: &statepb.Command_Claim{Claim: &controlpb.ClaimRequest{
		Key: claimKey(i), BodyHash: make([]byte, 32), AttemptId: fmt.Sprintf("attempt-%08d", i), Router: "router-001",
		RetentionMs: retentionMs, RunMs: claimRunMs,
	}}})
}

func claimKey(i int) *controlpb.ClaimKey {
	return &controlpb.ClaimKey{Service: "bookings", Workspace: fmt.Sprintf("workspace-%05d", i%100), IdempotencyKey: fmt.Sprintf("key-%016d", i)}
}

func settleEntry(i int) ([]byte, error) {
	return proto.Marshal(&statepb.Command{UnixMs: claimBaseMs + int64(i), Op: &statepb.Command_Settle{Settle: &controlpb.SettleRequest{
		Key: claimKey(i), AttemptId: fmt.Sprintf("attempt-%08d", i), State: controlpb.ClaimState_CLAIM_STATE_COMPLETED,
		Answer: &controlpb.RecordedAnswer{Status: 200, ContentType: "application/json", Body: bytes.Repeat([]byte("a"), recordedAnswerBytes)},
	}}})
}

// applyClaims applies n claims and their outcomes and returns the total size of their
// log entries.
func applyClaims(s *control.State, n int) (logBytes int, err error) {
	for i := range n {
		for _, entry := range []func(int) ([]byte, error){claimEntry, settleEntry} {
			data, err := entry(i)
			if err != nil {
				return 0, err
			}
			logBytes += len(data)
			s.Apply(data)
		}
	}
	if got := s.ClaimCount(); got != n {
		return 0, errors.Newf("state holds %d of %d applied claims", got, n)
	}
	return logBytes, nil
}

func controlProbes() []Probe {
	sizes := []int{2000, 8000, 32000}
	return []Probe{
		{"control.bytes_per_claim", "B", sizes, func(n int) (float64, error) {
			return retainedHeap(func() (*control.State, error) {
				s := control.NewState()
				_, err := applyClaims(s, n)
				return s, err
			})
		}},
		{"control.log_bytes_per_claim", "B", sizes, func(n int) (float64, error) {
			bytes, err := applyClaims(control.NewState(), n)
			return float64(bytes), err
		}},
		{"control.apply_ns_per_claim", "ns", sizes, func(n int) (float64, error) {
			return medianTime(func() error {
				_, err := applyClaims(control.NewState(), n)
				return err
			})
		}},
		{"membership.bytes_per_heartbeat", "B", []int{50, 330, 1000}, func(n int) (float64, error) {
			total := 0
			for i := range n {
				total += wireSize(&controlpb.HeartbeatRequest{Node: &controlpb.NodeStatus{
					Name: fmt.Sprintf("router-%03d", i), Role: "router", DataCentre: "dc-0", Incarnation: "01234567-89ab-cdef-0123-456789abcdef",
					InForce: &controlpb.Revision{Epoch: 1, Number: 100_000}, Ready: true, Address: "10.0.0.1:7301",
				}}) + wireSize(&controlpb.HeartbeatResponse{Newest: &controlpb.Revision{Epoch: 1, Number: 100_000}})
			}
			return float64(total), nil
		}},
	}
}
