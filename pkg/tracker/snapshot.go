package tracker

import (
	"iter"
	"maps"
	"slices"
)

// Snapshot is the membership at one moment. It is immutable.
type Snapshot struct {
	version uint64
	members []Member       // in the order of their names
	index   map[string]int // positions in members, by name
	zones   map[string][]Member
}

func newSnapshot(version uint64, members []Member) *Snapshot {
	snapshot := &Snapshot{version: version, members: members, index: make(map[string]int, len(members)), zones: map[string][]Member{}}
	for index, member := range members {
		snapshot.index[member.Name] = index
		snapshot.zones[member.Zone] = append(snapshot.zones[member.Zone], member)
	}
	return snapshot
}

// Version returns the version of the membership, which rises with each change.
func (snapshot *Snapshot) Version() uint64 { return snapshot.version }

// Len returns the number of members.
func (snapshot *Snapshot) Len() int { return len(snapshot.members) }

// Member returns the VM with the name.
func (snapshot *Snapshot) Member(name string) (Member, bool) {
	index, ok := snapshot.index[name]
	if !ok {
		return Member{}, false
	}
	return snapshot.members[index], true
}

// All iterates over the members in the order of their names.
func (snapshot *Snapshot) All() iter.Seq[Member] { return slices.Values(snapshot.members) }

// Zone iterates over the members of the zone in the order of their names.
func (snapshot *Snapshot) Zone(zone string) iter.Seq[Member] {
	return slices.Values(snapshot.zones[zone])
}

// Zones returns the names of the zones in order.
func (snapshot *Snapshot) Zones() []string { return slices.Sorted(maps.Keys(snapshot.zones)) }
