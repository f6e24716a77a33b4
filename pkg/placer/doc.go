// Package placer decides which upstream owns which shard. A moved shard is
// unavailable for a moment and then has a cold cache, so a plan makes as few
// moves as possible to balance the load, and none without a gain. Hot keys are
// found with a sketch of bounded size and are placed independently of their
// shards.
package placer
