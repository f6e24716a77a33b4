package configurer

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

const (
	// maxTimeout keeps requests shorter than the 10 min for which request IDs
	// are remembered.
	maxTimeout = Duration(10 * time.Minute)

	maxTarget      = Duration(10 * time.Minute)
	maxSlots       = 1024
	maxConnections = 65535
	maxMethods     = 16

	// maxKeyRules is the maximum number of key rules of a service. Every VM
	// holds each rule in memory, in addition to the shard table.
	maxKeyRules = 1024
)

var (
	// namePattern allows names that can be part of group IDs (which separate
	// them by dots), object names and host names.
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
	methodPattern = regexp.MustCompile(`^[A-Z][A-Z-]*$`)
	headerPattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")
)

// Validate checks the whole document. The error is of type Faults and lists every
// fault.
func (document *Document) Validate() error {
	validator := validator{
		services:  map[string]location{},
		upstreams: map[string]location{},
		addresses: map[string]location{},
		zones:     map[string]location{},
	}
	for _, name := range slices.Sorted(maps.Keys(document.Sections)) {
		validator.checkSection(name, document.Sections[name])
	}
	validator.checkOverlaps()
	return validator.faults.Err()
}

// location is the section and path at which the document defines something.
type location struct{ section, path string }

func (location location) String() string {
	return fmt.Sprintf("%s of section %q", location.path, location.section)
}

// serviceDefinition is a service and the location of its definition.
type serviceDefinition struct {
	location
	service Service
}

// validator collects the faults of a document, and the names, addresses and
// services that its sections define.
type validator struct {
	faults      Faults
	services    map[string]location
	upstreams   map[string]location
	addresses   map[string]location
	zones       map[string]location
	definitions []serviceDefinition
}

// checkUnique adds a fault if the name is already in taken, and otherwise records
// its location there.
func (validator *validator) checkUnique(kind string, taken map[string]location, name string, here location) {
	if other, ok := taken[name]; ok {
		validator.faults.add(here.section, here.path, "%s %q is already defined by %v", kind, name, other)
		return
	}
	taken[name] = here
}

func (validator *validator) checkSection(name string, section Section) {
	if !namePattern.MatchString(name) {
		validator.faults.add(name, "", "name is not made of lower-case letters, digits and inner hyphens (at most 63)")
	}
	if section.Team == "" {
		validator.faults.add(name, "team", "team is missing")
	}
	for index, service := range section.Services {
		validator.checkService(name, fmt.Sprintf("services[%d]", index), service)
	}
	validator.checkKeys(name, section)
	validator.checkRanks(name, section.Ranks)
	validator.checkStops(name, section)
	for index, zone := range section.Zones {
		path := fmt.Sprintf("zones[%d].name", index)
		if validator.checkName(name, path, zone.Name) {
			validator.checkUnique("zone", validator.zones, zone.Name, location{name, path})
		}
	}
}

func (validator *validator) checkName(section, path, name string) bool {
	if name == "" {
		validator.faults.add(section, path, "name is missing")
		return false
	}
	if !namePattern.MatchString(name) {
		validator.faults.add(section, path, "%q is not made of lower-case letters, digits and inner hyphens (at most 63)", name)
		return false
	}
	return true
}

