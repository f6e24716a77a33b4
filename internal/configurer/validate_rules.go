package configurer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// shareTolerance allows for the rounding of shares such as 0.1 + 0.2 + 0.7.
const shareTolerance = 1e-9

func (validator *validator) checkRoutes(section, path string, service Service) {
	for index, route := range service.Routes {
		routePath := fmt.Sprintf("%s.routes[%d]", path, index)
		if len(route.Methods) > maxMethods {
			validator.faults.add(section, routePath+".methods", "%d methods are more than %d", len(route.Methods), maxMethods)
		}
		for position, method := range route.Methods {
			if !methodPattern.MatchString(method) {
				validator.faults.add(section, fmt.Sprintf("%s.methods[%d]", routePath, position), "%q is not a method in capital letters", method)
			}
		}
		if route.PathPrefix != "" {
			if reason := prefixFault(route.PathPrefix); reason != "" {
				validator.faults.add(section, routePath+".pathPrefix", "%s", reason)
			} else if !prefixMatches(service.PathPrefix, route.PathPrefix) {
				validator.faults.add(section, routePath+".pathPrefix", "%q is outside of the service's prefix %q", route.PathPrefix, service.PathPrefix)
			}
		}
		if route.Rank != nil && !validRank(*route.Rank) {
			validator.faults.add(section, routePath+".rank", "%v does not exist", *route.Rank)
		}
		if route.Timeout != nil && (*route.Timeout <= 0 || *route.Timeout > maxTimeout) {
			validator.faults.add(section, routePath+".timeout", "%v is not above 0 and at most %v", time.Duration(*route.Timeout), time.Duration(maxTimeout))
		}
		if route.Rank == nil && route.Idempotent == nil && route.Timeout == nil {
			validator.faults.add(section, routePath, "route sets none of rank, idempotent and timeout")
		}
		for earlier, other := range service.Routes[:index] {
			if other.covers(route) {
				validator.faults.add(section, routePath, "route is never used, because routes[%d] matches all of its requests", earlier)
				break
			}
		}
	}
}

// covers reports whether the route matches every request that other matches. A
// route that an earlier one covers is never used.
func (route Route) covers(other Route) bool {
	if len(route.Methods) > 0 {
		if len(other.Methods) == 0 {
			return false
		}
		for _, method := range other.Methods {
			if !slices.Contains(route.Methods, method) {
				return false
			}
		}
	}
	return prefixMatches(route.PathPrefix, other.PathPrefix)
}

// checkOverlaps adds a fault for services of different sections that match the same
// request, so that no team can take over requests of another team, and for services
// of one section between which no host or path prefix decides.
func (validator *validator) checkOverlaps() {
	for index, one := range validator.definitions {
		for _, other := range validator.definitions[:index] {
			if !hostsOverlap(one.service, other.service) {
				continue
			}
			samePrefix := one.service.PathPrefix == other.service.PathPrefix
			nested := prefixMatches(one.service.PathPrefix, other.service.PathPrefix) ||
				prefixMatches(other.service.PathPrefix, one.service.PathPrefix)
			sameSection := one.section == other.section
			// Within a section, a service that lists hosts takes precedence over
			// one for every host, so that they may have equal prefixes.
			byHost := sameSection && (len(one.service.Hosts) == 0) != (len(other.service.Hosts) == 0)
			if (samePrefix && !byHost) || (nested && !sameSection) {
				validator.faults.add(one.section, one.path, "requests for %s overlap with those of %v (%s)",
					describeRequests(one.service), other.location, describeRequests(other.service))
			}
		}
	}
}

func hostsOverlap(one, other Service) bool {
	if len(one.Hosts) == 0 || len(other.Hosts) == 0 {
		return true
	}
	return slices.ContainsFunc(one.Hosts, func(host string) bool { return slices.Contains(other.Hosts, host) })
}

