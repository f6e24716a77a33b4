// Package matcher selects the route of a request: among the routes of its host, the
// one with the longest matching path prefix.
package matcher

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Config is one version of the configuration of routes and services. It must not be
// modified after it was passed to New.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Faults are the errors of the entries that cannot be used. They are reported, and the
	// other entries are in force.
	Faults []error
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name       string
	Host       string // in lower case
	PathPrefix string // begins and ends with a slash
	// Idempotent marks requests that may run more than once.
	Idempotent bool
	// Upload marks requests with large bodies.
	Upload bool
	// Download marks requests with large responses.
	Download bool
	// Timeout bounds the time until the caller gets a response; 0 when the route sets none.
	Timeout time.Duration
	// TargetLatency is the latency that callers expect; 0 when the route sets none.
	TargetLatency time.Duration
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// MaxAttempts bounds the number of upstreams to which one request is sent.
	MaxAttempts int
	// Services share the requests by weight.
	Services []WeightedService
	// Fault is why no request of the route can be served, or nil.
	Fault error
}

// Matchable reports whether requests can be matched with the route.
func (route Route) Matchable() bool {
	return route.Host != "" && strings.HasPrefix(route.PathPrefix, "/") && strings.HasSuffix(route.PathPrefix, "/")
}

// WeightedService names a service and its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// IsOverflow reports whether the route's requests reach the service as overflow: another
// service has a greater weight, or the same and comes first.
func (route Route) IsOverflow(service string) bool {
	main := WeightedService{}
	for _, weighted := range route.Services {
		if weighted.Weight > main.Weight {
			main = weighted
		}
	}
	return main.Service != service
}

// Service is a set of upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // that one upstream accepts from all of its clients
	// Keyed is whether keys are assigned to the upstreams, so that a request runs
	// only on the owner of its key.
	Keyed bool
	// Warmup is how long requests for a key are slow after a new owner got the key
	// without a handover.
	Warmup time.Duration
	// ColdFor is how long an upstream is cold after it has started or returned, and
	// ColdRate how many requests per second it then tolerates; 0 for no bound.
	ColdFor  time.Duration
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Validate checks the configuration and returns all errors in it, joined.
func (config *Config) Validate() error {
	var errs []error
	for _, route := range config.Routes {
		errs = append(errs, config.ValidateRoute(route))
	}
	return errors.Join(errs...)
}

// ValidateRoute checks a route, whose services must be in the configuration, and returns
// all errors in it, joined.
func (config *Config) ValidateRoute(route Route) error {
	var errs []error
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		errs = append(errs, fmt.Errorf("route %q: prefix %q does not begin and end with a slash", route.Name, route.PathPrefix))
	}
	if route.Host == "" {
		errs = append(errs, fmt.Errorf("route %q: host is missing", route.Name))
	}
	if route.MaxAttempts < 1 {
		errs = append(errs, fmt.Errorf("route %q: %d attempts are fewer than 1", route.Name, route.MaxAttempts))
	}
	if route.Timeout < 0 || route.TargetLatency < 0 {
		errs = append(errs, fmt.Errorf("route %q: timeout or target latency is below 0", route.Name))
	}
	return errors.Join(append(errs, config.validateServices(route)...)...)
}

func (config *Config) validateServices(route Route) (errs []error) {
	weight := 0
	for _, weighted := range route.Services {
		if _, ok := config.Services[weighted.Service]; !ok {
			errs = append(errs, fmt.Errorf("route %q: service %q does not exist", route.Name, weighted.Service))
		}
		if weighted.Weight < 0 {
			errs = append(errs, fmt.Errorf("route %q: weight %d of service %q is below 0", route.Name, weighted.Weight, weighted.Service))
		}
		weight += weighted.Weight
	}
	if weight <= 0 {
		errs = append(errs, fmt.Errorf("route %q: no service has a weight above 0", route.Name))
	}
	return errs
}

// Table looks up routes. It is immutable.
type Table struct {
	Config       *Config
	routesByHost map[string][]*Route // longest prefix first
}

// New returns the table of a valid configuration.
func New(config *Config) *Table {
	table := &Table{Config: config, routesByHost: map[string][]*Route{}}
	for i := range config.Routes {
		route := &config.Routes[i]
		table.routesByHost[route.Host] = append(table.routesByHost[route.Host], route)
	}
	for _, routes := range table.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return table
}

// Match returns the route for the host, with or without a port, and the path. The
// path is compared as it was sent, without decoding. Match returns nil when there is
// no route.
func (table *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := table.routesByHost[host]
	if colon := strings.LastIndexByte(host, ':'); !ok && colon >= 0 && !strings.HasSuffix(host, "]") {
		routes = table.routesByHost[host[:colon]]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
