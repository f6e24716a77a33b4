package dispatcher

import (
	"sort"
	"strings"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// defaultPolicies apply to ranks for which the document sets no policy.
var defaultPolicies = [queuer.RankCount]queuer.Policy{
	queuer.Lookup:      {Target: time.Second, MinimumShare: 0.2},
	queuer.Transaction: {Target: 5 * time.Second, MinimumShare: 0.2},
	queuer.Upload:      {Target: time.Minute, MinimumShare: 0.1},
}

// Update applies a changed configuration. Upstreams that are no longer in the
// group are drained.
func (dispatcher *Dispatcher) Update(spec configurer.GroupSpec, service configurer.Service, document configurer.Document) {
	joined := dispatcher.update(spec, service, document)
	leaseTerm := dispatcher.currentTerm()
	if leaseTerm == nil {
		return
	}
	for _, name := range joined { // if Begin has not already started their renewals
		dispatcher.spawn(func() { dispatcher.renewLoop(leaseTerm, name) })
	}
	leaseTerm.requestPlan()
}

// update applies the configuration and returns the names of the upstreams that
// have joined.
func (dispatcher *Dispatcher) update(spec configurer.GroupSpec, service configurer.Service, document configurer.Document) []string {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.upstreams == nil {
		dispatcher.upstreams, dispatcher.ownership = map[string]*upstream{}, newOwnership()
		dispatcher.parked = map[*call]struct{}{}
		dispatcher.retryBudget, dispatcher.loads = newRetryBudget(), newLoads()
	}
	dispatcher.service = service
	dispatcher.setKeyRules(keyRulesFor(service.Name, document))
	policies := rankPolicies(service.Name, document)
	changed := policies != dispatcher.policies
	dispatcher.policies = policies
	joined := dispatcher.applySpecs(spec.Upstreams)
	if changed {
		dispatcher.replaceQueues()
	}
	stopped := stoppedUpstreams(document)
	listed := map[string]bool{}
	for _, upstream := range spec.Upstreams {
		listed[upstream.Name] = true
	}
	for name, upstream := range dispatcher.upstreams {
		upstream.drainCauses.removed = !listed[name]
		upstream.drainCauses.document = stopped[name]
		upstream.drainCauses.platform = dispatcher.platformDraining[name]
		dispatcher.updateDrain(upstream)
		if dispatcher.leaseTerm == nil && upstream.drainCauses.removed && upstream.usedSlots() == 0 {
			delete(dispatcher.upstreams, name)
		}
	}
	return joined
}

// setKeyRules replaces the key rules. A key whose rule was removed returns to
// the owner of its shard.
func (dispatcher *Dispatcher) setKeyRules(rules map[string]configurer.KeyRule) {
	if dispatcher.removedRules == nil {
		dispatcher.removedRules = map[string]bool{}
	}
	for key := range dispatcher.keyRules {
		if _, ok := rules[key]; !ok {
			dispatcher.removedRules[key] = true
		}
	}
	for key := range rules {
		delete(dispatcher.removedRules, key)
	}
	dispatcher.keyRules = rules
}

// applySpecs adds new upstreams and updates changed ones. It returns the names
// of the new ones. A changed address means another process, so that the former
// one counts as lost.
func (dispatcher *Dispatcher) applySpecs(specs []configurer.Upstream) []string {
	var joined []string
	for _, spec := range specs {
		upstream := dispatcher.upstreams[spec.Name]
		if upstream == nil {
			upstream = newUpstream(spec)
			upstream.joinedDuringTerm = dispatcher.leaseTerm != nil
			upstream.lastReply = dispatcher.Clock.Now()
			upstream.replaceQueue(dispatcher.Clock, dispatcher.policies)
			dispatcher.upstreams[spec.Name] = upstream
			joined = append(joined, spec.Name)
			dispatcher.recordEvent(timeliner.Event{Kind: "upstreamJoined", Upstream: spec.Name})
			continue
		}
		addressChanged := upstream.spec.Address != spec.Address
		upstream.spec = spec
		if addressChanged && dispatcher.leaseTerm != nil && upstream.health != healthLost {
			dispatcher.declareLost(upstream, "address changed")
		}
		upstream.applySlots()
		dispatcher.startQueued(upstream)
	}
	return joined
}

// replaceQueues applies changed rank policies.
func (dispatcher *Dispatcher) replaceQueues() {
	for _, upstream := range dispatcher.upstreams {
		waiting := upstream.queue.Remove(func(*call) bool { return true })
		upstream.replaceQueue(dispatcher.Clock, dispatcher.policies)
		for _, call := range waiting {
			if err := dispatcher.enqueue(call); err != nil {
				dispatcher.refuse(call, err)
			}
		}
	}
}

// SetHomeShards sets the shards whose home is this group. Until it is called,
// the shards of the assignment are used.
func (dispatcher *Dispatcher) SetHomeShards(shards []uint32) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.homeShards = make(map[uint32]bool, len(shards))
	for _, shard := range shards {
		dispatcher.homeShards[shard] = true
	}
	if dispatcher.leaseTerm == nil {
		return
	}
	for _, upstream := range dispatcher.upstreams {
		dispatcher.reroute(upstream, func(call *call) bool { return !dispatcher.homeShards[call.request.Shard] })
	}
	dispatcher.leaseTerm.requestPlan()
}

// SetDraining sets the upstreams that the platform lists as leaving.
func (dispatcher *Dispatcher) SetDraining(names []string) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.platformDraining = make(map[string]bool, len(names))
	for _, name := range names {
		dispatcher.platformDraining[name] = true
	}
	for name, upstream := range dispatcher.upstreams {
		upstream.drainCauses.platform = dispatcher.platformDraining[name]
		dispatcher.updateDrain(upstream)
	}
}

// keyRulesFor returns the key rules of the service.
func keyRulesFor(service string, document configurer.Document) map[string]configurer.KeyRule {
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

// stoppedUpstreams returns the upstreams for which the document plans a stop.
func stoppedUpstreams(document configurer.Document) map[string]bool {
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

// rankPolicies returns the rank policies of the section that defines the
// service. Ranks that this section does not set use the policies of the other
// sections, in the order of their names, and then the defaults.
func rankPolicies(service string, document configurer.Document) [queuer.RankCount]queuer.Policy {
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

// String returns the causes, separated by commas.
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
