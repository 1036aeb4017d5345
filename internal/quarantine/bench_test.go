package quarantine

import (
	"testing"
	"time"
)

// BenchmarkFlush measures what the leader does at each flush while as many crashes as it
// retains have as many suspects as it retains, each present at few of them.
func BenchmarkFlush(b *testing.B) {
	tracker, now := NewTracker(), epoch
	for n := range maxCrashes {
		var suspects []Subject
		for i := range maxSuspects {
			suspects = append(suspects, part(n/3*maxSuspects+i))
		}
		now = now.Add(time.Second)
		tracker.RecordCrash(crashAt(now, n, suspects...), now)
	}
	for b.Loop() {
		tracker.Watched(now)
		tracker.Verdicts(nil, now)
	}
}
