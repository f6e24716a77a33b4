package upstreamer

import (
	"time"
)

// Settings are the command-line flags. They do not change while the stand-in
// runs.
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

// coldFactor multiplies the service time during the time Cold after the start.
const coldFactor = 5

// serviceTime returns the configured service time of the rank. Unknown ranks have
// that of a lookup.
func (settings Settings) serviceTime(rank string) time.Duration {
	switch rank {
	case "transaction":
		return settings.Transaction
	case "upload":
		return settings.Upload
	}
	return settings.Lookup
}

// Behavior holds the simulated faults. PUT /control/behavior changes the fields
// of its body while the stand-in runs.
type Behavior struct {
	// Frozen suspends all handlers but those of /control until it is unset.
	// Requests that arrive meanwhile are handled afterwards, as by a process
	// that was stopped by a signal.
	Frozen bool `json:"frozen"`
	// Draining is reported in the responses of the grant and health paths, and as
	// a header of the responses to callers' requests.
	Draining bool `json:"draining"`
	// Shed refuses all requests before they start, as if no slot was free.
	Shed bool `json:"shed"`
	// FailFraction is the fraction of requests that fail with status 500 after
	// they were executed.
	FailFraction float64 `json:"failFraction"`
	// SlowFactor multiplies the service time if it is above 0.
	SlowFactor float64 `json:"slowFactor"`
	// HealthStatus is the status of /cuminstream/health if it is not 0,
	// regardless of the actual state.
	HealthStatus int `json:"healthStatus"`
	// LoadFactor multiplies the reported load if it is above 0.
	LoadFactor float64 `json:"loadFactor"`
	// LoadLagMillis is the age of the reported load in milliseconds.
	LoadLagMillis int64 `json:"loadLagMillis"`
}

// Grant permits the requests of the listed shards and keys until it expires.
type Grant struct {
	Group string `json:"group"`
	Term  uint64 `json:"term"`
	Seq   uint64 `json:"seq"`
	// TTL is in milliseconds and counts from Timestamp.
	TTL int64 `json:"ttl"`
	// Timestamp is the upstream's clock in milliseconds as the holder last read
	// it. A grant that is delayed in transit is therefore valid for a shorter
	// time.
	Timestamp int64 `json:"stamp"`
	// Renew extends the current grant, which must have the same group, term and
	// seq. Its shards and keys are not repeated.
	Renew       bool     `json:"renew,omitempty"`
	Shards      []uint32 `json:"shards,omitempty"`
	Keys        []string `json:"keys,omitempty"`        // granted independently of their shard
	WithoutKeys []string `json:"withoutKeys,omitempty"` // keys of these shards that belong to other upstreams

	shardSet, keySet, withoutKeySet map[string]bool
}

// StatusResponse is the response body of the grant and health paths.
type StatusResponse struct {
	Grant     *Grant           `json:"grant,omitempty"`
	Timestamp int64            `json:"stamp"`
	Instance  string           `json:"instance"` // random ID, which changes with each start of the process
	Draining  bool             `json:"draining"`
	Running   []RunningRequest `json:"running,omitempty"`
}

// RunningRequest is a request that the stand-in executes. Left is the time until
// its deadline in milliseconds.
type RunningRequest struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Left    int64  `json:"left"`

	deadline time.Time
}

// RecordKind is the kind of event that a Record describes.
type RecordKind string

// The kinds of records. A request is either Refused, or Started and then Ended or
// Cancelled. The last record is missing if the process is killed before.
const (
	Started   RecordKind = "started"
	Ended     RecordKind = "ended"
	Cancelled RecordKind = "cancelled"
	Refused   RecordKind = "refused"
)

// Record describes one event of a request.
type Record struct {
	Kind    RecordKind `json:"kind"`
	Time    time.Time  `json:"time"`
	Request string     `json:"request"`
	Key     string     `json:"key"`
	Shard   string     `json:"shard"`
	Term    uint64     `json:"term"`
	Detail  string     `json:"detail,omitempty"`
}

// CountByRequest returns the number of records of the kind by request ID.
func CountByRequest(records []Record, kind RecordKind) map[string]int {
	counts := map[string]int{}
	for _, record := range records {
		if record.Kind == kind {
			counts[record.Request]++
		}
	}
	return counts
}
