package leaser_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

var timing = leaser.DefaultTiming()

// newVoter returns a voter that is ready to give promises, with its clock.
func newVoter() (*clocker.Fake, *leaser.Voter) {
	clock := clocker.NewFake(time.Unix(0, 0))
	voter := leaser.NewVoter(clock, timing)
	clock.Advance(timing.LeaseDuration + timing.SafetyMargin)
	return clock, voter
}

// Guards against a restarted voter that promises a term to one candidate while
// its former promise to another, which the restart lost, has not expired.
func TestVoterWaitsAfterStart(t *testing.T) {
	clock := clocker.NewFake(time.Unix(0, 0))
	voter := leaser.NewVoter(clock, timing)
	assert.Equal(t, voter.Promise(3, "a").RetryAfter, 850*time.Millisecond)
	clock.Advance(849 * time.Millisecond)
	assert.Assert(t, !voter.Promise(3, "a").Granted)
	clock.Advance(time.Millisecond)
	assert.Assert(t, voter.Promise(3, "a").Granted)
}

// Guards against promises to two holders that overlap in time.
func TestVoterPromisesOneHolderAtATime(t *testing.T) {
	clock, voter := newVoter()
	assert.Assert(t, voter.Promise(4, "b").Granted)
	assert.Equal(t, voter.Promise(3, "a"), leaser.Response{HigherTerm: 4})
	assert.Equal(t, voter.Promise(4, "a"), leaser.Response{HigherTerm: 4})
	assert.Equal(t, voter.Promise(5, "c"), leaser.Response{RetryAfter: timing.LeaseDuration})
	assert.Assert(t, voter.Promise(7, "b").Granted)
	clock.Advance(timing.LeaseDuration)
	assert.Assert(t, voter.Promise(8, "c").Granted)
	assert.Equal(t, voter.Promise(7, "b"), leaser.Response{HigherTerm: 8})
}

// Guards against a delayed release that ends the promise of another term, and
// against a delayed request that is promised a released term again.
func TestVoterReleaseEndsOnlyItsTerm(t *testing.T) {
	_, voter := newVoter()
	assert.Assert(t, voter.Promise(4, "b").Granted)
	assert.Assert(t, !voter.Release(4, "a"))
	assert.Assert(t, !voter.Release(3, "b"))
	assert.Assert(t, !voter.Release(5, "c"))
	assert.Assert(t, voter.Release(4, "b"))
	assert.Equal(t, voter.Promise(4, "b"), leaser.Response{HigherTerm: 4})
	assert.Assert(t, voter.Promise(8, "c").Granted)
	assert.Assert(t, !voter.Release(4, "b"))
}

// Guards against a candidate whose failed election ends the lease of the present
// holder, because its release raised the term of the voters.
func TestVoterReleaseDoesNotRaiseTheTerm(t *testing.T) {
	clock, voter := newVoter()
	assert.Assert(t, voter.Promise(4, "b").Granted)
	assert.Assert(t, !voter.Release(5, "c"))
	clock.Advance(timing.LeaseDuration)
	assert.Assert(t, !voter.Release(8, "c"))
	assert.Equal(t, voter.Promise(8, "c"), leaser.Response{HigherTerm: 8})
	assert.Assert(t, voter.Promise(4, "b").Granted)
}

// Guards against an observed term that ends a promise to another holder early,
// or that cannot be promised to anyone afterwards.
func TestObservedTermKeepsPromise(t *testing.T) {
	clock, voter := newVoter()
	assert.Assert(t, voter.Promise(4, "b").Granted)
	assert.Assert(t, voter.ObserveTerm(5))
	assert.Assert(t, !voter.ObserveTerm(4))
	assert.Equal(t, voter.Promise(4, "b"), leaser.Response{HigherTerm: 5})
	assert.Equal(t, voter.Promise(5, "c"), leaser.Response{RetryAfter: timing.LeaseDuration})
	clock.Advance(timing.LeaseDuration)
	assert.Assert(t, voter.Promise(5, "c").Granted)
}

