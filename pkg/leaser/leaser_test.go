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

func newVoter() (*clocker.Fake, *leaser.Voter) {
	fake := clocker.NewFake(time.Unix(0, 0))
	voter := leaser.NewVoter(fake, timing)
	fake.Advance(timing.LeaseDuration + timing.SafetyMargin)
	return fake, voter
}

// Guards against a restarted voter that breaks a promise it has forgotten.
func TestVoterWaitsAfterItsStart(t *testing.T) {
	fake := clocker.NewFake(time.Unix(0, 0))
	voter := leaser.NewVoter(fake, timing)
	assert.Equal(t, voter.Promise(3, "a").RetryAfter, 850*time.Millisecond)
	fake.Advance(849 * time.Millisecond)
	assert.Assert(t, !voter.Promise(3, "a").Granted)
	fake.Advance(time.Millisecond)
	assert.Assert(t, voter.Promise(3, "a").Granted)
}

// Guards against two holders that are promised the same time.
func TestVoterRefuses(t *testing.T) {
	fake, voter := newVoter()
	assert.Assert(t, voter.Promise(4, "b").Granted)
	assert.Equal(t, voter.Promise(3, "a"), leaser.Response{HigherTerm: 4})
	assert.Equal(t, voter.Promise(4, "a"), leaser.Response{HigherTerm: 4})
	assert.Equal(t, voter.Promise(5, "c"), leaser.Response{RetryAfter: timing.LeaseDuration})
	assert.Assert(t, voter.Promise(7, "b").Granted)
	fake.Advance(timing.LeaseDuration)
	assert.Assert(t, voter.Promise(8, "c").Granted)
	assert.Equal(t, voter.Promise(7, "b"), leaser.Response{HigherTerm: 8})
}

// Guards against a late release that ends the promise of another term, and
// against a late request that takes a released term again.
func TestVoterRelease(t *testing.T) {
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

// Guards against a candidate that asks in vain and thereby ends the lease of the
// present holder.
func TestVoterReleaseDoesNotRaiseTheTerm(t *testing.T) {
	fake, voter := newVoter()
	assert.Assert(t, voter.Promise(4, "b").Granted)
	assert.Assert(t, !voter.Release(5, "c"))
	fake.Advance(timing.LeaseDuration)
	assert.Assert(t, !voter.Release(8, "c"))
	assert.Equal(t, voter.Promise(8, "c"), leaser.Response{HigherTerm: 8})
	assert.Assert(t, voter.Promise(4, "b").Granted)
}

// Guards against an observed term that cuts short a promise to another holder,
// or that nobody can be promised afterwards.
func TestVoterObserve(t *testing.T) {
	fake, voter := newVoter()
	assert.Assert(t, voter.Promise(4, "b").Granted)
	assert.Assert(t, voter.ObserveTerm(5))
	assert.Assert(t, !voter.ObserveTerm(4))
	assert.Equal(t, voter.Promise(4, "b"), leaser.Response{HigherTerm: 5})
	assert.Equal(t, voter.Promise(5, "c"), leaser.Response{RetryAfter: timing.LeaseDuration})
	fake.Advance(timing.LeaseDuration)
	assert.Assert(t, voter.Promise(5, "c").Granted)
}

// Guards against a lease that counts from the answer, ignores the second list
// or survives a pause.
func TestHolderNeedsMajorityOfEachList(t *testing.T) {
	fake := clocker.NewFake(time.Unix(0, 0))
	holder := leaser.NewLease(fake, timing, 3, []string{"a", "b", "c"}, []string{"a", "b", "d"})
	sent := fake.Now()
	fake.Advance(100 * time.Millisecond)
	holder.AddPromise("a", sent)
	holder.AddPromise("c", sent.Add(100*time.Millisecond))
	_, ok := holder.Valid()
	assert.Assert(t, !ok)
	assert.Assert(t, holder.HasMajority(fake.Now(), "d"))
	holder.AddPromise("d", sent)
	until, ok := holder.Valid()
	assert.Assert(t, ok)
	assert.Equal(t, until, sent.Add(750*time.Millisecond))
	fake.Advance(650 * time.Millisecond)
	_, ok = holder.Valid()
	assert.Assert(t, !ok)
	holder.AddPromise("a", fake.Now())
	holder.AddPromise("d", fake.Now())
	_, ok = holder.Valid()
	assert.Assert(t, ok)
	holder.End()
	_, ok = holder.Valid()
	assert.Assert(t, !ok)
}

// Guards against a validity check that is too slow for every request.
func TestHolderValidDoesNotAllocate(t *testing.T) {
	holder := leaser.NewLease(clocker.System{}, timing, 1, []string{"a"})
	assert.Equal(t, testing.AllocsPerRun(100, func() { holder.Valid() }), 0.0)
}

// Guards against two candidates that take the same term and against terms that
// do not rise.
func TestNextTermHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "count")]
		base := rapid.Uint64Range(0, 1<<40).Draw(t, "base")
		above := rapid.Uint64Range(0, 1<<40).Draw(t, "above")
		owners := map[uint64]string{}
		for _, candidate := range candidates {
			term, ok := leaser.NextTerm(candidates, base, candidate, above)
			assert.Assert(t, ok && term >= base && term > above && term <= max(base, above+1)+2)
			assert.Equal(t, candidates[term%uint64(len(candidates))], candidate)
			assert.Equal(t, owners[term], "")
			owners[term] = candidate
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
	clock.Advance(time.Second) // new voters give no promise at first

	term, _ := leaser.NextTerm([]string{"a", "b", "c"}, 1, "b", 0)
	holder := leaser.NewLease(clock, leaser.DefaultTiming(), term, []string{"a", "b", "c"})
	for _, name := range []string{"a", "b"} {
		sent := clock.Now()
		if voters[name].Promise(term, "b").Granted {
			holder.AddPromise(name, sent)
		}
	}
	until, held := holder.Valid()
	fmt.Println(term, held, until.Sub(clock.Now()))
	clock.Advance(750 * time.Millisecond)
	_, held = holder.Valid()
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
