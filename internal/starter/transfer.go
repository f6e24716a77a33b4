package starter

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
)

const (
	// callImport passes the request IDs of a group that gives shards away.
	callImport = "importRequests"
	// importBatch keeps one call within the links' message size.
	importBatch = 4000
	// withdrawTimeout bounds the wait for requests in flight of moving shards.
	withdrawTimeout = 5 * time.Second
	withdrawPoll    = 10 * time.Millisecond
)

// importedRequests is the body of callImport.
type importedRequests struct {
	Group   string          `cbor:"group"`
	Entries []deduper.Entry `cbor:"entries"`
}

func (members *members) answerImport(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var received importedRequests
	if err := decode(&received); err != nil {
		return nil, fmt.Errorf("imported request IDs: %w", err)
	}
	found := members.find(received.Group)
	if found == nil {
		return nil, fmt.Errorf("this VM does not take part in group %s", received.Group)
	}
	return nil, found.dispatcher.Import(ctx, received.Entries)
}

// Holds implements homer.Groups.
func (members *members) Holds(group string) bool {
	_, ok := members.held()[group]
	return ok
}

// Withdraw implements homer.Groups.
func (members *members) Withdraw(ctx context.Context, group string, moves map[uint32]string) error {
	ctx, cancel := clocker.WithTimeout(ctx, members.clock, withdrawTimeout)
	defer cancel()
	found := members.find(group)
	if found == nil {
		return fmt.Errorf("this VM does not take part in group %s", group)
	}
	homes, ok := members.locator.Homes(found.service)
	if !ok {
		return fmt.Errorf("the homes of service %s are not known", found.service)
	}
	moving := map[uint32]bool{}
	for shard := range moves {
		moving[shard] = true
	}
	found.dispatcher.SetHomes(slices.DeleteFunc(homes.ShardsOf(group), func(shard uint32) bool { return moving[shard] }))
	for !found.dispatcher.Idle(moving) {
		if err := clocker.Sleep(ctx, members.clock, withdrawPoll); err != nil {
			return fmt.Errorf("moving shards are still in use: %w", err)
		}
	}
	entries, err := found.dispatcher.Requests()
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
	vm, _, ok := members.locator.Holder(receiver)
	if !ok {
		return fmt.Errorf("group %s has no known holder", receiver)
	}
	for {
		batch := entries[:min(importBatch, len(entries))]
		if err := members.pool.Call(ctx, vm, callImport, importedRequests{Group: receiver, Entries: batch}, nil); err != nil {
			return fmt.Errorf("request IDs for group %s: %w", receiver, err)
		}
		entries = entries[len(batch):]
		if len(entries) == 0 {
			return nil
		}
	}
}

// Resume implements homer.Groups.
func (members *members) Resume(group string) {
	found := members.find(group)
	if found == nil {
		return
	}
	members.refreshService(found.service)
	if homes, ok := members.locator.Homes(found.service); ok {
		found.dispatcher.SetHomes(homes.ShardsOf(group))
	}
}