func (validator *validator) checkService(section, path string, service Service) {
	add := func(field, format string, args ...any) {
		validator.faults.add(section, path+"."+field, format, args...)
	}
	if validator.checkName(section, path+".name", service.Name) {
		validator.checkUnique("service", validator.services, service.Name, location{section, path + ".name"})
	}
	for index, host := range service.Hosts {
		if !hostPattern.MatchString(host) {
			add(fmt.Sprintf("hosts[%d]", index), "%q is not a host name without port", host)
		} else if slices.Contains(service.Hosts[:index], host) {
			add(fmt.Sprintf("hosts[%d]", index), "host %q occurs twice", host)
		}
	}
	if reason := prefixFault(service.PathPrefix); reason != "" {
		add("pathPrefix", "%s", reason)
	}
	if reason := keySourceFault(service.Key); reason != "" {
		add("key", "%s", reason)
	}
	if service.Shards < 1 || service.Shards > maxShards || service.Shards&(service.Shards-1) != 0 {
		add("shards", "%d is not a power of two from 1 to %d", service.Shards, maxShards)
	}
	if !validRank(service.Rank) {
		add("rank", "%v does not exist", service.Rank)
	}
	if service.Timeout <= 0 || service.Timeout > maxTimeout {
		add("timeout", "%v is not above 0 and at most %v", time.Duration(service.Timeout), time.Duration(maxTimeout))
	}
	if service.MaxBody < 0 {
		add("maxBody", "%d bytes are below 0", service.MaxBody)
	}
	if len(service.Upstreams) == 0 {
		add("upstreams", "service has no upstream")
	}
	for index, upstream := range service.Upstreams {
		validator.checkUpstream(section, fmt.Sprintf("%s.upstreams[%d]", path, index), upstream)
	}
	validator.checkRoutes(section, path, service)
	validator.definitions = append(validator.definitions, serviceDefinition{location{section, path}, service})
}

// prefixFault returns what is wrong with the path prefix, or an empty string.
func prefixFault(prefix string) string {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		return fmt.Sprintf("%q does not begin with a slash", prefix)
	case strings.Contains(prefix, "//") || hasDotSegment(prefix) || strings.ContainsAny(prefix, "?#% "):
		return fmt.Sprintf("%q has an empty segment, a dot segment, a space or one of ? # %%", prefix)
	case countSegments(prefix) > maxPrefixSegments:
		return fmt.Sprintf("%q has more than %d segments", prefix, maxPrefixSegments)
	}
	return ""
}

// keySourceFault returns what is wrong with the key source, or an empty string.
func keySourceFault(source KeySource) string {
	count := 0
	for _, set := range []bool{source.Header != "", source.Query != "", source.PathSegment != 0} {
		if set {
			count++
		}
	}
	switch {
	case count > 1:
		return "more than one of header, query and pathSegment is set"
	case source.PathSegment < 0:
		return fmt.Sprintf("pathSegment %d is below 1", source.PathSegment)
	case source.Header != "" && !headerPattern.MatchString(source.Header):
		return fmt.Sprintf("header %q is not a valid header name", source.Header)
	}
	return ""
}

func validRank(rank queuer.Rank) bool { return rank >= 0 && rank < queuer.RankCount }

func (validator *validator) checkUpstream(section, path string, upstream Upstream) {
	if validator.checkName(section, path+".name", upstream.Name) {
		validator.checkUnique("upstream", validator.upstreams, upstream.Name, location{section, path + ".name"})
	}
	if upstream.Zone == "" {
		validator.faults.add(section, path+".zone", "zone is missing")
	} else {
		validator.checkName(section, path+".zone", upstream.Zone)
	}
	if address, reason := normalizeAddress(upstream.Address); reason != "" {
		validator.faults.add(section, path+".address", "%s", reason)
	} else {
		// If two services shared an address, the holders of two groups would send
		// requests to it.
		validator.checkUnique("address", validator.addresses, address, location{section, path + ".address"})
	}
	if upstream.Slots < 1 || upstream.Slots > maxSlots {
		validator.faults.add(section, path+".slots", "%d is not from 1 to %d", upstream.Slots, maxSlots)
	}
	if upstream.Connections < upstream.Slots || upstream.Connections > maxConnections {
		validator.faults.add(section, path+".connections", "%d is not from the number of slots, %d, to %d", upstream.Connections, upstream.Slots, maxConnections)
	}
}

// normalizeAddress returns the canonical form of the address, so that equal
// addresses are equal strings. reason says what is wrong with an invalid address.
func normalizeAddress(address string) (normal, reason string) {
	if address == "" {
		return "", "address is missing"
	}
	if parsed, err := netip.ParseAddrPort(address); err == nil && parsed.Port() != 0 {
		return netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String(), ""
	}
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	host = strings.ToLower(host)
	if err != nil || portErr != nil || number == 0 || !hostPattern.MatchString(host) {
		return "", fmt.Sprintf("%q is not of the form host:port with a port from 1 to 65535", address)
	}
	return net.JoinHostPort(host, strconv.FormatUint(number, 10)), ""
}