func describeRequests(service Service) string {
	if len(service.Hosts) == 0 {
		return "every host" + service.PathPrefix
	}
	return strings.Join(service.Hosts, ",") + service.PathPrefix
}

// checkKeys checks key rules. A section may set them for its own services only.
func (validator *validator) checkKeys(section string, content Section) {
	counts := map[string]int{}
	seen := map[[2]string]int{}
	for index, rule := range content.Keys {
		path := fmt.Sprintf("keys[%d]", index)
		position := slices.IndexFunc(content.Services, func(service Service) bool { return service.Name == rule.Service })
		if position < 0 {
			validator.faults.add(section, path+".service", "service %q is not defined in this section", rule.Service)
		} else if rule.Upstream != "" && !content.Services[position].hasUpstream(rule.Upstream) {
			validator.faults.add(section, path+".upstream", "upstream %q is not defined in service %q", rule.Upstream, rule.Service)
		}
		if rule.Key == "" {
			validator.faults.add(section, path+".key", "key is missing")
		}
		if rule.Upstream == "" && !rule.Hot {
			validator.faults.add(section, path, "rule sets neither upstream nor hot")
		}
		if earlier, ok := seen[[2]string{rule.Service, rule.Key}]; ok {
			validator.faults.add(section, path, "key %q of service %q already has keys[%d]", rule.Key, rule.Service, earlier)
		} else {
			seen[[2]string{rule.Service, rule.Key}] = index
		}
		counts[rule.Service]++
	}
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		if counts[service] > maxKeyRules {
			validator.faults.add(section, "keys", "service %q has %d key rules, more than %d", service, counts[service], maxKeyRules)
		}
	}
}

func (service Service) hasUpstream(name string) bool {
	return slices.ContainsFunc(service.Upstreams, func(upstream Upstream) bool { return upstream.Name == name })
}

func (validator *validator) checkRanks(section string, policies []RankPolicy) {
	total := 0.0
	for index, policy := range policies {
		path := fmt.Sprintf("ranks[%d]", index)
		if !validRank(policy.Rank) {
			validator.faults.add(section, path+".rank", "%v does not exist", policy.Rank)
		}
		if slices.ContainsFunc(policies[:index], func(other RankPolicy) bool { return other.Rank == policy.Rank }) {
			validator.faults.add(section, path+".rank", "rank %v occurs twice", policy.Rank)
		}
		if policy.Target <= 0 || policy.Target > maxTarget {
			validator.faults.add(section, path+".target", "%v is not above 0 and at most %v", time.Duration(policy.Target), time.Duration(maxTarget))
		}
		if !(policy.MinimumShare >= 0 && policy.MinimumShare <= 1) {
			validator.faults.add(section, path+".minimumShare", "%v is not from 0 to 1", policy.MinimumShare)
			continue
		}
		total += policy.MinimumShare
	}
	if total > 1+shareTolerance {
		validator.faults.add(section, "ranks", "minimum shares add up to %.4g, above 1", total)
	}
}

// checkStops checks planned stops. A section may stop its own upstreams and any VM.
func (validator *validator) checkStops(section string, content Section) {
	for index, stop := range content.Stops {
		path := fmt.Sprintf("stops[%d]", index)
		if (stop.Upstream == "") == (stop.VM == "") {
			validator.faults.add(section, path, "exactly one of upstream and vm must be set")
		}
		if stop.Upstream != "" && !slices.ContainsFunc(content.Services, func(service Service) bool { return service.hasUpstream(stop.Upstream) }) {
			validator.faults.add(section, path+".upstream", "upstream %q is not defined in this section", stop.Upstream)
		}
		if stop.Reason == "" {
			validator.faults.add(section, path+".reason", "reason is missing")
		}
		same := func(other Stop) bool { return other.Upstream == stop.Upstream && other.VM == stop.VM }
		if slices.ContainsFunc(content.Stops[:index], same) {
			validator.faults.add(section, path, "stop occurs twice")
		}
	}
}
