package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

func shardZero(string) uint32 { return 0 }

// Guards against a placement unit that is granted to its new owner before the
// old owner has released it.
func TestUnitIsGrantedAfterItsRelease(t *testing.T) {
	owners := newOwnership()
	owners.reset(replicator.Assignment{Shards: map[uint32]string{0: "a"}})
	shard := placementUnit{}
	assert.Assert(t, owners.claimGrantable("a", shardZero)[shard])
	changed := owners.apply(replicator.Assignment{Shards: map[uint32]string{0: "b"}}, shardZero)
	assert.DeepEqual(t, len(changed), 1)
	assert.Assert(t, !owners.claimGrantable("b", shardZero)[shard])
	covered := owners.claimGrantable("a", shardZero)
	assert.Equal(t, len(covered), 0)
	owners.release("a", owners.unitsToRelease("a", covered))
	assert.Assert(t, owners.claimGrantable("b", shardZero)[shard])
}

// Guards against a hot key with two owners: one by the grant of the key, the
// other by the grant of its shard.
func TestHotKeyIsExcludedFromItsShard(t *testing.T) {
	owners := newOwnership()
	owners.reset(replicator.Assignment{Shards: map[uint32]string{0: "a"}})
	owners.claimGrantable("a", shardZero)
	next := owners.assignment
	next.HotKeys = map[string]string{"hot": "b"}
	owners.apply(next, shardZero)
	assert.Equal(t, len(owners.claimGrantable("b", shardZero)), 0)
	covered := owners.claimGrantable("a", shardZero)
	grant := owners.buildGrant("a", covered, shardZero)
	assert.DeepEqual(t, grant.ExcludedKeys, []string{"hot"})
	assert.DeepEqual(t, grant.Shards, []uint32{0})
	owners.release("a", owners.unitsToRelease("a", covered))
	assert.Assert(t, owners.claimGrantable("b", shardZero)[placementUnit{key: "hot"}])
}

// Guards against a request of a key that starts at one upstream while another
// upstream runs a request of the same key.
func TestKeyRunsAtOneUpstreamOnly(t *testing.T) {
	owners := newOwnership()
	owners.requestStarted("k", "a")
	owners.requestStarted("k", "a")
	assert.Assert(t, owners.runsElsewhere("k", "b"))
	assert.Assert(t, !owners.requestEnded("k"))
	assert.Assert(t, owners.requestEnded("k"))
	assert.Assert(t, !owners.runsElsewhere("k", "b"))
	owners.requestStarted("k", "b")
	defer func() { assert.Assert(t, recover() != nil) }()
	owners.requestStarted("k", "a")
}

// Guards against more retries than a tenth of the successes.
func TestRetryBudget(t *testing.T) {
	budget, granted := newRetryBudget(), 0
	for range 1000 {
		budget.addSuccess()
		if budget.take() {
			granted++
		}
	}
	assert.Assert(t, granted == 100 || granted == 101, granted)
}

// Guards against a slow upstream that keeps its full share of the load, and
// against a normal upstream that loses a part of its share.
func TestRelativeSpeeds(t *testing.T) {
	timesByUpstream := map[string]*serviceTimes{"a": {}, "b": {}, "c": {}, "slow": {}, "new": {}}
	for range 50 {
		for name, service := range map[string]time.Duration{"a": 10, "b": 11, "c": 15, "slow": 100} {
			timesByUpstream[name].add(queuer.Lookup, service*time.Millisecond, time.Unix(100, 0))
		}
	}
	relative := relativeSpeeds(timesByUpstream)
	assert.Equal(t, relative["a"]+relative["b"]+relative["c"]+relative["new"], 4.0)
	assert.Assert(t, relative["slow"] > 0.09 && relative["slow"] < 0.12, relative["slow"])
}

// Guards against a grant whose TTL counts from the time of the send instead of
// the last reading of the upstream's clock.
func TestGrantExpiryCountsFromClockReading(t *testing.T) {
	clock := clocker.NewFake(time.Unix(100, 0))
	upstream := newUpstream(configurer.Upstream{Name: "a", Slots: 1})
	upstream.reset(clock, defaultPolicies)
	upstream.health = healthUp
	upstream.clock = clockReading{value: 5, sentAt: clock.Now(), receivedAt: clock.Now().Add(10 * time.Millisecond)}
	clock.Advance(400 * time.Millisecond)
	var seq uint64
	content := &grantContent{grant: Grant{Shards: []uint32{1}}, covered: unitSet{placementUnit{shard: 1}: true}}
	renewal := upstream.buildRenewal(content, &seq, clock.Now())
	renewal.checksGrants = true
	upstream.confirm(renewal)
	clock.Advance(399 * time.Millisecond)
	assert.Assert(t, upstream.servable(clock.Now()))
	clock.Advance(time.Millisecond)
	assert.Assert(t, !upstream.servable(clock.Now()))
	assert.Equal(t, upstream.mayActUntil, upstream.clock.receivedAt.Add(grantTTL))
	next := upstream.buildRenewal(content, &seq, clock.Now())
	assert.Assert(t, next.grant.Renew)
	assert.Equal(t, next.grant.Seq, renewal.grant.Seq)
}

// Guards against a cold upstream that gets its full share of the load
// immediately.
func TestCapacityOfColdUpstream(t *testing.T) {
	clock := clocker.NewFake(time.Unix(100, 0))
	upstream := newUpstream(configurer.Upstream{Name: "a", Slots: 2})
	upstream.coldSince = clock.Now()
	assert.Equal(t, upstream.capacity(clock.Now()), 0.2)
	clock.Advance(rampTime / 2)
	assert.Equal(t, upstream.capacity(clock.Now()), 1.0)
	clock.Advance(rampTime)
	assert.Equal(t, upstream.capacity(clock.Now()), 2.0)
}
