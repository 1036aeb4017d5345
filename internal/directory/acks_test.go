package directory

import "testing"

// Guards against a departure that is acknowledged while routers use the server that leaves: both
// processes that they follow, of five or more, are not among the majority that has the departure.
func TestRelayIsDoneOnceEachRouterFollowsAProcessThatAcknowledged(t *testing.T) {
	for _, c := range []struct {
		peers   int
		answers []bool
		// want is the number of answers after which the relay is done.
		want int
	}{
		{0, nil, 0},
		{1, []bool{true}, 1},
		{2, []bool{true, true}, 1},
		{2, []bool{false, true}, 2},
		{2, []bool{false, false}, 2},
		{3, []bool{true, true, true}, 2},
		{4, []bool{true, true, true, true}, 3},
		{5, []bool{true, true, true, true, true}, 4},
		{5, []bool{true, false, true, true, true}, 5},
		{7, []bool{true, false, true, true, true, true, true}, 7},
		{7, []bool{false, false, false, false, false, true, false}, 7},
	} {
		counter := newAckCounter(c.peers)
		closed := func() bool {
			select {
			case <-counter.done:
				return true
			default:
				return false
			}
		}
		for i := 0; ; i++ {
			if closed() != (i >= c.want) {
				t.Errorf("%d peers, answers %v: done is %v after %d", c.peers, c.answers, closed(), i)
				break
			}
			if i == len(c.answers) {
				break
			}
			counter.record(c.answers[i])
		}
	}
}
