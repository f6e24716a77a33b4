package operator

import (
	"time"

	"github.com/cuminstream/cuminstream/internal/timeliner"
)

// Status is the status of one VM.
type Status struct {
	VM       string    `json:"vm"`
	Zone     string    `json:"zone"`
	Time     time.Time `json:"time"`
	Stopping bool      `json:"stopping"`
	// Revision is the revision of the routing document in force on the VM.
	Revision   uint64             `json:"revision"`
	Platform   string             `json:"platform"` // reachable or unreachable
	Groups     []Group            `json:"groups"`
	Peers      []Peer             `json:"peers"`
	Refusals   map[string]float64 `json:"refusals"` // number by error kind, since the start of the process
	Invariants map[string]float64 `json:"invariants,omitempty"`
}

// Group is the status of a group of which the VM is a candidate.
type Group struct {
	ID         string   `json:"id"`
	Holder     string   `json:"holder"`
	Term       uint64   `json:"term"`
	Candidates []string `json:"candidates"`
	// Synchronized reports whether this VM has the group's state, so that its
	// copy and its lease promises count toward a majority. Another candidate
	// should be stopped only if all are synchronized.
	Synchronized bool       `json:"synchronized"`
	Shards       int        `json:"shards"`
	Upstreams    []Upstream `json:"upstreams,omitempty"` // reported by the holder only
}

// Upstream is the state of an upstream as known to the holder of its group.
type Upstream struct {
	Name    string         `json:"name"`
	State   string         `json:"state"`
	Shards  int            `json:"shards"`
	Slots   int            `json:"slots"`
	Busy    int            `json:"busy"`
	Queued  map[string]int `json:"queued"` // number of queued requests by rank
	HotKeys []string       `json:"hotKeys,omitempty"`
}

// Peer is the state of another VM as known to this one.
type Peer struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Operator string `json:"operator"`
}

// Owner names the group, the VM and the upstream that serve a key.
type Owner struct {
	Service  string `json:"service"`
	Key      string `json:"key"`
	Shard    uint32 `json:"shard"`
	Group    string `json:"group"`
	Holder   string `json:"holder"`
	Term     uint64 `json:"term"`
	Upstream string `json:"upstream"`
	Hot      bool   `json:"hot"`
	From     string `json:"from"` // the VM that reported this owner
}

// Fleet holds the status of all VMs that answered, and the names of those that did
// not.
type Fleet struct {
	VMs         []Status `json:"vms"`
	Unreachable []string `json:"unreachable"`
}

// Timeline is the merged time line of all VMs that answered, with the names of
// those that did not.
type Timeline struct {
	Events      []timeliner.Event `json:"events"`
	Unreachable []string          `json:"unreachable"`
}
