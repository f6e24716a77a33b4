package homer

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/google/uuid"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/sharder"
)

// Groups gives access to the groups of which this VM is a candidate.
type Groups interface {
	// Holds reports whether this VM is the holder of the group.
	Holds(group string) bool
	// DrainShards stops serving the shards in the group. It returns once none of their
	// requests is in flight and the holders of the receiving groups have received the
	// group's request IDs. The values of moves are the receiving groups.
	DrainShards(ctx context.Context, group string, moves map[uint32]string) error
	// ResumeShards serves all shards that the shard map assigns to the group.
	ResumeShards(group string)
}

// maxMovesPerStep bounds the shards that move in one step, because they are not served
// during the step.
const maxMovesPerStep = 32

// rebalance moves shards as the document requires: all shards of a group that has no
// upstreams any more move to other groups, and a new group receives its share. Only the
// holder of a group moves the group's shards, so that no two VMs decide about the same
// shard.
func (controller *Controller) rebalance(ctx context.Context, service configurer.Service) {
	object, ok := controller.Objects.Get(ObjectName(service.Name))
	if !ok {
		return
	}
	current, err := locator.ParseShardMap(object.Value)
	if err != nil {
		return
	}
	target, needed := targetShardMap(service, current)
	if !needed {
		return
	}
	for _, group := range current.Groups {
		moves := nextMoves(current, target, group)
		if len(moves) == 0 || !controller.Groups.Holds(group) {
			continue
		}
		if err := controller.moveShards(ctx, current, target, group, moves, object.Version); err != nil {
			controller.Recorder.Record(timeliner.Event{Kind: "homesMoveFailed", Group: group, Detail: err.Error()})
			_ = clocker.Sleep(ctx, controller.Clock, retryDelay)
		}
		return // the next step reads the updated shard map
	}
}

// retryDelay is the pause after a step that failed.
const retryDelay = 4 * checkInterval

// targetShardMap returns the shard map that matches the groups of the document, and reports
// whether it differs enough from the current one to move shards. Groups keep their index.
func targetShardMap(service configurer.Service, current locator.ShardMap) (locator.ShardMap, bool) {
	specs := service.Groups()
	if len(specs) == 0 {
		return current, false
	}
	groupWeights := map[string]float64{}
	for _, spec := range specs {
		for _, upstream := range spec.Upstreams {
			groupWeights[spec.ID] += float64(upstream.Slots)
		}
	}
	target := current
	target.Groups = slices.Clone(current.Groups)
	for _, group := range slices.Sorted(maps.Keys(groupWeights)) {
		if !slices.Contains(target.Groups, group) {
			target.Groups = append(target.Groups, group)
		}
	}
	weights := make([]float64, len(target.Groups))
	for index, group := range target.Groups {
		weights[index] = groupWeights[group]
	}
	target.Shards = sharder.Rebalance(current.Shards, weights)
	return target, needsRebalance(current.Shards, target.Shards, len(weights))
}

// needsRebalance reports whether a group has far fewer or far more shards than its share.
// Small changes of the number of slots move no shards.
func needsRebalance(current, target []int, groups int) bool {
	have, want := make([]int, groups), make([]int, groups)
	for shard := range current {
		have[current[shard]]++
		want[target[shard]]++
	}
	for group := range groups {
		if float64(have[group]) > maxImbalance*float64(want[group]) || float64(want[group]) > maxImbalance*float64(have[group]) {
			return true
		}
	}
	return false
}

// maxImbalance is the factor by which the number of a group's shards may differ from its
// share before shards move.
const maxImbalance = 1.25

// nextMoves returns the shards that leave the group in the next step, with the groups that
// receive them.
func nextMoves(current, target locator.ShardMap, group string) map[uint32]string {
	moves := map[uint32]string{}
	for shard, index := range current.Shards {
		receiver := target.Groups[target.Shards[shard]]
		if current.Groups[index] == group && receiver != group && len(moves) < maxMovesPerStep {
			moves[uint32(shard)] = receiver
		}
	}
	return moves
}

// moveShards drains the shards and then writes the shard map that assigns them to their
// receiving groups. The version is that of the object that current was read from.
func (controller *Controller) moveShards(ctx context.Context, current, target locator.ShardMap, group string, moves map[uint32]string, version string) error {
	defer controller.Groups.ResumeShards(group)
	if err := controller.Groups.DrainShards(ctx, group, moves); err != nil {
		return err
	}
	updated := current
	updated.Groups, updated.Shards = target.Groups, slices.Clone(current.Shards)
	for shard, receiver := range moves {
		updated.Shards[shard] = slices.Index(updated.Groups, receiver)
	}
	updated.Revision++
	updated.WriteID = uuid.NewString()
	value, err := json.Marshal(updated)
	if err != nil {
		return fmt.Errorf("homes of service %s: %w", current.Service, err)
	}
	if _, err := controller.Objects.Put(ctx, ObjectName(current.Service), value, version); err != nil {
		return fmt.Errorf("homes of service %s: %w", current.Service, err)
	}
	controller.Recorder.Record(timeliner.Event{Kind: "homesMoved", Group: group, Detail: fmt.Sprintf("%d shards", len(moves))})
	return nil
}
