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

// Guards against a place that is granted to its new owner before the old one
// has given it up.
func TestPlaceIsGrantedAfterItsRelease(t *testing.T) {
	owners := newOwnership()
	owners.begin(replicator.Assignment{Shards: map[uint32]string{0: "a"}})
	shard := place{}
	assert.Assert(t, owners.grantable("a", shardZero)[shard])
	changed := owners.apply(replicator.Assignment{Shards: map[uint32]string{0: "b"}}, shardZero)
	assert.DeepEqual(t, len(changed), 1)
	assert.Assert(t, !owners.grantable("b", shardZero)[shard])
	covered := owners.grantable("a", shardZero)
	assert.Equal(t, len(covered), 0)
	owners.release("a", owners.releasing("a", covered))
	assert.Assert(t, owners.grantable("b", shardZero)[shard])
}

// Guards against a hot key that two upstreams own: one through the key, the
// other through the shard.
func TestHotKeyLeavesItsShard(t *testing.T) {
	owners := newOwnership()
	owners.begin(replicator.Assignment{Shards: map[uint32]string{0: "a"}})
	owners.grantable("a", shardZero)
	next := owners.assignment
	next.HotKeys = map[string]string{"hot": "b"}
	owners.apply(next, shardZero)
	assert.Equal(t, len(owners.grantable("b", shardZero)), 0)
	covered := owners.grantable("a", shardZero)
	grant := owners.grant("a", covered, shardZero)
	assert.DeepEqual(t, grant.ExcludedKeys, []string{"hot"})
	assert.DeepEqual(t, grant.Shards, []uint32{0})
	owners.release("a", owners.releasing("a", covered))
	assert.Assert(t, owners.grantable("b", shardZero)[place{key: "hot"}])
}

// Guards against a key that starts at a second upstream.
func TestKeyRunsAtOneUpstream(t *testing.T) {
	owners := newOwnership()
	owners.start("k", "a")
	owners.start("k", "a")
	assert.Assert(t, owners.runsElsewhere("k", "b"))
	assert.Assert(t, !owners.end("k"))
	assert.Assert(t, owners.end("k"))
	assert.Assert(t, !owners.runsElsewhere("k", "b"))
	owners.start("k", "b")
	defer func() { assert.Assert(t, recover() != nil) }()
	owners.start("k", "a")
}

// Guards against more retries than a tenth of the successes.
func TestBudget(t *testing.T) {
	budget, taken := newBudget(), 0
	for range 1000 {
		budget.succeed()
		if budget.take() {
			taken++
		}
	}
	assert.Assert(t, taken == 100 || taken == 101, taken)
}

// Guards against a slow upstream that keeps its full share, and against a
// normal one that loses a part of it.
func TestRelativeSpeeds(t *testing.T) {
	speeds := map[string]*speed{"a": {}, "b": {}, "c": {}, "slow": {}, "new": {}}
	for range 50 {
		for name, service := range map[string]time.Duration{"a": 10, "b": 11, "c": 15, "slow": 100} {
			speeds[name].add(queuer.Lookup, service*time.Millisecond, time.Unix(100, 0))
		}
	}
	relative := relativeSpeeds(speeds)
	assert.Equal(t, relative["a"]+relative["b"]+relative["c"]+relative["new"], 4.0)
	assert.Assert(t, relative["slow"] > 0.09 && relative["slow"] < 0.12, relative["slow"])
}

// Guards against a grant whose time counts from the send instead of the
// upstream's last answer.
func TestGrantTimeCountsFromTheStamp(t *testing.T) {
	fake := clocker.NewFake(time.Unix(100, 0))
	known := newUpstream(configurer.Upstream{Name: "a", Slots: 1})
	known.begin(fake, defaultPolicies)
	known.health = up
	known.stamp = stamp{value: 5, sent: fake.Now(), received: fake.Now().Add(10 * time.Millisecond)}
	fake.Advance(400 * time.Millisecond)
	var seq uint64
	content := &granting{full: Grant{Shards: []uint32{1}}, covered: content{place{shard: 1}: true}}
	renewal := known.renew(content, &seq, fake.Now())
	renewal.checks = true
	known.confirm(renewal)
	fake.Advance(399 * time.Millisecond)
	assert.Assert(t, known.servable(fake.Now()))
	fake.Advance(time.Millisecond)
	assert.Assert(t, !known.servable(fake.Now()))
	assert.Equal(t, known.possibleUntil, known.stamp.received.Add(grantTTL))
	next := known.renew(content, &seq, fake.Now())
	assert.Assert(t, next.grant.Renew)
	assert.Equal(t, next.grant.Seq, renewal.grant.Seq)
}

// Guards against a cold upstream that gets its full share at once.
func TestCapacityOfAColdUpstream(t *testing.T) {
	fake := clocker.NewFake(time.Unix(100, 0))
	known := newUpstream(configurer.Upstream{Name: "a", Slots: 2})
	known.coldSince = fake.Now()
	assert.Equal(t, known.capacity(fake.Now()), 0.2)
	fake.Advance(rampTime / 2)
	assert.Equal(t, known.capacity(fake.Now()), 1.0)
	fake.Advance(rampTime)
	assert.Equal(t, known.capacity(fake.Now()), 2.0)
}
