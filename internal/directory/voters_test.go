package directory

import (
	"slices"
	"testing"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

func groupStatus(silent map[string]int64, voters ...string) *replication.Status {
	s := &replication.Status{ID: voters[0], Leading: true, Voters: &pb.VoterSet{}, Progress: map[string]replication.MemberProgress{}}
	for _, v := range voters {
		s.Voters.Voters = append(s.Voters.Voters, &pb.Voter{Id: v, Address: v, Disk: "disk-" + v})
		s.Progress[v] = replication.MemberProgress{MatchIndex: 10, SilentMs: silent[v], UnansweredMs: silent[v]}
	}
	return s
}

func join(id, disk string) *fleetpb.JoinRequest {
	return &fleetpb.JoinRequest{Id: id, Address: id, Disk: disk}
}

// withLearners adds learners to the set. Their lag is the number of committed entries that they miss.
func withLearners(s *replication.Status, lag uint64, learners ...string) *replication.Status {
	s.Commit = 1000
	for _, v := range learners {
		s.Voters.Learners = append(s.Voters.Learners, &pb.Voter{Id: v, Address: v, Disk: "disk-" + v})
		s.Progress[v] = replication.MemberProgress{MatchIndex: s.Commit - lag}
	}
	return s
}

func TestNextVoterChange(t *testing.T) {
	const dead = 10_000
	newLeader := groupStatus(map[string]int64{"b": dead}, "a", "b", "c", "d")
	newLeader.Progress["b"] = replication.MemberProgress{SilentMs: dead, UnansweredMs: 500}
	goneLearner := withLearners(groupStatus(nil, "a", "b", "c"), 5, "d")
	goneLearner.Progress["d"] = replication.MemberProgress{SilentMs: dead, UnansweredMs: dead}
	for name, c := range map[string]struct {
		status  *replication.Status
		pending []*fleetpb.JoinRequest
		want    string
	}{
		"one that a new leader has not waited for is kept":                {newLeader, nil, ""},
		"a silent voter of four is kept if three live ones do not remain": {groupStatus(map[string]int64{"b": dead, "c": dead}, "a", "b", "c", "d"), nil, ""},
		"nothing to do":                                                      {groupStatus(nil, "a", "b", "c"), nil, ""},
		"a wiped voter is removed first":                                     {groupStatus(nil, "a", "b", "c"), []*fleetpb.JoinRequest{join("b", "new")}, "remove b"},
		"a wiped voter gets the log again after its removal":                 {groupStatus(nil, "a", "c"), []*fleetpb.JoinRequest{join("b", "new")}, "learn b"},
		"a learner whose disk was wiped is removed first":                    {withLearners(groupStatus(nil, "a", "b"), 5, "c"), []*fleetpb.JoinRequest{join("c", "new")}, "remove c"},
		"a new process gets the log first":                                   {groupStatus(nil, "a", "b", "c"), []*fleetpb.JoinRequest{join("d", "disk-d")}, "learn d"},
		"one that lacks too much of it is not added":                         {withLearners(groupStatus(nil, "a", "b", "c"), 500, "d"), []*fleetpb.JoinRequest{join("d", "disk-d")}, ""},
		"a new process is added once it has caught up":                       {withLearners(groupStatus(nil, "a", "b", "c"), 5, "d"), []*fleetpb.JoinRequest{join("d", "disk-d")}, "add d"},
		"a learner that has gone is removed":                                 {goneLearner, nil, "remove d"},
		"a silent voter of three is kept":                                    {groupStatus(map[string]int64{"b": dead}, "a", "b", "c"), nil, ""},
		"a replacement for a silent voter gets the log":                      {groupStatus(map[string]int64{"b": dead}, "a", "b", "c"), []*fleetpb.JoinRequest{join("d", "disk-d")}, "learn d"},
		"a silent voter is kept until its replacement has caught up":         {withLearners(groupStatus(map[string]int64{"b": dead}, "a", "b", "c"), 500, "d"), []*fleetpb.JoinRequest{join("d", "disk-d")}, ""},
		"a silent voter is removed before its replacement is added":          {withLearners(groupStatus(map[string]int64{"b": 2100}, "a", "b", "c"), 5, "d"), []*fleetpb.JoinRequest{join("d", "disk-d")}, "remove b"},
		"a replacement waits while a voter may be silent":                    {withLearners(groupStatus(map[string]int64{"b": 900}, "a", "b", "c"), 5, "d"), []*fleetpb.JoinRequest{join("d", "disk-d")}, ""},
		"a replacement is added after the removal":                           {withLearners(groupStatus(nil, "a", "c"), 5, "d"), []*fleetpb.JoinRequest{join("d", "disk-d")}, "add d"},
		"one removal is followed by an addition":                             {withLearners(groupStatus(map[string]int64{"b": dead}, "a", "b"), 5, "d"), []*fleetpb.JoinRequest{join("d", "disk-d")}, "add d"},
		"a silent voter is removed once its replacement has joined":          {groupStatus(map[string]int64{"b": dead}, "a", "b", "c", "d"), nil, "remove b"},
		"a short silence is tolerated":                                       {groupStatus(map[string]int64{"b": 500}, "a", "b", "c", "d"), nil, ""},
		"of two silent voters of five the one silent for longest is removed": {groupStatus(map[string]int64{"b": dead, "c": dead + 1}, "a", "b", "c", "d", "e"), nil, "remove c"},
		"the other of them is removed next":                                  {groupStatus(map[string]int64{"b": dead}, "a", "b", "d", "e"), nil, "remove b"},
		"a removed voter that returns gets what it lacks":                    {groupStatus(nil, "a", "c", "d"), []*fleetpb.JoinRequest{join("b", "disk-b")}, "learn b"},
		"a removed voter that returns is added":                              {withLearners(groupStatus(nil, "a", "c", "d"), 0, "b"), []*fleetpb.JoinRequest{join("b", "disk-b")}, "add b"},
		"a replaced disk is handled before a silent voter":                   {groupStatus(map[string]int64{"b": dead}, "a", "b", "c", "d"), []*fleetpb.JoinRequest{join("c", "new")}, "remove c"},
	} {
		got := ""
		if s := nextVoterChange(c.status, c.pending, minVoters(1)); s != nil {
			got = s.op + " " + s.voter.Id
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// Guards against a quorum that is lost for good after two replacements: a successor was added while its
// predecessor still counted, so that three of four voters were needed until the removal, which took
// seconds where leadership changed. The majority must not grow, and the swap must end in time.
func TestASuccessorDoesNotRaiseTheMajorityWhileItsPredecessorCounts(t *testing.T) {
	voters, learners := []string{"a", "b", "lost"}, []string(nil)
	const successorStart, leaderChange, catchUp, step = 1000, 1600, 4000, 250
	done := 0
	for now := successorStart; now <= successorStart+catchUp; now += step {
		s := groupStatus(map[string]int64{"lost": int64(now)}, voters...)
		s.Progress["lost"] = replication.MemberProgress{SilentMs: int64(now), UnansweredMs: int64(now)}
		if now >= leaderChange {
			s.Progress["lost"] = replication.MemberProgress{SilentMs: int64(now), UnansweredMs: int64(now - leaderChange)}
		}
		withLearners(s, 0, learners...)
		change := nextVoterChange(s, []*fleetpb.JoinRequest{join("successor", "disk-successor")}, minVoters(1))
		switch {
		case change == nil || done > 0:
			continue
		case change.op == opLearn:
			learners = append(learners, change.voter.Id)
		case change.op == opRemove:
			voters = slices.DeleteFunc(voters, func(v string) bool { return v == change.voter.Id })
		case change.op == opAdd:
			voters, learners = append(voters, change.voter.Id), nil
		}
		if needed := len(voters)/2 + 1; needed > 2 {
			t.Fatalf("%d ms after the loss %d votes of %v are needed, 2 before", now, needed, voters)
		}
		if slices.Equal(voters, []string{"a", "b", "successor"}) {
			done = now
		}
	}
	if done == 0 {
		t.Errorf("voters are %v %d ms after the successor's start", voters, catchUp)
	}
}

// Guards against a set that bears fewer lost disks than it has to: where two are to be borne, what is
// committed must be on three, so five live voters have to remain.
func TestNoSilentVoterIsRemovedIfTooFewRemainToBearLostDisks(t *testing.T) {
	const dead = 10_000
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for losses := range 4 {
		for n := 3; n <= len(names); n++ {
			for gone := 1; gone < n; gone++ {
				silent := map[string]int64{}
				for _, id := range names[1 : gone+1] {
					silent[id] = dead
				}
				got := nextVoterChange(groupStatus(silent, names[:n]...), nil, minVoters(losses)) != nil
				if want := n-gone >= 2*max(1, losses)+1; got != want {
					t.Errorf("%d losses to be borne, %d of %d voters silent: one is removed: %v, want %v", losses, gone, n, got, want)
				}
			}
		}
	}
}

// Guards against a process with a full disk that the leader adds as a voter again and again,
// each time waiting in vain until it has caught up.
func TestASuspendedProcessDoesNotAskToJoin(t *testing.T) {
	m := &voterManager{id: "a", disk: "a-1"}
	voter := &pb.VoterSet{Voters: []*pb.Voter{{Id: "a", Disk: "a-1"}}}
	for _, tc := range []struct {
		status replication.Status
		want   bool
	}{
		{replication.Status{Voters: voter, Leader: "b"}, false},
		{replication.Status{Voters: voter}, true},
		{replication.Status{Leader: "b"}, true},
		{replication.Status{Suspended: true}, false},
	} {
		if got := m.wantsToJoin(&tc.status); got != tc.want {
			t.Errorf("%+v: asks to join is %v, want %v", tc.status, got, tc.want)
		}
	}
}
