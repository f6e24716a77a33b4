package configurer

import "fmt"

// validateChange checks what only the change to the document can show. Only the
// edited section is blamed.
func (document *Document) validateChange(before *Document, edited string) error {
	var faults Faults
	section := document.Sections[edited]
	for index, service := range section.Services {
		former, ok := before.Service(service.Name)
		if ok && former.Service.Shards != service.Shards {
			// VMs apply a revision at different moments. With two numbers of
			// shards in force, one key would have two owners.
			faults.add(edited, fmt.Sprintf("services[%d].shards", index),
				"service %q has %d shards, which cannot be changed to %d; add a service with another name",
				service.Name, former.Service.Shards, service.Shards)
		}
	}
	known := map[string]bool{}
	for _, other := range document.Sections {
		for _, service := range other.Services {
			for _, upstream := range service.Upstreams {
				known[upstream.Zone] = true
			}
		}
	}
	for index, zone := range section.Zones {
		if !known[zone.Name] {
			faults.add(edited, fmt.Sprintf("zones[%d].name", index), "no upstream is in zone %q", zone.Name)
		}
	}
	return faults.Err()
}
