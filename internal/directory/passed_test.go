package directory

import "testing"

func TestNewsIsPassedOnceAMajorityKnows(t *testing.T) {
	for _, c := range []struct {
		others  int
		answers []bool
		// after is how many answers it takes.
		after int
	}{
		{0, nil, 0},
		{1, []bool{true}, 1},
		{2, []bool{true, true}, 1},
		{2, []bool{false, true}, 2},
		{2, []bool{false, false}, 2},
		{7, []bool{true, false, true, true, true, true, true}, 5},
		{7, []bool{false, false, false, false, false, true, false}, 7},
	} {
		p := newPassed(c.others)
		closed := func() bool {
			select {
			case <-p.done:
				return true
			default:
				return false
			}
		}
		for i := 0; ; i++ {
			if closed() != (i >= c.after) {
				t.Errorf("%d others, answers %v: passed is %v after %d", c.others, c.answers, closed(), i)
				break
			}
			if i == len(c.answers) {
				break
			}
			p.answered(c.answers[i])
		}
	}
}
