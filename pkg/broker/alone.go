package broker

import (
	"github.com/cespare/xxhash/v2"
)

// alone describes a broker that assigns slots for its own VM only, as all others do
// while a service has no broker that decides for all. None of them knows what the
// others use. After all VMs had restarted, each of 68 filled the same upstreams, which
// then reset connections, also those for grants.
type alone struct {
	vm  string
	vms int // above 1 when this many VMs assign slots by themselves
}

// aloneShare is how many times its even share of an upstream's slots a VM may use:
// VMs have unlike load.
const aloneShare = 2

// limit returns the slots of the upstream that may be assigned.
func (alone alone) limit(upstream Upstream) int {
	if alone.vms <= 1 {
		return upstream.Slots
	}
	return min(max(aloneShare*upstream.Slots/alone.vms, 1), upstream.Slots)
}

// aloneSpread is the factor by which VMs that assign slots by themselves value the
// same upstream differently. It is above the ratio between fast and slow ones.
const aloneSpread = 3

// preference returns the factor on the cost of an upstream for this VM.
func (alone alone) preference(upstream string) float64 {
	if alone.vms <= 1 {
		return 1
	}
	hash := xxhash.Sum64String(alone.vm + "\x00" + upstream)
	return 1 + (aloneSpread-1)*float64(hash>>11)/(1<<53)
}

// SetLocalMode says that this broker decides for the given VM only, and that as many VMs
// do the same; a number up to 1 says that it decides for all.
func (broker *Broker) SetLocalMode(vm string, vms int) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	if broker.alone == (alone{vm, vms}) {
		return
	}
	broker.init()
	broker.alone = alone{vm, vms}
	for _, upstream := range broker.upstreams {
		upstream.limit = broker.alone.limit(upstream.Upstream)
	}
	broker.dispatchAll(broker.Clock.Now())
}
