package configurer

import (
	"fmt"
	"slices"
)

// validateChange checks rules that depend on the former content of the edited
// section: the number of shards of a service must not change, and a new zone
// rule must name a zone that has upstreams.
func (document *Document) validateChange(edited string, former Section) error {
	var faults Faults
	section := document.Sections[edited]
	for index, service := range section.Services {
		position := slices.IndexFunc(former.Services, func(other Service) bool { return other.Name == service.Name })
		if position >= 0 && former.Services[position].Shards != service.Shards {
			// VMs apply a revision at different times. While they disagreed on
			// the number of shards, one key would have two owners.
			faults.add(edited, fmt.Sprintf("services[%d].shards", index),
				"service %q has %d shards, which cannot be changed to %d; add a service with another name",
				service.Name, former.Services[position].Shards, service.Shards)
		}
	}
	zones := document.zones()
	for index, zone := range section.Zones {
		// An unchanged rule stays valid after another team has removed the
		// last upstream of the zone.
		if !zones[zone.Name] && !slices.Contains(former.Zones, zone) {
			faults.add(edited, fmt.Sprintf("zones[%d].name", index), "no upstream is in zone %q", zone.Name)
		}
	}
	return faults.Err()
}

// zones returns the zones that have upstreams.
func (document *Document) zones() map[string]bool {
	zones := map[string]bool{}
	for _, section := range document.Sections {
		for _, service := range section.Services {
			for _, upstream := range service.Upstreams {
				zones[upstream.Zone] = true
			}
		}
	}
	return zones
}
