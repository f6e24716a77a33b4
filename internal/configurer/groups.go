package configurer

import (
	"fmt"
	"sort"
)

// maxGroupUpstreams is the maximum number of upstreams of a group, all of which
// receive their requests from one VM, the holder of the group.
const maxGroupUpstreams = 16

// GroupSpec is the part of a group that is derived from the document.
type GroupSpec struct {
	ID        string // <service>.<zone>.<n>
	Service   string
	Zone      string
	Upstreams []Upstream
}

// Groups divides the upstreams of the service into groups: by zone, and evenly
// within a zone so that no group has more than 16 upstreams. The result depends on
// the document only, so that it is the same on every VM.
func (service Service) Groups() []GroupSpec {
	byZone := map[string][]Upstream{}
	for _, upstream := range service.Upstreams {
		byZone[upstream.Zone] = append(byZone[upstream.Zone], upstream)
	}
	zones := make([]string, 0, len(byZone))
	for zone := range byZone {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	var groups []GroupSpec
	for _, zone := range zones {
		groups = append(groups, service.zoneGroups(zone, byZone[zone])...)
	}
	return groups
}

// zoneGroups returns the groups of the upstreams of one zone.
func (service Service) zoneGroups(zone string, upstreams []Upstream) []GroupSpec {
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].Name < upstreams[j].Name })
	count := (len(upstreams) + maxGroupUpstreams - 1) / maxGroupUpstreams
	groups := make([]GroupSpec, count)
	for n := range groups {
		groups[n] = GroupSpec{ID: fmt.Sprintf("%s.%s.%d", service.Name, zone, n), Service: service.Name, Zone: zone}
	}
	for index, upstream := range upstreams {
		group := &groups[index%count]
		group.Upstreams = append(group.Upstreams, upstream)
	}
	return groups
}
