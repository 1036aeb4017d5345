package config

// CheckChange returns nil, or an error of kind invalid-declarations that lists what
// makes the transition from base to next unsafe although next itself is valid.
//
// While a change is being distributed, some nodes count majorities of the old lease
// voters and some of the new ones. Any two such majorities share a voter only if
// the two lists differ by one voter; otherwise two grantors could be elected.
func CheckChange(base, next *Set) error {
	c := &checker{set: next}
	for _, name := range sortedNames(next.DataCentres) {
		old, ok := base.DataCentres[name]
		if !ok || old == next.DataCentres[name] {
			continue
		}
		c.key = ObjectKey{KindDataCentre, name}
		c.checkVoterChange(old.LeaseVoters, next.DataCentres[name].LeaseVoters)
	}
	if len(c.faults) == 0 {
		return nil
	}
	return faultsError(c.faults)
}

// DataCentresWithVoterChanges returns the names of the data centres in both sets
// whose lease voters differ.
func DataCentresWithVoterChanges(base, next *Set) []string {
	var changed []string
	for _, name := range sortedNames(next.DataCentres) {
		old, ok := base.DataCentres[name]
		if !ok {
			continue
		}
		if added, removed := voterDelta(old.LeaseVoters, next.DataCentres[name].LeaseVoters); added+removed > 0 {
			changed = append(changed, name)
		}
	}
	return changed
}

func (c *checker) checkVoterChange(old, now []LeaseVoter) {
	added, removed := voterDelta(old, now)
	if added+removed > 1 {
		c.addFault("leaseVoters", "%d voters are added and %d removed at once; add or remove one in each change and wait until it is in force", added, removed)
	}
}

// voterDelta counts the voters in now that are not in old, and the reverse. A voter
// whose address changed counts as a different voter.
func voterDelta(old, now []LeaseVoter) (added, removed int) {
	type voter struct{ name, address string }
	before := map[voter]bool{}
	for _, v := range old {
		before[voter{v.Name, v.Address}] = true
	}
	kept := 0
	for _, v := range now {
		if before[voter{v.Name, v.Address}] {
			kept++
		}
	}
	return len(now) - kept, len(old) - kept
}
