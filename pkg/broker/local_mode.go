package broker

import (
	"github.com/cespare/xxhash/v2"
)

// localMode describes a broker that assigns slots for its own VM only, as every VM
// does while the service has no broker for all VMs. No VM then knows which slots
// the others use. Without the limits and cost factors below, 68 VMs that had all restarted sent their
// requests to the same upstreams, which then reset connections, including those
// for grants of keys.
type localMode struct {
	vm  string
	vms int // number of VMs that assign slots locally; up to 1 when this broker serves all VMs
}

// localShareFactor is how many times its even share of an upstream's slots a VM
// may use, because load is not spread evenly over VMs.
const localShareFactor = 2

// slotLimit returns the number of the upstream's slots that may be assigned.
func (mode localMode) slotLimit(upstream Upstream) int {
	if mode.vms <= 1 {
		return upstream.Slots
	}
	return min(max(localShareFactor*upstream.Slots/mode.vms, 1), upstream.Slots)
}

// localCostSpread bounds the factors by which VMs in local mode multiply the cost
// of an upstream, so that they prefer different upstreams. It is above the ratio of
// the service times of slow and fast upstreams.
const localCostSpread = 3

// costFactor returns this VM's factor for the cost of an upstream.
func (mode localMode) costFactor(upstream string) float64 {
	if mode.vms <= 1 {
		return 1
	}
	hash := xxhash.Sum64String(mode.vm + "\x00" + upstream)
	return 1 + (localCostSpread-1)*float64(hash>>11)/(1<<53)
}

// SetLocalMode sets how many VMs, including the given one, assign slots locally.
// With vms above 1, this broker assigns slots for the given VM only; otherwise it
// assigns them for all VMs.
func (broker *Broker) SetLocalMode(vm string, vms int) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	if broker.localMode == (localMode{vm, vms}) {
		return
	}
	broker.init()
	if vms == 1 && broker.localMode.vms != 1 {
		// An earlier broker may have assigned its share just before.
		broker.warmup.blindUntil = broker.Clock.Now().Add(warmupWindow)
	}
	broker.localMode = localMode{vm, vms}
	for _, upstream := range broker.upstreams {
		upstream.slotLimit = broker.localMode.slotLimit(upstream.Upstream)
	}
	broker.dispatchAll(broker.Clock.Now())
}
