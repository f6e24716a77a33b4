package starter

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/internal/operator"
)

// status returns the status of this VM.
func (groups *localGroups) status() operator.Status {
	status := operator.Status{
		VM: groups.settings.Name, Zone: groups.settings.Zone, Time: groups.clock.Now(), Stopping: groups.stopping.Load(),
		Revision: groups.documents.Document().Revision, Platform: "unreachable", Refusals: map[string]float64{},
	}
	if groups.gossip.platformReachable.Load() {
		status.Platform = "reachable"
	}
	for _, peer := range groups.tracker.Peers("") {
		status.Peers = append(status.Peers, operator.Peer{VM: peer.Name, Zone: peer.Zone, State: peer.State.String(), Operator: peer.OperatorAddress})
	}
	for id, local := range groups.snapshot() {
		status.Groups = append(status.Groups, groups.groupStatus(id, local))
	}
	slices.SortFunc(status.Groups, func(a, b operator.Group) int { return strings.Compare(a.ID, b.ID) })
	status.Refusals = groups.refusalCounts()
	return status
}

// groupStatus returns the status of one group. Only the holder reports the
// upstreams.
func (groups *localGroups) groupStatus(id string, local *localGroup) operator.Group {
	status := operator.Group{ID: id}
	var holder string
	if group, ok := groups.manager.Group(id); ok {
		holder, status.Term, _ = group.Holder()
		status.Holder, status.Candidates = holder, group.NewestRecord().Candidates
		status.Synchronized = group.Synchronized()
	}
	if shardMap, ok := groups.locator.ShardMap(local.service); ok {
		status.Shards = len(shardMap.ShardsOf(id))
	}
	if holder != groups.settings.Name {
		return status
	}
	state := local.dispatcher.Status()
	for _, upstream := range state.Upstreams {
		reported := operator.Upstream{
			Name: upstream.Name, State: upstream.Health, Shards: upstream.Shards, Slots: upstream.Slots, Busy: upstream.UsedSlots, Queued: map[string]int{},
		}
		if upstream.Draining != "" {
			reported.State = "draining"
		}
		if upstream.Drained {
			reported.State = "drained"
		}
		for key, owner := range state.HotKeys {
			if owner == upstream.Name {
				reported.HotKeys = append(reported.HotKeys, key)
			}
		}
		for rank, count := range upstream.Queued {
			reported.Queued[rankName(rank)] = count
		}
		slices.Sort(reported.HotKeys)
		status.Upstreams = append(status.Upstreams, reported)
	}
	return status
}

// owners returns the owner of a key in one service, or in all services if service
// is empty.
func (groups *localGroups) owners(service, key string) ([]operator.Owner, error) {
	var owners []operator.Owner
	for _, section := range groups.documents.Document().Sections {
		for _, candidate := range section.Services {
			if service != "" && candidate.Name != service {
				continue
			}
			location, ok := groups.locator.Locate(candidate.Name, key)
			if !ok {
				continue
			}
			owners = append(owners, groups.owner(candidate.Name, key, location))
		}
	}
	if len(owners) == 0 {
		return nil, fmt.Errorf("no owner of key %q in service %q is known", key, service)
	}
	slices.SortFunc(owners, func(a, b operator.Owner) int { return strings.Compare(a.Service, b.Service) })
	return owners, nil
}

// owner returns the owner of a key in one service. Only the holder of the group
// knows the upstream and whether the key is hot.
func (groups *localGroups) owner(service, key string, location locator.Location) operator.Owner {
	holder, term, _ := groups.locator.Holder(location.Group)
	owner := operator.Owner{Service: service, Key: key, Shard: location.Shard, Group: location.Group, Holder: holder, Term: term, From: groups.settings.Name}
	if local := groups.find(location.Group); local != nil && holder == groups.settings.Name {
		owner.Upstream = local.dispatcher.Owner(key)
		_, owner.Hot = local.dispatcher.Status().HotKeys[key]
	}
	return owner
}
