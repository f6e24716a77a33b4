package configurer

import (
	"slices"
	"strings"
	"time"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

const (
	defaultShards      = 256
	maxShards          = 16384
	defaultPathPrefix  = "/"
	defaultTimeout     = Duration(10 * time.Second)
	defaultMaxBody     = 1 << 30 // 1 GiB
	defaultSlots       = 1
	defaultConnections = 50 // the limit of the smaller upstreams of section 1.5
)

// defaultRanks holds the policies of the ranks that a section does not set. The
// minimum shares leave 95% of the slot time to lookups when lookups overload the
// upstreams, which is the target of section 1.7.
var defaultRanks = [queuer.RankCount]RankPolicy{
	{Rank: queuer.Lookup, Target: Duration(500 * time.Millisecond), MinimumShare: 0},
	{Rank: queuer.Transaction, Target: Duration(2 * time.Second), MinimumShare: 0.03},
	{Rank: queuer.Upload, Target: Duration(30 * time.Second), MinimumShare: 0.02},
}

// withDefaults returns a copy of the section in which absent values of services
// have their defaults, hosts are in lower case, and path prefixes have no slash
// at the end.
func (section Section) withDefaults() Section {
	section.Services = slices.Clone(section.Services)
	for index := range section.Services {
		service := &section.Services[index]
		if service.PathPrefix == "" {
			service.PathPrefix = defaultPathPrefix
		}
		service.PathPrefix = trimPrefix(service.PathPrefix)
		service.Shards = orDefault(service.Shards, defaultShards)
		service.Timeout = orDefault(service.Timeout, defaultTimeout)
		service.MaxBody = orDefault(service.MaxBody, defaultMaxBody)
		service.Hosts = slices.Clone(service.Hosts)
		for host := range service.Hosts {
			service.Hosts[host] = strings.ToLower(service.Hosts[host])
		}
		service.Upstreams = slices.Clone(service.Upstreams)
		for upstream := range service.Upstreams {
			service.Upstreams[upstream].Slots = orDefault(service.Upstreams[upstream].Slots, defaultSlots)
			connections := max(defaultConnections, service.Upstreams[upstream].Slots)
			service.Upstreams[upstream].Connections = orDefault(service.Upstreams[upstream].Connections, connections)
		}
		service.Routes = slices.Clone(service.Routes)
		for route := range service.Routes {
			service.Routes[route].PathPrefix = trimPrefix(service.Routes[route].PathPrefix)
		}
	}
	return section
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// trimPrefix removes the slash at the end, which makes no difference because
// prefixes match whole segments.
func trimPrefix(prefix string) string {
	if len(prefix) > 1 {
		return strings.TrimSuffix(prefix, "/")
	}
	return prefix
}

// RankPolicies returns the policies of all ranks: those of the section, and the
// defaults of the ranks that it does not set. Default shares are reduced so that
// they do not exceed what the section's own shares leave of 1.
func (section Section) RankPolicies() [queuer.RankCount]RankPolicy {
	policies := defaultRanks
	var set [queuer.RankCount]bool
	remaining := 1.0
	for _, policy := range section.Ranks {
		if policy.Rank >= 0 && policy.Rank < queuer.RankCount {
			policies[policy.Rank], set[policy.Rank] = policy, true
			remaining -= policy.MinimumShare
		}
	}
	for rank := range policies {
		if !set[rank] {
			policies[rank].MinimumShare = max(0, min(policies[rank].MinimumShare, remaining))
			remaining -= policies[rank].MinimumShare
		}
	}
	return policies
}
