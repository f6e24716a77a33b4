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
	// callReportOutcomes sends request entries to the holder of a group: the
	// outcomes of requests that a previous holder had in flight, or the request
	// IDs of a group that gives shards away.
	callReportOutcomes = "settle"
	// transferBatchSize keeps one call within the message size of links.
	transferBatchSize = 4000
	// holderAttempts and holderRetryDelay bound the retries while a group has no
	// known or reachable holder, as during a takeover.
	holderAttempts   = 20
	holderRetryDelay = 100 * time.Millisecond
	// shardDrainTimeout bounds one DrainShards: the wait for requests in flight
	// of moving shards, and the transfer of request IDs.
	shardDrainTimeout      = 5 * time.Second
	shardDrainPollInterval = 10 * time.Millisecond
)

// outcomeReport is the body of callReportOutcomes.
type outcomeReport struct {
	Group   string             `cbor:"group"`
	Entries replicator.Entries `cbor:"entries"`
}

// handleOutcomes handles callReportOutcomes.
func (groups *localGroups) handleOutcomes(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var report outcomeReport
	if err := decode(&report); err != nil {
		return nil, fmt.Errorf("decode an outcome report: %w", err)
	}
	local := groups.find(report.Group)
	if local == nil {
		return nil, fmt.Errorf("this VM is not a candidate of group %s", report.Group)
	}
	return nil, local.dispatcher.MergeOutcomes(ctx, report.Entries)
}

// reportOutcomes sends entries to the holder of the group. It retries while the
// group has no known holder or the call fails.
func (groups *localGroups) reportOutcomes(ctx context.Context, group string, entries replicator.Entries) error {
	var lastError error
	for range holderAttempts {
		vm, _, ok := groups.locator.Holder(group)
		if !ok {
			lastError = fmt.Errorf("group %s has no known holder", group)
		} else if lastError = groups.pool.Call(ctx, vm, callReportOutcomes, outcomeReport{Group: group, Entries: entries}, nil); lastError == nil {
			return nil
		}
		if clocker.Sleep(ctx, groups.clock, holderRetryDelay) != nil {
			break
		}
	}
	return fmt.Errorf("report outcomes to the holder of group %s: %w", group, lastError)
}

// Holds implements homer.Groups.
func (groups *localGroups) Holds(group string) bool {
	_, ok := groups.heldTerms()[group]
	return ok
}

// DrainShards implements homer.Groups.
func (groups *localGroups) DrainShards(ctx context.Context, group string, moves map[uint32]string) error {
	ctx, cancel := clocker.WithTimeout(ctx, groups.clock, shardDrainTimeout)
	defer cancel()
	local := groups.find(group)
	if local == nil {
		return fmt.Errorf("this VM is not a candidate of group %s", group)
	}
	shardMap, ok := groups.locator.ShardMap(local.service)
	if !ok {
		return fmt.Errorf("the shard map of service %s is not known", local.service)
	}
	moving := map[uint32]bool{}
	for shard := range moves {
		moving[shard] = true
	}
	local.dispatcher.SetHomeShards(slices.DeleteFunc(shardMap.ShardsOf(group), func(shard uint32) bool { return moving[shard] }))
	for !local.dispatcher.ShardsIdle(moving) {
		if err := clocker.Sleep(ctx, groups.clock, shardDrainPollInterval); err != nil {
			return fmt.Errorf("moving shards are still in use: %w", err)
		}
	}
	entries, err := local.dispatcher.RequestEntries()
	if err != nil {
		return err
	}
	receivers := map[string]bool{}
	for _, receiver := range moves {
		receivers[receiver] = true
	}
	for receiver := range maps.Keys(receivers) {
		if err := groups.transferRequestIDs(ctx, receiver, entries); err != nil {
			return err
		}
	}
	return nil
}

// transferRequestIDs sends request IDs to the holder of the receiving group in
// batches. Without entries it still makes one call, to check that the group has a
// holder.
func (groups *localGroups) transferRequestIDs(ctx context.Context, receiver string, entries []deduper.Entry) error {
	for {
		batch := entries[:min(transferBatchSize, len(entries))]
		if err := groups.reportOutcomes(ctx, receiver, replicator.Entries{Requests: batch}); err != nil {
			return err
		}
		entries = entries[len(batch):]
		if len(entries) == 0 {
			return nil
		}
	}
}

// ResumeShards implements homer.Groups.
func (groups *localGroups) ResumeShards(group string) {
	local := groups.find(group)
	if local == nil {
		return
	}
	groups.refreshService(local.service)
	if shardMap, ok := groups.locator.ShardMap(local.service); ok {
		local.dispatcher.SetHomeShards(shardMap.ShardsOf(group))
	}
}
