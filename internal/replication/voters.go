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

func cloneSet(s *pb.VoterSet) *pb.VoterSet {
	if s == nil {
		return &pb.VoterSet{}
	}
	return proto.Clone(s).(*pb.VoterSet)
}

func without(vs []*pb.Voter, id string) []*pb.Voter {
	return slices.DeleteFunc(vs, func(v *pb.Voter) bool { return v.Id == id })
}

// WithLearner returns the set with the voter added as a learner.
func WithLearner(s *pb.VoterSet, v *pb.Voter) *pb.VoterSet {
	c := cloneSet(s)
	c.Learners = append(without(c.Learners, v.Id), v)
	return c
}

// WithPromoted returns the set with the learner made a voter.
func WithPromoted(s *pb.VoterSet, id string) *pb.VoterSet {
	c := cloneSet(s)
	if v := findVoter(c.Learners, id); v != nil {
		c.Learners = without(c.Learners, id)
		c.Voters = append(c.Voters, v)
	}
	return c
}

// Without returns the set with neither a voter nor a learner of that id.
func Without(s *pb.VoterSet, id string) *pb.VoterSet {
	c := cloneSet(s)
	c.Voters = without(c.Voters, id)
	c.Learners = without(c.Learners, id)
	return c
}

// oneApart reports whether at most one voter differs between the sets.
func oneApart(a, b *pb.VoterSet) bool {
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

// showsLess reports whether a disk that holds term and last has forgotten part
// of m. Within one term an acknowledged index is never truncated.
func showsLess(term, last uint64, m *pb.Mark) bool {
	return term < m.Term || term == m.Term && last < m.Index
}

func mergeMark(a, b *pb.Mark) *pb.Mark {
	if a == nil || b.Term > a.Term || b.Term == a.Term && b.Index > a.Index {
		return b
	}
	return a
}
