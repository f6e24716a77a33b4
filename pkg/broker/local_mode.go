package broker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// localMode describes a broker that assigns slots for its own VM only, as every VM
// does while the service has no broker for all VMs. No VM then knows which slots
// the others use. Without the limits and cost factors below, 68 VMs that had all restarted sent their
// requests to the same upstreams, which then reset connections, including those
// for grants of keys.
type localMode struct {
	vm      string
	members []Member // VMs that assign slots locally; up to 1 when this broker serves all VMs
}

// Member is a VM that assigns slots locally.
type Member struct{ Name, Zone string }

// zone returns the availability zone of this VM.
func (mode localMode) zone() string {
	for _, member := range mode.members {
		if member.Name == mode.vm {
			return member.Zone
		}
	}
	return ""
}

// assignsForAll reports whether the broker assigns slots for all VMs.
func (mode localMode) assignsForAll() bool { return mode.vm != "" && len(mode.members) <= 1 }

const (
	// localShareFactor is how many times its even share of an upstream's slots a VM
	// may use, because load is not spread evenly over VMs.
	localShareFactor = 2
	// queueFactor times its slots is the length that an upstream's queue is assumed to
	// have. The configuration does not state it; it is 16 for 4 slots where it is known.
	queueFactor = 4
)

// localTotal returns how many requests all VMs together may have in progress at the
// upstream in local mode. A former or a next broker may use all slots and one more, see
// assignable, at the same time; what is left is the queue less one.
func localTotal(upstream Upstream) int { return queueFactor*upstream.Slots - 1 }

// slotLimit returns the number of the upstream's slots that may be assigned. If there are
// more VMs than requests that the upstream may get, that many VMs get one slot each, and
// the others none: docs/design/full-upstreams.md gives the reasons.
func (mode localMode) slotLimit(upstream Upstream) int {
	vms, total := len(mode.members), localTotal(upstream)
	switch {
	case vms <= 1:
		return upstream.Slots
	case vms <= total:
		return min(max(localShareFactor*upstream.Slots/vms, 1), total/vms, upstream.Slots)
	case mode.holds(upstream):
		return 1
	default:
		return 0
	}
}

// limit applies the mode to the upstream. It computes a hash for each VM in local mode.
func (mode localMode) limit(upstream *upstreamState) {
	upstream.slotLimit, upstream.limitedSlots = mode.slotLimit(upstream.Upstream), upstream.Slots
	upstream.local = len(mode.members) > 1
}

// zoneShare is the share of the requests in local mode at an upstream that is given to VMs
// of its zone. While a zone is partitioned, these serve the keys of its upstreams, and no
// other VM reaches them. The rest is for VMs of all zones.
const zoneShare = 2.0 / 3

// zoneQuota returns how many of the VMs with a slot of the upstream are chosen in its zone.
func zoneQuota(upstream Upstream) int { return int(zoneShare * float64(localTotal(upstream))) }

// holds reports whether this VM is one of the localTotal members with a slot of the
// upstream. These are chosen by rendezvous hashing: a change of one member changes the
// choice of one other at most in each part.
func (mode localMode) holds(upstream Upstream) bool {
	own := Member{mode.vm, mode.zone()}
	zoneBefore, zoneCount, othersBefore := 0, 0, 0
	for _, member := range mode.members {
		before := compareMembers(member, own, upstream) < 0
		switch {
		case member.Zone != upstream.Zone && before:
			othersBefore++
		case member.Zone == upstream.Zone:
			zoneCount++
			if before {
				zoneBefore++
			}
		}
	}
	quota := zoneQuota(upstream)
	if own.Zone == upstream.Zone && zoneBefore < quota {
		return true
	}
	return max(zoneBefore-quota, 0)+othersBefore < localTotal(upstream)-min(quota, zoneCount)
}

// compareMembers orders members for the upstream by rendezvous hashing.
func compareMembers(a, b Member, upstream Upstream) int {
	return cmp.Or(cmp.Compare(memberHash(b.Name, upstream.ID), memberHash(a.Name, upstream.ID)), cmp.Compare(a.Name, b.Name))
}

// holders returns the VMs that may assign slots of the upstream if this one may not: those of
// this VM's zone first, from a position on that differs between VMs.
func (mode localMode) holders(upstream *upstreamState) []string {
	if len(mode.members) <= 1 || upstream.slotLimit > 0 {
		return nil
	}
	sorted := slices.Clone(mode.members)
	slices.SortFunc(sorted, func(a, b Member) int { return compareMembers(a, b, upstream.Upstream) })
	zone, total, quota := mode.zone(), localTotal(upstream.Upstream), zoneQuota(upstream.Upstream)
	var inZone, others []Member
	for _, member := range sorted {
		if member.Zone == upstream.Zone && len(inZone) < quota {
			inZone = append(inZone, member)
		} else {
			others = append(others, member)
		}
	}
	var near, far []string
	for _, member := range slices.Concat(inZone, others[:min(max(total-len(inZone), 0), len(others))]) {
		if member.Zone == zone {
			near = append(near, member.Name)
		} else {
			far = append(far, member.Name)
		}
	}
	start := int(memberHash(mode.vm, upstream.ID) >> 1)
	return slices.Concat(rotated(near, start), rotated(far, start))
}

// rotated returns the names from the start-th on, followed by those before it.
func rotated(names []string, start int) []string {
	if len(names) == 0 {
		return nil
	}
	start %= len(names)
	return slices.Concat(names[start:], names[:start])
}

// LocalHolders returns the VMs that may assign a slot for the request's key in local mode, in
// the order in which this VM should ask them. It returns none if this VM may assign one
// itself, or if any upstream can serve the request.
func (broker *Broker) LocalHolders(request Request) []string {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	if !broker.keyed(request) {
		return nil
	}
	upstream := broker.upstreams[broker.owner(request).Upstream]
	if upstream == nil {
		return nil
	}
	return broker.localMode.holders(upstream)
}

func memberHash(vm, upstream string) uint64 { return xxhash.Sum64String(vm + "\x00" + upstream) }

// localCostSpread bounds the factors by which VMs in local mode multiply the cost
// of an upstream, so that they prefer different upstreams. It is above the ratio of
// the service times of slow and fast upstreams.
const localCostSpread = 3

// costFactor returns this VM's factor for the cost of an upstream.
func (mode localMode) costFactor(upstream string) float64 {
	if len(mode.members) <= 1 {
		return 1
	}
	return 1 + (localCostSpread-1)*float64(memberHash(mode.vm, upstream)>>11)/(1<<53)
}

// SetLocalMode sets the VMs that assign slots locally, including the given
// one. With more than one, this broker assigns slots for the given VM only; otherwise it
// assigns them for all VMs.
func (broker *Broker) SetLocalMode(vm string, members []Member) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	if broker.localMode.vm == vm && slices.Equal(broker.localMode.members, members) {
		return
	}
	broker.init()
	mode := localMode{vm, slices.Clone(members)}
	if mode.assignsForAll() && !broker.localMode.assignsForAll() {
		// An earlier broker may have assigned its share just before.
		broker.warmup.blindUntil = broker.Clock.Now().Add(warmupWindow)
	}
	broker.localMode = mode
	for _, upstream := range broker.upstreams {
		broker.localMode.limit(upstream)
	}
	broker.dispatchAll(broker.Clock.Now())
}
