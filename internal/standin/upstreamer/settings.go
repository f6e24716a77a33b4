package upstreamer

import (
	"time"
)

// Settings are fixed while the stand-in runs.
type Settings struct {
	Name         string        `default:"upstream" help:"Name shown in answers and records."`
	Listen       string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Slots        int           `default:"2" help:"Requests that run at once; more are shed."`
	Connections  int           `default:"110" help:"Largest number of open connections."`
	Lookup       time.Duration `default:"5ms" help:"Service time of a lookup."`
	Transaction  time.Duration `default:"20ms" help:"Service time of a transaction."`
	Upload       time.Duration `default:"50ms" help:"Service time of an upload, after its body was read."`
	ChecksGrants bool          `default:"true" negatable:"" help:"Refuse requests that the grant does not cover."`
	Cold         time.Duration `default:"0s" help:"Time after the start during which work is five times slower."`
	Seed         uint64        `default:"1" help:"Seed of the choice of failing requests."`
	RecordFile   string        `help:"File to which each record is appended as a line of JSON. It outlives the process."`
}

// coldFactor is how much slower a cold upstream works.
const coldFactor = 5

func (settings Settings) serviceTime(rank string) time.Duration {
	switch rank {
	case "transaction":
		return settings.Transaction
	case "upload":
		return settings.Upload
	}
	return settings.Lookup
}

// Behavior can be changed while the stand-in runs, by PUT /control/behavior
// with the fields to change.
type Behavior struct {
	// Frozen stops everything but /control until it is unset. Requests that
	// arrive meanwhile are handled afterwards, as by a paused process.
	Frozen bool `json:"frozen"`
	// Draining is shown in grants, health and answers.
	Draining bool `json:"draining"`
	// Shed refuses all requests before they start.
	Shed bool `json:"shed"`
	// FailFraction of the requests end with status 500 after they ran.
	FailFraction float64 `json:"failFraction"`
	// SlowFactor multiplies the service time where it is above 0.
	SlowFactor float64 `json:"slowFactor"`
	// HealthStatus is the status of /cuminstream/health where it is not 0,
	// whatever the true state.
	HealthStatus int `json:"healthStatus"`
	// LoadFactor multiplies the reported load where it is above 0.
	LoadFactor float64 `json:"loadFactor"`
	// LoadLagMillis is the age of the reported load.
	LoadLagMillis int64 `json:"loadLagMillis"`
}

// Grant is the right to run requests of the listed shards and keys.
type Grant struct {
	Group string `json:"group"`
	Term  uint64 `json:"term"`
	Seq   uint64 `json:"seq"`
	// TTL is in milliseconds and counts from Stamp.
	TTL int64 `json:"ttl"`
	// Stamp is the upstream's clock in milliseconds as the holder last read
	// it. A grant that was delayed on its way is thereby shorter.
	Stamp int64 `json:"stamp"`
	// Renew extends the grant with the same group, term and seq, whose content
	// is not repeated.
	Renew       bool     `json:"renew,omitempty"`
	Shards      []uint32 `json:"shards,omitempty"`
	Keys        []string `json:"keys,omitempty"`        // owned apart from their shard
	WithoutKeys []string `json:"withoutKeys,omitempty"` // of the shards, owned elsewhere

	shards, keys, withoutKeys map[string]bool
}

// StatusResponse answers reads and writes of the grant, and health probes.
type StatusResponse struct {
	Grant    *Grant `json:"grant,omitempty"`
	Stamp    int64  `json:"stamp"`
	Instance string `json:"instance"` // changes with each start of the process
	Draining bool   `json:"draining"`
	Running  []RunningRequest  `json:"running,omitempty"`
}

// RunningRequest is a request that the stand-in runs. Left is the time until its deadline,
// in milliseconds.
type RunningRequest struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Left    int64  `json:"left"`

	deadline time.Time
}

// RecordKind tells what happened to a request.
type RecordKind string

// The kinds of records.
const (
	Started   RecordKind = "started"
	Ended     RecordKind = "ended"
	Cancelled RecordKind = "cancelled"
	Refused   RecordKind = "refused"
)

// Record is one event of the stand-in's work.
type Record struct {
	Kind    RecordKind      `json:"kind"`
	Time    time.Time `json:"time"`
	Request string    `json:"request"`
	Key     string    `json:"key"`
	Shard   string    `json:"shard"`
	Term    uint64    `json:"term"`
	Detail  string    `json:"detail,omitempty"`
}

// CountByRequest returns how often each request of the records has the kind.
func CountByRequest(records []Record, kind RecordKind) map[string]int {
	counts := map[string]int{}
	for _, record := range records {
		if record.Kind == kind {
			counts[record.Request]++
		}
	}
	return counts
}
