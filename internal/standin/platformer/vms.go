package platformer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/platformer"
)

// maxHistory bounds the remembered lists of VMs. The oldest is dropped, which
// shortens the lag when VMs change more often than that.
const maxHistory = 4096

type vmSnapshot struct {
	since time.Time
	vms   map[string]platformer.VM
}

// vmHistory remembers former lists, so that a lagging list can be shown.
type vmHistory struct{ snapshots []vmSnapshot }

func (history *vmHistory) change(now time.Time, change func(map[string]platformer.VM)) {
	current := map[string]platformer.VM{}
	if count := len(history.snapshots); count > 0 {
		current = maps.Clone(history.snapshots[count-1].vms)
	}
	change(current)
	history.snapshots = append(history.snapshots, vmSnapshot{now, current})
	if len(history.snapshots) > maxHistory {
		history.snapshots = slices.Delete(history.snapshots, 0, maxHistory/4)
	}
}

// at returns the list as it was at the time, ordered by name.
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

// SetVM registers or changes a VM. The list of VMs shows it after the lag.
func (platform *Platform) SetVM(vm platformer.VM) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vms.change(platform.clock.Now(), func(vms map[string]platformer.VM) { vms[vm.Name] = vm })
}

// RemoveVM removes a VM. The list of VMs shows it until the lag has passed.
func (platform *Platform) RemoveVM(name string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vms.change(platform.clock.Now(), func(vms map[string]platformer.VM) { delete(vms, name) })
}
