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

// Groups are the groups that this VM may serve.
type Groups interface {
	// Holds reports whether this VM serves the group.
	Holds(group string) bool
	// DrainShards stops the shards in the group and returns once none of their
	// requests is in flight, and the holders of the receiving groups know the
	// group's request IDs.
	DrainShards(ctx context.Context, group string, moves map[uint32]string) error
	// ResumeShards serves the group's shards again as its homes say.
	ResumeShards(group string)
}

// maxMoves bounds the shards that move in one step. They are not served during
// the step.
const maxMoves = 32

// move brings the homes of a service in line with the document: a group without
// upstreams gives all its shards away, and a new group receives its share. Each
// group's holder gives away its own shards, so that no two VMs decide about one
// shard.
func (homer *Controller) move(ctx context.Context, service configurer.Service) {
	object, ok := homer.Objects.Get(ObjectName(service.Name))
	if !ok {
		return
	}
	homes, err := locator.ParseShardMap(object.Value)
	if err != nil {
		return
	}
	next, changed := target(service, homes)
	if !changed {
		return
	}
	for _, group := range homes.Groups {
		moves := movesOf(homes, next, group)
		if len(moves) == 0 || !homer.Groups.Holds(group) {
			continue
		}
		if err := homer.giveAway(ctx, homes, next, group, moves, object.Version); err != nil {
			homer.Recorder.Record(timeliner.Event{Kind: "homesMoveFailed", Group: group, Detail: err.Error()})
			_ = clocker.Sleep(ctx, homer.Clock, movePause)
		}
		return // the next step begins with the homes as they then are
	}
}

// movePause follows a step that failed.
const movePause = 4 * interval

// target returns the homes as the document's groups ask for, and whether they
// differ enough to move shards. Groups keep their place in the list.
func target(service configurer.Service, homes locator.ShardMap) (locator.ShardMap, bool) {
	specs := service.Groups()
	if len(specs) == 0 {
		return homes, false
	}
	weights := map[string]float64{}
	for _, spec := range specs {
		for _, upstream := range spec.Upstreams {
			weights[spec.ID] += float64(upstream.Slots)
		}
	}
	next := homes
	next.Groups = slices.Clone(homes.Groups)
	for _, group := range slices.Sorted(maps.Keys(weights)) {
		if !slices.Contains(next.Groups, group) {
			next.Groups = append(next.Groups, group)
		}
	}
	list := make([]float64, len(next.Groups))
	for index, group := range next.Groups {
		list[index] = weights[group]
	}
	next.Shards = sharder.Rebalance(homes.Shards, list)
	return next, unbalanced(homes.Shards, next.Shards, len(list))
}

// unbalanced reports whether a group has far fewer or more shards than its
// share. A small change of the slots moves nothing.
func unbalanced(current, wanted []int, groups int) bool {
	have, want := make([]int, groups), make([]int, groups)
	for shard := range current {
		have[current[shard]]++
		want[wanted[shard]]++
	}
	for group := range groups {
		if float64(have[group]) > maxExcess*float64(want[group]) || float64(want[group]) > maxExcess*float64(have[group]) {
			return true
		}
	}
	return false
}

// maxExcess is the factor by which a group's shards may differ from its share.
const maxExcess = 1.25

// movesOf returns the shards that the group gives away in the next step, with
// the receiving groups.
func movesOf(homes, next locator.ShardMap, group string) map[uint32]string {
	moves := map[uint32]string{}
	for shard, index := range homes.Shards {
		receiver := next.Groups[next.Shards[shard]]
		if homes.Groups[index] == group && receiver != group && len(moves) < maxMoves {
			moves[uint32(shard)] = receiver
		}
	}
	return moves
}

func (homer *Controller) giveAway(ctx context.Context, homes, next locator.ShardMap, group string, moves map[uint32]string, version string) error {
	defer homer.Groups.ResumeShards(group)
	if err := homer.Groups.DrainShards(ctx, group, moves); err != nil {
		return err
	}
	changed := homes
	changed.Groups, changed.Shards = next.Groups, slices.Clone(homes.Shards)
	for shard, receiver := range moves {
		changed.Shards[shard] = slices.Index(changed.Groups, receiver)
	}
	changed.Revision++
	changed.WriteID = uuid.NewString()
	value, err := json.Marshal(changed)
	if err != nil {
		return fmt.Errorf("homes of service %s: %w", homes.Service, err)
	}
	if _, err := homer.Objects.Put(ctx, ObjectName(homes.Service), value, version); err != nil {
		return fmt.Errorf("homes of service %s: %w", homes.Service, err)
	}
	homer.Recorder.Record(timeliner.Event{Kind: "homesMoved", Group: group, Detail: fmt.Sprintf("%d shards", len(moves))})
	return nil
}
