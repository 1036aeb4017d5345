package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

func findVoter(vs []*pb.Voter, id string) *pb.Voter {
	for _, v := range vs {
		if v.Id == id {
			return v
		}
	}
	return nil
}

func isMember(vs []*pb.Voter, id, disk string) bool {
	v := findVoter(vs, id)
	return v != nil && v.Disk == disk
}

func majority(n int) int { return n/2 + 1 }

func cloneVoterSet(s *pb.VoterSet) *pb.VoterSet {
	if s == nil {
		return &pb.VoterSet{}
	}
	return proto.Clone(s).(*pb.VoterSet)
}

func deleteVoter(vs []*pb.Voter, id string) []*pb.Voter {
	return slices.DeleteFunc(vs, func(v *pb.Voter) bool { return v.Id == id })
}

// WithLearner returns a copy of the set with v added as a learner.
func WithLearner(s *pb.VoterSet, v *pb.Voter) *pb.VoterSet {
	c := cloneVoterSet(s)
	c.Learners = append(deleteVoter(c.Learners, v.Id), v)
	return c
}

// WithLearnerPromoted returns a copy of the set with the learner promoted to voter.
func WithLearnerPromoted(s *pb.VoterSet, id string) *pb.VoterSet {
	c := cloneVoterSet(s)
	if v := findVoter(c.Learners, id); v != nil {
		c.Learners = deleteVoter(c.Learners, id)
		c.Voters = append(c.Voters, v)
	}
	return c
}

// WithoutMember returns a copy of the set without the voter or learner of that id.
func WithoutMember(s *pb.VoterSet, id string) *pb.VoterSet {
	c := cloneVoterSet(s)
	c.Voters = deleteVoter(c.Voters, id)
	c.Learners = deleteVoter(c.Learners, id)
	return c
}

// differByAtMostOne reports whether b adds or removes at most one voter of a.
// Learners are not compared.
func differByAtMostOne(a, b *pb.VoterSet) bool {
	n := 0
	for _, v := range a.Voters {
		if !isMember(b.Voters, v.Id, v.Disk) {
			n++
		}
	}
	for _, v := range b.Voters {
		if !isMember(a.Voters, v.Id, v.Disk) {
			n++
		}
	}
	return n <= 1
}

// isBehindMark reports whether a disk at the given term and last index holds less
// than m, which it has acknowledged. Within one term, the log is never truncated
// below an acknowledged index.
func isBehindMark(term, last uint64, m *pb.Mark) bool {
	return term < m.Term || term == m.Term && last < m.Index
}

func maxMark(a, b *pb.Mark) *pb.Mark {
	if a == nil || b.Term > a.Term || b.Term == a.Term && b.Index > a.Index {
		return b
	}
	return a
}