// Guards against a lease that counts a promise from the response instead of the
// request, ignores the second voter list, or is still valid after a pause that
// outlasts it.
func TestLeaseNeedsMajorityOfEachList(t *testing.T) {
	clock := clocker.NewFake(time.Unix(0, 0))
	lease := leaser.NewLease(clock, timing, 3, []string{"a", "b", "c"}, []string{"a", "b", "d"})
	sent := clock.Now()
	clock.Advance(100 * time.Millisecond)
	lease.AddPromise("a", sent)
	lease.AddPromise("c", sent.Add(100*time.Millisecond))
	_, ok := lease.Valid()
	assert.Assert(t, !ok)
	assert.Assert(t, lease.HasMajority(clock.Now(), "d"))
	lease.AddPromise("d", sent)
	expiry, ok := lease.Valid()
	assert.Assert(t, ok)
	assert.Equal(t, expiry, sent.Add(750*time.Millisecond))
	clock.Advance(650 * time.Millisecond)
	_, ok = lease.Valid()
	assert.Assert(t, !ok)
	lease.AddPromise("a", clock.Now())
	lease.AddPromise("d", clock.Now())
	_, ok = lease.Valid()
	assert.Assert(t, ok)
	lease.End()
	_, ok = lease.Valid()
	assert.Assert(t, !ok)
}

// Guards against a validity check that is too slow to run on every request.
func TestLeaseValidDoesNotAllocate(t *testing.T) {
	lease := leaser.NewLease(clocker.System{}, timing, 1, []string{"a"})
	assert.Equal(t, testing.AllocsPerRun(100, func() { lease.Valid() }), 0.0)
}

// Guards against a term that is assigned to two candidates, and against terms
// that do not rise.
func TestNextTermHasOneCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "count")]
		base := rapid.Uint64Range(0, 1<<40).Draw(t, "base")
		above := rapid.Uint64Range(0, 1<<40).Draw(t, "above")
		candidateOf := map[uint64]string{}
		for _, candidate := range candidates {
			term, ok := leaser.NextTerm(candidates, base, candidate, above)
			assert.Assert(t, ok && term >= base && term > above && term <= max(base, above+1)+2)
			assert.Equal(t, candidates[term%uint64(len(candidates))], candidate)
			assert.Equal(t, candidateOf[term], "")
			candidateOf[term] = candidate
		}
		_, ok := leaser.NextTerm(candidates, base, "z", above)
		assert.Assert(t, !ok)
	})
}

func ExampleLease() {
	clock := clocker.NewFake(time.Unix(0, 0))
	voters := map[string]*leaser.Voter{}
	for _, name := range []string{"a", "b", "c"} {
		voters[name] = leaser.NewVoter(clock, leaser.DefaultTiming())
	}
	clock.Advance(time.Second) // a new voter gives no promises at first

	term, _ := leaser.NextTerm([]string{"a", "b", "c"}, 1, "b", 0)
	lease := leaser.NewLease(clock, leaser.DefaultTiming(), term, []string{"a", "b", "c"})
	for _, name := range []string{"a", "b"} {
		sent := clock.Now()
		if voters[name].Promise(term, "b").Granted {
			lease.AddPromise(name, sent)
		}
	}
	expiry, held := lease.Valid()
	fmt.Println(term, held, expiry.Sub(clock.Now()))
	clock.Advance(750 * time.Millisecond)
	_, held = lease.Valid()
	fmt.Println(held)
	// Output:
	// 1 true 750ms
	// false
}

func ExampleVoter() {
	clock := clocker.NewFake(time.Unix(0, 0))
	voter := leaser.NewVoter(clock, leaser.DefaultTiming())
	fmt.Println(voter.Promise(1, "b").RetryAfter)
	clock.Advance(time.Second)
	fmt.Println(voter.Promise(1, "b").Granted)
	fmt.Println(voter.Promise(2, "c").RetryAfter)
	voter.Release(1, "b")
	fmt.Println(voter.Promise(2, "c").Granted)
	// Output:
	// 850ms
	// true
	// 800ms
	// true
}
