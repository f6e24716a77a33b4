package configurer

import (
	"slices"
	"strings"
	"time"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// maxPrefixSegments is the maximum number of segments of a path prefix. The limit
// lets lookups use an array of fixed size, without allocation.
const maxPrefixSegments = 16

// Match holds the routing values of a request. It is shared by all requests that
// match the same service and route, and must not be changed.
type Match struct {
	Section    string
	Service    *Service
	Rank       queuer.Rank
	Idempotent bool
	Timeout    time.Duration
	MaxBody    int64
	// Policies holds the policy of each rank of the service.
	Policies *[queuer.RankCount]RankPolicy
}

// Match returns the service of a request, with the values of the first route that
// matches. A service that lists the host takes precedence over one for every host,
// and then the longest path prefix. host may have a port. path is the decoded
// path; one with a dot segment matches nothing, because an upstream may resolve it
// to the path of another route.
func (document *Document) Match(host, path, method string) (*Match, bool) {
	found := document.getMatcher().find(host, path)
	if found == nil || hasDotSegment(path) {
		return nil, false
	}
	for index := range found.routes {
		if route := &found.routes[index]; route.matches(path, method) {
			return &route.match, true
		}
	}
	return &found.match, true
}

// Service returns the values of the service that apply to requests without a
// matching route.
func (document *Document) Service(name string) (*Match, bool) {
	found, ok := document.getMatcher().services[name]
	if !ok {
		return nil, false
	}
	return &found.match, true
}

// getMatcher returns the document's matcher. A document that was not created by
// NewDocument has none, and one is built for the call.
func (document *Document) getMatcher() *matcher {
	if document.matcher != nil {
		return document.matcher
	}
	return newMatcher(document.Sections)
}

// matcher finds the service of a request. It is immutable.
type matcher struct {
	services map[string]*serviceRule
	hosts    map[string]*prefixTable
	anyHost  *prefixTable
}

type serviceRule struct {
	match  Match
	routes []routeRule
}

type routeRule struct {
	methods []string
	prefix  string
	match   Match
}

// prefixTable maps path prefixes to the rules of services.
type prefixTable struct {
	rules map[string]*serviceRule
	depth int // segments of the longest prefix
}

func newMatcher(sections map[string]Section) *matcher {
	result := &matcher{services: map[string]*serviceRule{}, hosts: map[string]*prefixTable{}, anyHost: &prefixTable{}}
	for name, section := range sections {
		policies := section.RankPolicies()
		for index := range section.Services {
			result.add(newServiceRule(name, &section.Services[index], &policies))
		}
	}
	return result
}

func newServiceRule(section string, service *Service, policies *[queuer.RankCount]RankPolicy) *serviceRule {
	rule := &serviceRule{match: Match{
		Section: section, Service: service, Rank: service.Rank, Idempotent: service.Idempotent,
		Timeout: time.Duration(service.Timeout), MaxBody: service.MaxBody, Policies: policies,
	}}
	for _, route := range service.Routes {
		match := rule.match
		if route.Rank != nil {
			match.Rank = *route.Rank
		}
		if route.Idempotent != nil {
			match.Idempotent = *route.Idempotent
		}
		if route.Timeout != nil {
			match.Timeout = time.Duration(*route.Timeout)
		}
		rule.routes = append(rule.routes, routeRule{route.Methods, route.PathPrefix, match})
	}
	return rule
}

func (matcher *matcher) add(rule *serviceRule) {
	service := rule.match.Service
	matcher.services[service.Name] = rule
	if len(service.Hosts) == 0 {
		matcher.anyHost.add(service.PathPrefix, rule)
	}
	for _, host := range service.Hosts {
		table, ok := matcher.hosts[host]
		if !ok {
			table = &prefixTable{}
			matcher.hosts[host] = table
		}
		table.add(service.PathPrefix, rule)
	}
}

// find returns the rule for the request, or nil if no service matches.
func (matcher *matcher) find(host, path string) *serviceRule {
	if len(matcher.hosts) > 0 {
		if table, ok := matcher.hosts[normalizeHost(host)]; ok {
			if rule := table.find(path); rule != nil {
				return rule
			}
		}
	}
	return matcher.anyHost.find(path)
}

func (table *prefixTable) add(prefix string, rule *serviceRule) {
	if table.rules == nil {
		table.rules = map[string]*serviceRule{}
	}
	table.rules[prefix] = rule
	table.depth = max(table.depth, countSegments(prefix))
}

// find returns the rule with the longest prefix of whole segments.
func (table *prefixTable) find(path string) *serviceRule {
	if len(table.rules) == 0 || !strings.HasPrefix(path, "/") {
		return nil
	}
	var ends [maxPrefixSegments]int
	count := 0
	for index := 1; index < len(path) && count < min(table.depth, maxPrefixSegments); index++ {
		if path[index] == '/' {
			ends[count] = index
			count++
		} else if index == len(path)-1 {
			ends[count] = len(path)
			count++
		}
	}
	for _, end := range slices.Backward(ends[:count]) {
		if rule, ok := table.rules[path[:end]]; ok {
			return rule
		}
	}
	return table.rules["/"]
}

func (route *routeRule) matches(path, method string) bool {
	return (len(route.methods) == 0 || slices.Contains(route.methods, method)) && prefixMatches(route.prefix, path)
}

// prefixMatches reports whether the path starts with the whole segments of the
// prefix.
func prefixMatches(prefix, path string) bool {
	if prefix == "" || prefix == "/" {
		return true
	}
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// countSegments returns the number of segments of a path prefix.
func countSegments(prefix string) int {
	if prefix == "/" {
		return 0
	}
	return strings.Count(prefix, "/")
}

func hasDotSegment(path string) bool {
	for rest := path; ; {
		index := strings.Index(rest, "/.")
		if index < 0 {
			return false
		}
		rest = rest[index+1:]
		segment, _, _ := strings.Cut(rest, "/")
		if segment == "." || segment == ".." {
			return true
		}
	}
}

// normalizeHost returns the host in lower case, without port and final dot.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
