package operator

import (
	"time"

	"github.com/cuminstream/cuminstream/internal/timeliner"
)

// Status is what one VM reports of itself.
type Status struct {
	VM       string    `json:"vm"`
	Zone     string    `json:"zone"`
	Time     time.Time `json:"time"`
	Stopping bool      `json:"stopping"`
	// Revision is the revision of the routing document in force on the VM.
	Revision   uint64             `json:"revision"`
	Platform   string             `json:"platform"` // reachable, unreachable
	Groups     []Group            `json:"groups"`
	Peers      []Peer             `json:"peers"`
	Refusals   map[string]float64 `json:"refusals"` // by error kind, since start
	Invariants map[string]float64 `json:"invariants,omitempty"`
}

// Group is a group of which the VM is a candidate.
type Group struct {
	ID         string   `json:"id"`
	Holder     string   `json:"holder"`
	Term       uint64   `json:"term"`
	Candidates []string `json:"candidates"`
	// Synchronized tells that this VM has the group's state and gives promises.
	// Another candidate should be stopped only when all are synchronized.
	Synchronized bool       `json:"synchronized"`
	Shards       int        `json:"shards"`
	Upstreams    []Upstream `json:"upstreams,omitempty"` // told by the holder only
}

// Upstream is the state of an upstream as its group's holder sees it.
type Upstream struct {
	Name    string         `json:"name"`
	State   string         `json:"state"`
	Shards  int            `json:"shards"`
	Slots   int            `json:"slots"`
	Busy    int            `json:"busy"`
	Queued  map[string]int `json:"queued"` // by rank
	HotKeys []string       `json:"hotKeys,omitempty"`
}

// Peer is another VM as this one sees it.
type Peer struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Operator string `json:"operator"`
}

// Owner is the answer to the question who serves a key.
type Owner struct {
	Service  string `json:"service"`
	Key      string `json:"key"`
	Shard    uint32 `json:"shard"`
	Group    string `json:"group"`
	Holder   string `json:"holder"`
	Term     uint64 `json:"term"`
	Upstream string `json:"upstream"`
	Hot      bool   `json:"hot"`
	From     string `json:"from"` // the VM that answered
}

// Fleet is the status of all VMs that answered, and the names of those that
// did not.
type Fleet struct {
	VMs         []Status `json:"vms"`
	Unreachable []string `json:"unreachable"`
}

// Timeline is the merged time line of all VMs that answered.
type Timeline struct {
	Events      []timeliner.Event `json:"events"`
	Unreachable []string          `json:"unreachable"`
}
