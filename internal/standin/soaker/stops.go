package soaker

import "sync"

// stops are the VMs that are stopping.
type stops struct {
	mutex sync.Mutex
	vms   map[*VM]bool
}

// begin reports whether the VM may stop now, and records that it does.
func (stops *stops) begin(vm *VM) bool {
	stops.mutex.Lock()
	defer stops.mutex.Unlock()
	if stops.vms[vm] || len(stops.vms) >= stopsAtOnce {
		return false
	}
	if stops.vms == nil {
		stops.vms = map[*VM]bool{}
	}
	stops.vms[vm] = true
	return true
}

func (stops *stops) end(vm *VM) {
	stops.mutex.Lock()
	defer stops.mutex.Unlock()
	delete(stops.vms, vm)
}
