package allocator

import (
	"time"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Control calls between VMs.
const (
	callAcquire   = "allocator/ask"
	callRelease   = "allocator/done"
	callReport    = "allocator/report"
	callReachable = "allocator/hears"
	callStepDown  = "allocator/depose"
	callStatus    = "allocator/status"
)

// acquireMessage asks the broker of a service for a slot.
type acquireMessage struct {
	Service   string        `cbor:"1,keyasint"`
	RequestID string        `cbor:"2,keyasint"`
	Zone      string        `cbor:"3,keyasint"`
	Key       int           `cbor:"4,keyasint"`
	Rank      int           `cbor:"5,keyasint,omitempty"`
	BodyBytes int64         `cbor:"6,keyasint,omitempty"`
	Retry     bool          `cbor:"7,keyasint,omitempty"`
	Exclude   []string      `cbor:"8,keyasint,omitempty"`
	Target    time.Duration `cbor:"9,keyasint"`
	Timeout   time.Duration `cbor:"10,keyasint"`
	// Fingerprint is the same for requests with the same method, target and body.
	Fingerprint uint64 `cbor:"11,keyasint,omitempty"`
}

// acquireAnswer is the broker's decision.
type acquireAnswer struct {
	// NotBroker means that the VM is not the broker of the service.
	NotBroker   bool                 `cbor:"1,keyasint,omitempty"`
	Ticket      uint64               `cbor:"2,keyasint,omitempty"`
	Upstream    string               `cbor:"3,keyasint,omitempty"`
	StartedAt   int64                `cbor:"4,keyasint,omitempty"`
	Address     string               `cbor:"5,keyasint,omitempty"`
	Refusal     broker.RefusalReason `cbor:"6,keyasint,omitempty"`
	RetryAfter  time.Duration        `cbor:"7,keyasint,omitempty"`
	Waited      time.Duration        `cbor:"8,keyasint,omitempty"`
	QueueLength int                  `cbor:"9,keyasint,omitempty"`
	Term        uint64               `cbor:"10,keyasint,omitempty"`
	Slots       int                  `cbor:"11,keyasint,omitempty"`
	// Broker is the VM that is the broker in the Term, when this one is not.
	Broker string `cbor:"12,keyasint,omitempty"`
}

// releaseMessage ends the use of a slot.
type releaseMessage struct {
	Service  string         `cbor:"1,keyasint"`
	Term     uint64         `cbor:"2,keyasint"`
	Ticket   uint64         `cbor:"3,keyasint"`
	Outcome  broker.Outcome `cbor:"4,keyasint"`
	Elapsed  time.Duration  `cbor:"5,keyasint"`
	FreeSlot bool           `cbor:"6,keyasint,omitempty"`
}

// reportMessage tells a broker that the VM lives, and which slots it uses that
// this broker has not assigned.
type reportMessage struct {
	// ForeignSlots counts slots by service and upstream.
	ForeignSlots map[string]map[string]int `cbor:"1,keyasint,omitempty"`
	// NewestRevisions are the revisions of the newest changes that the VM has received, and
	// Complete those up to which it misses none, in the order of its followers.
	NewestRevisions   []uint64 `cbor:"4,keyasint,omitempty"`
	CompleteRevisions []uint64 `cbor:"5,keyasint,omitempty"`
	// BrokerTerms are the services whose broker the VM takes the receiver for, with
	// the term.
	BrokerTerms map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// reportAnswer tells what the broker leads.
type reportAnswer struct {
	// LedTerms are the services that the VM is the broker of, with the term.
	LedTerms map[string]uint64 `cbor:"1,keyasint,omitempty"`
	// NewestRevisions are the revisions of the newest changes that the broker has received.
	NewestRevisions []uint64 `cbor:"4,keyasint,omitempty"`
	// Changes are those that the asking VM misses, in the order of the followers.
	Changes [][]relayedChange `cbor:"5,keyasint,omitempty"`
	// ListAge is the age of what the broker knows of the store, when it lists all
	// objects at short intervals; otherwise 0.
	ListAge time.Duration `cbor:"6,keyasint,omitempty"`
	// StoreRegainedAgo is how long ago the broker regained the store; 0 when that is long ago.
	StoreRegainedAgo time.Duration `cbor:"7,keyasint,omitempty"`
	// StoreLostFor is for how long the VM has not reached the store; 0 while it does.
	StoreLostFor time.Duration `cbor:"3,keyasint,omitempty"`
}

// relayedChange is a change in the store.
type relayedChange struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Deleted  bool   `cbor:"3,keyasint,omitempty"`
	Deleting bool   `cbor:"4,keyasint,omitempty"`
	Spec     []byte `cbor:"5,keyasint,omitempty"`
	Status   []byte `cbor:"6,keyasint,omitempty"`
}

// stepDownMessage tells a VM that another one has become the broker of a service.
type stepDownMessage struct {
	Service string `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
}

// stepDownAnswer confirms that the VM grants no more keys.
type stepDownAnswer struct {
	// StaleRenewal is for how long brokers before it may still renew grants.
	StaleRenewal time.Duration `cbor:"1,keyasint,omitempty"`
}

// statusMessage asks a former broker how far it can be trusted to be the last one.
type statusMessage struct {
	Service string `cbor:"1,keyasint"`
}

type statusAnswer struct {
	BootID string `cbor:"1,keyasint"`
	// StaleRenewal is for how long brokers before it may still renew grants.
	StaleRenewal time.Duration `cbor:"2,keyasint,omitempty"`
}

// reachableMessage asks whether a VM hears from another one.
type reachableMessage struct {
	VM string `cbor:"1,keyasint"`
}

type reachableAnswer struct {
	Reachable bool `cbor:"1,keyasint"`
}
