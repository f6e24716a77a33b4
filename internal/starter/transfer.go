package starter

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
)

const (
	// callSettle passes what a VM knows of requests to the holder of a group: how
	// those have ended that a former holder had in flight, and the request IDs of
	// a group that gives shards away.
	callSettle = "settle"
	// settleBatch keeps one call within the links' message size.
	settleBatch = 4000
	// settleAttempts and settlePause bound the search for a holder during a
	// takeover.
	settleAttempts = 20
	settlePause    = 100 * time.Millisecond
	// withdrawTimeout bounds the wait for requests in flight of moving shards.
	withdrawTimeout = 5 * time.Second
	withdrawPoll    = 10 * time.Millisecond
)

// settling is the body of callSettle.
type settling struct {
	Group   string             `cbor:"group"`
	Entries replicator.Entries `cbor:"entries"`
}

func (members *members) answerSettle(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var received settling
	if err := decode(&received); err != nil {
		return nil, fmt.Errorf("entries for a group: %w", err)
	}
	found := members.find(received.Group)
	if found == nil {
		return nil, fmt.Errorf("this VM does not take part in group %s", received.Group)
	}
	return nil, found.dispatcher.MergeOutcomes(ctx, received.Entries)
}

// settle passes entries to the holder of the group. It tries again while the
// group has none.
func (members *members) settle(ctx context.Context, group string, entries replicator.Entries) error {
	var failure error
	for range settleAttempts {
		vm, _, ok := members.locator.Holder(group)
		if !ok {
			failure = fmt.Errorf("group %s has no known holder", group)
		} else if failure = members.pool.Call(ctx, vm, callSettle, settling{Group: group, Entries: entries}, nil); failure == nil {
			return nil
		}
		if clocker.Sleep(ctx, members.clock, settlePause) != nil {
			break
		}
	}
	return fmt.Errorf("entries for group %s: %w", group, failure)
}

// Holds implements homer.Groups.
func (members *members) Holds(group string) bool {
	_, ok := members.held()[group]
	return ok
}

// DrainShards implements homer.Groups.
func (members *members) DrainShards(ctx context.Context, group string, moves map[uint32]string) error {
	ctx, cancel := clocker.WithTimeout(ctx, members.clock, withdrawTimeout)
	defer cancel()
	found := members.find(group)
	if found == nil {
		return fmt.Errorf("this VM does not take part in group %s", group)
	}
	homes, ok := members.locator.ShardMap(found.service)
	if !ok {
		return fmt.Errorf("the homes of service %s are not known", found.service)
	}
	moving := map[uint32]bool{}
	for shard := range moves {
		moving[shard] = true
	}
	found.dispatcher.SetHomeShards(slices.DeleteFunc(homes.ShardsOf(group), func(shard uint32) bool { return moving[shard] }))
	for !found.dispatcher.ShardsIdle(moving) {
		if err := clocker.Sleep(ctx, members.clock, withdrawPoll); err != nil {
			return fmt.Errorf("moving shards are still in use: %w", err)
		}
	}
	entries, err := found.dispatcher.RequestEntries()
	if err != nil {
		return err
	}
	receivers := map[string]bool{}
	for _, receiver := range moves {
		receivers[receiver] = true
	}
	for receiver := range maps.Keys(receivers) {
		if err := members.export(ctx, receiver, entries); err != nil {
			return err
		}
	}
	return nil
}

// export passes request IDs to the holder of the receiving group. Without any
// entries it still makes sure that the group has a holder.
func (members *members) export(ctx context.Context, receiver string, entries []deduper.Entry) error {
	for {
		batch := entries[:min(settleBatch, len(entries))]
		if err := members.settle(ctx, receiver, replicator.Entries{Requests: batch}); err != nil {
			return err
		}
		entries = entries[len(batch):]
		if len(entries) == 0 {
			return nil
		}
	}
}

// ResumeShards implements homer.Groups.
func (members *members) ResumeShards(group string) {
	found := members.find(group)
	if found == nil {
		return
	}
	members.refreshService(found.service)
	if homes, ok := members.locator.ShardMap(found.service); ok {
		found.dispatcher.SetHomeShards(homes.ShardsOf(group))
	}
}
