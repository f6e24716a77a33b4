package starter

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/internal/operator"
)

// status reports on this VM.
func (members *members) status() operator.Status {
	status := operator.Status{
		VM: members.settings.Name, Zone: members.settings.Zone, Time: members.clock.Now(), Stopping: members.stopping.Load(),
		Revision: members.documents.Document().Revision, Platform: "unreachable", Refusals: map[string]float64{},
	}
	if members.gossip.listed.Load() {
		status.Platform = "reachable"
	}
	for _, peer := range members.tracker.Peers("") {
		status.Peers = append(status.Peers, operator.Peer{VM: peer.Name, Zone: peer.Zone, State: peer.State.String(), Operator: peer.OperatorAddress})
	}
	for id, member := range members.all() {
		status.Groups = append(status.Groups, members.groupStatus(id, member))
	}
	slices.SortFunc(status.Groups, func(a, b operator.Group) int { return strings.Compare(a.ID, b.ID) })
	status.Refusals = members.refusals()
	return status
}

func (members *members) groupStatus(id string, member *member) operator.Group {
	group := operator.Group{ID: id}
	var vm string
	if replicated, ok := members.manager.Group(id); ok {
		vm, group.Term, _ = replicated.Holder()
		group.Holder, group.Candidates = vm, replicated.NewestRecord().Candidates
		group.Synchronized = replicated.Synchronized()
	}
	if homes, ok := members.locator.ShardMap(member.service); ok {
		group.Shards = len(homes.ShardsOf(id))
	}
	if vm != members.settings.Name {
		return group
	}
	state := member.dispatcher.Status()
	for _, upstream := range state.Upstreams {
		shown := operator.Upstream{
			Name: upstream.Name, State: upstream.Health, Shards: upstream.Shards, Slots: upstream.Slots, Busy: upstream.UsedSlots, Queued: map[string]int{},
		}
		if upstream.Draining != "" {
			shown.State = "draining"
		}
		if upstream.Drained {
			shown.State = "drained"
		}
		for key, owner := range state.HotKeys {
			if owner == upstream.Name {
				shown.Hot = append(shown.Hot, key)
			}
		}
		for rank, count := range upstream.Queued {
			shown.Queued[rankName(rank)] = count
		}
		slices.Sort(shown.Hot)
		group.Upstreams = append(group.Upstreams, shown)
	}
	return group
}

// owners returns the owner of a key in one service, or in all.
func (members *members) owners(service, key string) ([]operator.Owner, error) {
	var owners []operator.Owner
	for _, section := range members.documents.Document().Sections {
		for _, known := range section.Services {
			if service != "" && known.Name != service {
				continue
			}
			place, ok := members.locator.Locate(known.Name, key)
			if !ok {
				continue
			}
			owners = append(owners, members.owner(known.Name, key, place))
		}
	}
	if len(owners) == 0 {
		return nil, fmt.Errorf("no owner of key %q in service %q is known", key, service)
	}
	slices.SortFunc(owners, func(a, b operator.Owner) int { return strings.Compare(a.Service, b.Service) })
	return owners, nil
}

func (members *members) owner(service, key string, place locator.Location) operator.Owner {
	vm, term, _ := members.locator.Holder(place.Group)
	owner := operator.Owner{Service: service, Key: key, Shard: place.Shard, Group: place.Group, Holder: vm, Term: term, From: members.settings.Name}
	if found := members.find(place.Group); found != nil && vm == members.settings.Name {
		owner.Upstream = found.dispatcher.Owner(key)
		_, owner.Hot = found.dispatcher.Status().HotKeys[key]
	}
	return owner
}
