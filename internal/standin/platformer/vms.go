package platformer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/platformer"
)

// maxSnapshots is the largest number of former lists of VMs that are kept. Beyond
// it the oldest quarter is dropped, so lists within the lag can be lost when VMs
// change more often than that.
const maxSnapshots = 4096

// vmSnapshot is the list of VMs, by name, from a point in time until the next
// snapshot.
type vmSnapshot struct {
	since time.Time
	vms   map[string]platformer.VM
}

// vmHistory keeps former lists of VMs, in the order of time, to serve a list that
// lags.
type vmHistory struct{ snapshots []vmSnapshot }

// record applies the update to a copy of the latest list and adds it as a snapshot.
func (history *vmHistory) record(now time.Time, update func(map[string]platformer.VM)) {
	current := map[string]platformer.VM{}
	if count := len(history.snapshots); count > 0 {
		current = maps.Clone(history.snapshots[count-1].vms)
	}
	update(current)
	history.snapshots = append(history.snapshots, vmSnapshot{now, current})
	if len(history.snapshots) > maxSnapshots {
		history.snapshots = slices.Delete(history.snapshots, 0, maxSnapshots/4)
	}
}

// at returns the list as it was at the moment, ordered by name. It is empty if no
// snapshot is that old.
func (history *vmHistory) at(moment time.Time) []platformer.VM {
	list := []platformer.VM{}
	for _, snapshot := range slices.Backward(history.snapshots) {
		if snapshot.since.After(moment) {
			continue
		}
		for _, vm := range snapshot.vms {
			list = append(list, vm)
		}
		break
	}
	slices.SortFunc(list, func(a, b platformer.VM) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// SetVM adds or replaces a VM. The change appears in the list of VMs after the lag.
func (platform *Platform) SetVM(vm platformer.VM) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vms.record(platform.clock.Now(), func(vms map[string]platformer.VM) { vms[vm.Name] = vm })
}

// RemoveVM removes a VM. It stays in the list of VMs until the lag has passed.
func (platform *Platform) RemoveVM(name string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vms.record(platform.clock.Now(), func(vms map[string]platformer.VM) { delete(vms, name) })
}
