package configurer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// Document is one accepted revision of the routing document. It is immutable;
// the With methods return changed copies.
type Document struct {
	Revision uint64             `json:"revision"`
	Sections map[string]Section `json:"sections"`

	matcher *matcher // built by NewDocument
}

// Section is the part of the document that one team owns.
type Section struct {
	Team     string       `json:"team"`
	Services []Service    `json:"services,omitempty"`
	Keys     []KeyRule    `json:"keys,omitempty"`
	Ranks    []RankPolicy `json:"ranks,omitempty"`
	Stops    []Stop       `json:"stops,omitempty"`
	Zones    []ZoneRule   `json:"zones,omitempty"`
}

// Service is a set of upstreams among which the keys are divided.
type Service struct {
	Name string `json:"name"`
	// Hosts and PathPrefix select the requests of the service. An empty list
	// of hosts matches every host.
	Hosts      []string   `json:"hosts,omitempty"`
	PathPrefix string     `json:"pathPrefix"`
	Key        KeySource  `json:"key"`
	Shards     int        `json:"shards,omitempty"` // power of two, 256 by default, at most 16384
	Upstreams  []Upstream `json:"upstreams"`
	// ChecksGrants reports whether the upstreams refuse work that their current
	// grant does not cover.
	ChecksGrants bool `json:"checksGrants"`
	// Rank, Idempotent and Timeout apply to requests for which no route sets
	// them.
	Rank       queuer.Rank `json:"rank"`
	Idempotent bool        `json:"idempotent"`
	Timeout    Duration    `json:"timeout"`
	MaxBody    int64       `json:"maxBody,omitempty"` // bytes, 1 GiB by default
	Routes     []Route     `json:"routes,omitempty"`
}

// KeySource says where a request carries its key. At most one field is set. With
// none set, the header Cuminstream-Key is used.
type KeySource struct {
	Header      string `json:"header,omitempty"`
	Query       string `json:"query,omitempty"`
	PathSegment int    `json:"pathSegment,omitempty"` // 1 is the first segment
}

// Route overrides values of the service for the requests that it matches. The
// first route that matches a request is used.
type Route struct {
	Methods    []string     `json:"methods,omitempty"`
	PathPrefix string       `json:"pathPrefix,omitempty"`
	Rank       *queuer.Rank `json:"rank,omitempty"`
	Idempotent *bool        `json:"idempotent,omitempty"`
	Timeout    *Duration    `json:"timeout,omitempty"`
}

// Upstream is one server of a service.
type Upstream struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"` // host:port
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// KeyRule pins a key to an upstream, or marks it as hot, so that it is placed
// independently of its shard.
type KeyRule struct {
	Service  string `json:"service"`
	Key      string `json:"key"`
	Upstream string `json:"upstream,omitempty"`
	Hot      bool   `json:"hot,omitempty"`
}

// RankPolicy sets the target queue wait and the minimum share of a rank.
type RankPolicy struct {
	Rank         queuer.Rank `json:"rank"`
	Target       Duration    `json:"target"`       // longest acceptable wait in the queue
	MinimumShare float64     `json:"minimumShare"` // fraction of slot time, 0 to 1
}

// Stop is a planned stop of an upstream or of a VM.
type Stop struct {
	Upstream string `json:"upstream,omitempty"`
	VM       string `json:"vm,omitempty"`
	Reason   string `json:"reason"`
}

// ZoneRule states an operator's decision about a zone.
type ZoneRule struct {
	Name string `json:"name"`
	// Lost lets the groups of other zones take over the zone's shards.
	Lost bool `json:"lost,omitempty"`
}

// Duration is a time.Duration that is a string with a unit in JSON, such as
// "250ms".
type Duration time.Duration

// MarshalJSON returns the duration with its unit.
func (duration Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(duration).String())
}

// UnmarshalJSON accepts a string with a unit, such as "250ms" or "2s".
func (duration *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s is not a string with a unit, such as \"250ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q has no valid unit; use one such as \"250ms\" or \"2s\"", text)
	}
	*duration = Duration(parsed)
	return nil
}
