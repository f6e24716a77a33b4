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
	// maxTimeout keeps a request shorter than the memory of request IDs, which
	// covers 10 min.
	maxTimeout = Duration(10 * time.Minute)

	maxTarget      = Duration(10 * time.Minute)
	maxSlots       = 1024
	maxConnections = 65535
	maxMethods     = 16

	// maxKeyRules bounds the key rules of a service: each is held by every VM
	// beside the table of shards.
	maxKeyRules = 1024
)

var (
	// namePattern keeps names usable in group IDs (which separate them by
	// dots), in object names and in host names.
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
	methodPattern = regexp.MustCompile(`^[A-Z][A-Z-]*$`)
	headerPattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")
)

// Validate checks the whole document. The error is of type Faults and lists
// everything that is wrong.
func (document *Document) Validate() error {
	validation := validation{
		services:  map[string]place{},
		upstreams: map[string]place{},
		addresses: map[string]place{},
		zones:     map[string]place{},
	}
	for _, name := range slices.Sorted(maps.Keys(document.Sections)) {
		validation.checkSection(name, document.Sections[name])
	}
	validation.checkOverlaps()
	return validation.faults.Err()
}

// place is where the document defines something.
type place struct{ section, path string }

func (place place) String() string { return fmt.Sprintf("%s of section %q", place.path, place.section) }

type claim struct {
	place
	service Service
}

// validation collects what the sections claim and what is wrong with them.
type validation struct {
	faults    Faults
	services  map[string]place
	upstreams map[string]place
	addresses map[string]place
	zones     map[string]place
	claims    []claim
}

// claimName records a name that only one place may define.
func (validation *validation) claimName(kind string, taken map[string]place, name string, here place) {
	if other, ok := taken[name]; ok {
		validation.faults.add(here.section, here.path, "%s %q is already defined by %v", kind, name, other)
		return
	}
	taken[name] = here
}

func (validation *validation) checkSection(name string, section Section) {
	if !namePattern.MatchString(name) {
		validation.faults.add(name, "", "name is not made of lower-case letters, digits and inner hyphens (at most 63)")
	}
	if section.Team == "" {
		validation.faults.add(name, "team", "team is missing")
	}
	for index, service := range section.Services {
		validation.checkService(name, fmt.Sprintf("services[%d]", index), service)
	}
	validation.checkKeys(name, section)
	validation.checkRanks(name, section.Ranks)
	validation.checkStops(name, section)
	for index, zone := range section.Zones {
		path := fmt.Sprintf("zones[%d].name", index)
		if validation.checkName(name, path, zone.Name) {
			validation.claimName("zone", validation.zones, zone.Name, place{name, path})
		}
	}
}

func (validation *validation) checkName(section, path, name string) bool {
	if name == "" {
		validation.faults.add(section, path, "name is missing")
		return false
	}
	if !namePattern.MatchString(name) {
		validation.faults.add(section, path, "%q is not made of lower-case letters, digits and inner hyphens (at most 63)", name)
		return false
	}
	return true
}

func (validation *validation) checkService(section, path string, service Service) {
	add := func(field, format string, args ...any) {
		validation.faults.add(section, path+"."+field, format, args...)
	}
	if validation.checkName(section, path+".name", service.Name) {
		validation.claimName("service", validation.services, service.Name, place{section, path + ".name"})
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
		validation.checkUpstream(section, fmt.Sprintf("%s.upstreams[%d]", path, index), upstream)
	}
	validation.checkRoutes(section, path, service)
	validation.claims = append(validation.claims, claim{place{section, path}, service})
}

func prefixFault(prefix string) string {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		return fmt.Sprintf("%q does not begin with a slash", prefix)
	case strings.Contains(prefix, "//") || hasDotSegment(prefix) || strings.ContainsAny(prefix, "?#% "):
		return fmt.Sprintf("%q has an empty segment, a dot segment, a space or one of ? # %%", prefix)
	case segments(prefix) > maxPrefixSegments:
		return fmt.Sprintf("%q has more than %d segments", prefix, maxPrefixSegments)
	}
	return ""
}

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

func (validation *validation) checkUpstream(section, path string, upstream Upstream) {
	if validation.checkName(section, path+".name", upstream.Name) {
		validation.claimName("upstream", validation.upstreams, upstream.Name, place{section, path + ".name"})
	}
	if upstream.Zone == "" {
		validation.faults.add(section, path+".zone", "zone is missing")
	} else {
		validation.checkName(section, path+".zone", upstream.Zone)
	}
	if address, reason := normalAddress(upstream.Address); reason != "" {
		validation.faults.add(section, path+".address", "%s", reason)
	} else {
		// Two services with one address would have two holders that send to it.
		validation.claimName("address", validation.addresses, address, place{section, path + ".address"})
	}
	if upstream.Slots < 1 || upstream.Slots > maxSlots {
		validation.faults.add(section, path+".slots", "%d is not from 1 to %d", upstream.Slots, maxSlots)
	}
	if upstream.Connections < upstream.Slots || upstream.Connections > maxConnections {
		validation.faults.add(section, path+".connections", "%d is not from the number of slots, %d, to %d", upstream.Connections, upstream.Slots, maxConnections)
	}
}

// normalAddress returns the address in the form in which equal addresses are
// the same string.
func normalAddress(address string) (normal, reason string) {
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
