package dispatcher

import (
	"sort"
	"strings"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// defaultPolicies apply to ranks for which the document sets none.
var defaultPolicies = [queuer.RankCount]queuer.Policy{
	queuer.Lookup:      {Target: time.Second, MinimumShare: 0.2},
	queuer.Transaction: {Target: 5 * time.Second, MinimumShare: 0.2},
	queuer.Upload:      {Target: time.Minute, MinimumShare: 0.1},
}

// Update applies a changed configuration. Upstreams that are no longer in the
// group are drained.
func (dispatcher *Dispatcher) Update(spec configurer.GroupSpec, service configurer.Service, document configurer.Document) {
	created := dispatcher.update(spec, service, document)
	tenure := dispatcher.current()
	if tenure == nil {
		return
	}
	for _, name := range created { // or Begin has started their renewals already
		dispatcher.spawn(func() { dispatcher.renewals(tenure, name) })
	}
	tenure.wake()
}

// update returns the names of the upstreams that have joined.
func (dispatcher *Dispatcher) update(spec configurer.GroupSpec, service configurer.Service, document configurer.Document) []string {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.upstreams == nil {
		dispatcher.upstreams, dispatcher.ownership = map[string]*upstream{}, newOwnership()
		dispatcher.parked = map[*ticket]struct{}{}
		dispatcher.budget, dispatcher.loads = newBudget(), newLoads()
	}
	dispatcher.service = service
	dispatcher.repin(pins(service.Name, document))
	policies := policies(service.Name, document)
	changed := policies != dispatcher.policies
	dispatcher.policies = policies
	created := dispatcher.join(spec.Upstreams)
	if changed {
		dispatcher.renewQueues()
	}
	stops := stops(document)
	listed := map[string]bool{}
	for _, upstream := range spec.Upstreams {
		listed[upstream.Name] = true
	}
	for name, upstream := range dispatcher.upstreams {
		upstream.causes.removed = !listed[name]
		upstream.causes.document = stops[name]
		upstream.causes.platform = dispatcher.leaving[name]
		dispatcher.checkDrain(upstream)
		if dispatcher.tenure == nil && upstream.causes.removed && upstream.taken() == 0 {
			delete(dispatcher.upstreams, name)
		}
	}
	return created
}

// repin takes the key rules over. A key whose rule was removed returns to the
// owner of its shard.
func (dispatcher *Dispatcher) repin(rules map[string]configurer.KeyRule) {
	if dispatcher.unpinned == nil {
		dispatcher.unpinned = map[string]bool{}
	}
	for key := range dispatcher.pins {
		if _, ok := rules[key]; !ok {
			dispatcher.unpinned[key] = true
		}
	}
	for key := range rules {
		delete(dispatcher.unpinned, key)
	}
	dispatcher.pins = rules
}

// join adds new upstreams and takes changed ones over. Another address is
// another process, so that the former one counts as lost.
func (dispatcher *Dispatcher) join(specs []configurer.Upstream) []string {
	var created []string
	for _, spec := range specs {
		known := dispatcher.upstreams[spec.Name]
		if known == nil {
			known = newUpstream(spec)
			known.joined = dispatcher.tenure != nil
			known.lastAnswer = dispatcher.Clock.Now()
			known.renewQueue(dispatcher.Clock, dispatcher.policies)
			dispatcher.upstreams[spec.Name] = known
			created = append(created, spec.Name)
			dispatcher.record(timeliner.Event{Kind: "upstreamJoined", Upstream: spec.Name})
			continue
		}
		moved := known.spec.Address != spec.Address
		known.spec = spec
		if moved && dispatcher.tenure != nil && known.health != lost {
			dispatcher.lose(known, "address changed")
		}
		known.applySlots()
		dispatcher.pump(known)
	}
	return created
}

// renewQueues applies changed rank policies.
func (dispatcher *Dispatcher) renewQueues() {
	for _, upstream := range dispatcher.upstreams {
		waiting := upstream.queue.Remove(func(*ticket) bool { return true })
		upstream.renewQueue(dispatcher.Clock, dispatcher.policies)
		for _, ticket := range waiting {
			if err := dispatcher.place(ticket); err != nil {
				dispatcher.refuse(ticket, err)
			}
		}
	}
}

// SetHomeShards sets the shards whose home is this group. Until it is called,
// the shards of the assignment are used.
func (dispatcher *Dispatcher) SetHomeShards(shards []uint32) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.homes = make(map[uint32]bool, len(shards))
	for _, shard := range shards {
		dispatcher.homes[shard] = true
	}
	if dispatcher.tenure == nil {
		return
	}
	for _, upstream := range dispatcher.upstreams {
		dispatcher.reroute(upstream, func(ticket *ticket) bool { return !dispatcher.homes[ticket.request.Shard] })
	}
	dispatcher.tenure.wake()
}

// SetDraining sets the upstreams that the platform lists as leaving.
func (dispatcher *Dispatcher) SetDraining(names []string) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.leaving = make(map[string]bool, len(names))
	for _, name := range names {
		dispatcher.leaving[name] = true
	}
	for name, upstream := range dispatcher.upstreams {
		upstream.causes.platform = dispatcher.leaving[name]
		dispatcher.checkDrain(upstream)
	}
}

// pins returns the key rules of the service.
func pins(service string, document configurer.Document) map[string]configurer.KeyRule {
	rules := map[string]configurer.KeyRule{}
	for _, section := range document.Sections {
		for _, rule := range section.Keys {
			if rule.Service == service && (rule.Hot || rule.Upstream != "") {
				rules[rule.Key] = rule
			}
		}
	}
	return rules
}

func stops(document configurer.Document) map[string]bool {
	stopped := map[string]bool{}
	for _, section := range document.Sections {
		for _, stop := range section.Stops {
			if stop.Upstream != "" {
				stopped[stop.Upstream] = true
			}
		}
	}
	return stopped
}

// policies returns the rank policies of the section that defines the service.
// Ranks that it does not set follow the other sections, in the order of their
// names, and then the defaults.
func policies(service string, document configurer.Document) [queuer.RankCount]queuer.Policy {
	result := defaultPolicies
	apply := func(section configurer.Section) {
		for _, policy := range section.Ranks {
			result[policy.Rank] = queuer.Policy{Target: time.Duration(policy.Target), MinimumShare: policy.MinimumShare}
		}
	}
	names := make([]string, 0, len(document.Sections))
	for name := range document.Sections {
		names = append(names, name)
	}
	sort.Sort(sort.Reverse(sort.StringSlice(names)))
	var own []configurer.Section
	for _, name := range names {
		section := document.Sections[name]
		defines := false
		for _, defined := range section.Services {
			defines = defines || defined.Name == service
		}
		if defines {
			own = append(own, section)
			continue
		}
		apply(section)
	}
	for _, section := range own {
		apply(section)
	}
	return result
}

// String lists the causes.
func (causes drainCauses) String() string {
	var names []string
	for name, set := range map[string]bool{
		"document": causes.document, "platform": causes.platform, "removed": causes.removed,
		"notice": causes.notice || causes.header,
	} {
		if set {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
