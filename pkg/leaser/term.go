package leaser

import "slices"

// Majority returns the smallest number of voters that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

// MajorityOfEach reports whether counted holds for a majority of every list that
// is not empty. Without any voter there is no majority.
func MajorityOfEach(voterLists [][]string, counted func(voter string) bool) bool {
	return QuorumOfEach(voterLists, Majority, counted)
}

// QuorumOfEach reports whether counted holds for at least quorum(len(list))
// voters of every list that is not empty. Without any voter there is no quorum.
func QuorumOfEach(voterLists [][]string, quorum func(n int) int, counted func(voter string) bool) bool {
	voters := 0
	for _, list := range voterLists {
		count := 0
		for _, voter := range list {
			if counted(voter) {
				count++
			}
		}
		if len(list) > 0 && count < quorum(len(list)) {
			return false
		}
		voters += len(list)
	}
	return voters > 0
}

// NextTerm returns the lowest term that is at least base, higher than above and
// assigned to the candidate: term t belongs to candidates[t mod len(candidates)].
// It reports false when the candidate is not in the list.
func NextTerm(candidates []string, base uint64, candidate string, above uint64) (uint64, bool) {
	index := slices.Index(candidates, candidate)
	if index < 0 {
		return 0, false
	}
	count := uint64(len(candidates))
	lowest := max(base, above+1)
	return lowest + (uint64(index)+count-lowest%count)%count, true
}
