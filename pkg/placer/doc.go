// Package placer decides which upstream owns which shard. A moved shard is
// unavailable for a moment and meets a cold cache, so that the plan makes the
// fewest moves that bring the load into balance, and none without gain. Hot
// keys are found with a bounded sketch and are placed apart from their shard.
package placer
