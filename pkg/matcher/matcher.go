// Package matcher selects the route of a request: among the routes of its host,
// the one with the longest prefix of its path.
package matcher

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Config is one version of the configuration. It is not changed once built.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name       string
	Host       string // in lower case
	PathPrefix string // begins and ends with a slash
	// Idempotent requests may run more than once.
	Idempotent bool
	// Upload marks requests with large bodies.
	Upload bool
	// Timeout is the longest time for which a caller is kept waiting; 0 for none.
	Timeout time.Duration
	// TargetLatency is the latency that callers expect; 0 for none.
	TargetLatency time.Duration
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int
	// Services are the services that share the requests by weight.
	Services []WeightedService
}

// WeightedService is the share of a service in a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a set of upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // that one upstream accepts from all its clients
	// Keyed services own keys: a request runs only at the owner of its key.
	Keyed bool
	// Warmup is how long keys are slow at a new owner without a handover.
	Warmup time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Validate checks the document and reports all faults in it together.
func (document *Config) Validate() error {
	var faults []error
	for _, route := range document.Routes {
		if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
			faults = append(faults, fmt.Errorf("route %q: prefix %q does not begin and end with a slash", route.Name, route.PathPrefix))
		}
		if route.Host == "" {
			faults = append(faults, fmt.Errorf("route %q: host is missing", route.Name))
		}
		if route.MaxAttempts < 1 {
			faults = append(faults, fmt.Errorf("route %q: %d attempts are fewer than 1", route.Name, route.MaxAttempts))
		}
		if route.Timeout < 0 || route.TargetLatency < 0 {
			faults = append(faults, fmt.Errorf("route %q: a time is below 0", route.Name))
		}
		faults = append(faults, document.validateParts(route)...)
	}
	return errors.Join(faults...)
}

func (document *Config) validateParts(route Route) (faults []error) {
	weight := 0
	for _, part := range route.Services {
		if _, ok := document.Services[part.Service]; !ok {
			faults = append(faults, fmt.Errorf("route %q: service %q does not exist", route.Name, part.Service))
		}
		if part.Weight < 0 {
			faults = append(faults, fmt.Errorf("route %q: weight %d of service %q is below 0", route.Name, part.Weight, part.Service))
		}
		weight += part.Weight
	}
	if weight <= 0 {
		faults = append(faults, fmt.Errorf("route %q: no service has a weight above 0", route.Name))
	}
	return faults
}

// Table finds routes. It is not changed once built.
type Table struct {
	Config *Config
	hosts  map[string][]*Route // longest prefix first
}

// New returns the table of a valid document.
func New(document *Config) *Table {
	table := &Table{Config: document, hosts: map[string][]*Route{}}
	for i := range document.Routes {
		route := &document.Routes[i]
		table.hosts[route.Host] = append(table.hosts[route.Host], route)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return table
}

// Match returns the route for the host and the path, which is compared as it
// was sent, without decoding. It returns nil when there is none.
func (table *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := table.hosts[host]
	if colon := strings.LastIndexByte(host, ':'); !ok && colon >= 0 && !strings.HasSuffix(host, "]") {
		routes = table.hosts[host[:colon]]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
