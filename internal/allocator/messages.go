package allocator

import (
	"time"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Methods of the calls between VMs.
const (
	callAcquire   = "allocator/ask"
	callRelease   = "allocator/done"
	callReport    = "allocator/report"
	callReachable = "allocator/hears"
	callStepDown  = "allocator/depose"
	callStatus    = "allocator/status"
)

// acquireMessage requests a slot from the broker of a service.
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
	// Overflow, Returned and MayHaveRun are as in broker.Request.
	Overflow   bool `cbor:"12,keyasint,omitempty"`
	Returned   bool `cbor:"13,keyasint,omitempty"`
	MayHaveRun bool `cbor:"15,keyasint,omitempty"`
	// StopsIn is as in broker.Request.
	StopsIn time.Duration `cbor:"16,keyasint,omitempty"`
	// Local asks a VM that is not the broker for a slot that it may assign in local mode.
	// Other versions answer that they are not the broker.
	Local bool `cbor:"14,keyasint,omitempty"`
}

// acquireAnswer is the broker's decision, or the refusal of a VM that is not the broker.
type acquireAnswer struct {
	// NotBroker is set if the VM is not the broker of the service.
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
	// Broker is the VM that is the broker in Term, if NotBroker is set.
	Broker string `cbor:"12,keyasint,omitempty"`
	// Rule is the rule of admission that refused the request.
	Rule broker.AdmissionRule `cbor:"13,keyasint,omitempty"`
	// Era is the era of the claim of that broker.
	Era uint64 `cbor:"14,keyasint,omitempty"`
}

// releaseMessage releases a slot and reports how its use ended.
type releaseMessage struct {
	Service  string         `cbor:"1,keyasint"`
	Term     uint64         `cbor:"2,keyasint"`
	Ticket   uint64         `cbor:"3,keyasint"`
	Outcome  broker.Outcome `cbor:"4,keyasint"`
	Elapsed  time.Duration  `cbor:"5,keyasint"`
	FreeSlot bool           `cbor:"6,keyasint,omitempty"`
	// Leaving and BusyFor are what the upstream has said of itself, see broker.Notice.
	Leaving bool          `cbor:"7,keyasint,omitempty"`
	BusyFor time.Duration `cbor:"8,keyasint,omitempty"`
	// Upstream and StartedAt identify the upstream if Leaving is set.
	Upstream  string `cbor:"9,keyasint,omitempty"`
	StartedAt int64  `cbor:"10,keyasint,omitempty"`
	// Slowness is that of the upstream's machine, see broker.Result.
	Slowness float64 `cbor:"11,keyasint,omitempty"`
	// Warmup is for how long the upstream stays cold, see broker.Result.
	Warmup time.Duration `cbor:"12,keyasint,omitempty"`
}

// reportMessage is a VM's periodic heartbeat to a broker.
type reportMessage struct {
	// ForeignSlots counts the slots in use by the VM that this broker has not assigned,
	// by service and upstream.
	ForeignSlots map[string]map[string]int `cbor:"1,keyasint,omitempty"`
	// NewestRevisions are the revisions of the newest changes that the VM has received,
	// and CompleteRevisions those up to which it has all changes, in the order of its
	// followers.
	NewestRevisions   []uint64 `cbor:"4,keyasint,omitempty"`
	CompleteRevisions []uint64 `cbor:"5,keyasint,omitempty"`
	// NewestEras and CompleteEras are the eras of these revisions; absent if all are 0.
	NewestEras   []uint64 `cbor:"6,keyasint,omitempty"`
	CompleteEras []uint64 `cbor:"7,keyasint,omitempty"`
	// BrokerTerms are the terms, by service, in which the VM acknowledges the receiver as
	// the broker.
	BrokerTerms map[string]uint64 `cbor:"3,keyasint,omitempty"`
	// Era is the era of the store that the VM knows, Known what it knows of each service,
	// and Uptime for how long its process has run. They are absent in era 0.
	Era    uint64                  `cbor:"8,keyasint,omitempty"`
	Known  map[string]knownRecords `cbor:"9,keyasint,omitempty"`
	Uptime time.Duration           `cbor:"10,keyasint,omitempty"`
	// ConfigVersion is the version of the VM's configuration, and Config that configuration
	// if the store has lost it and the broker has an older one. They are absent in era 0.
	ConfigVersion uint64 `cbor:"11,keyasint,omitempty"`
	Config        []byte `cbor:"12,keyasint,omitempty"`
}

// reportAnswer is the answer of a broker to a report.
type reportAnswer struct {
	// LedTerms are the broker's terms, by service.
	LedTerms map[string]uint64 `cbor:"1,keyasint,omitempty"`
	// NewestRevisions are the revisions of the newest changes that the broker has
	// received.
	NewestRevisions []uint64 `cbor:"4,keyasint,omitempty"`
	// Changes are the changes that the reporting VM lacks, in the order of the followers.
	Changes [][]relayedChange `cbor:"5,keyasint,omitempty"`
	// CompleteTo are the revisions up to which the reporting VM has every change once it
	// has these, in the order of the followers; 0 for those whose changes are left out.
	CompleteTo []uint64 `cbor:"8,keyasint,omitempty"`
	// NewestEras and CompleteToEras are the eras of these revisions; absent if all are 0.
	// A change has the era of the revision to which it is complete.
	NewestEras     []uint64 `cbor:"9,keyasint,omitempty"`
	CompleteToEras []uint64 `cbor:"10,keyasint,omitempty"`
	// Era and Known are as in a report.
	Era   uint64                  `cbor:"11,keyasint,omitempty"`
	Known map[string]knownRecords `cbor:"12,keyasint,omitempty"`
	// ConfigVersion and Config are as in a report.
	ConfigVersion uint64 `cbor:"13,keyasint,omitempty"`
	Config        []byte `cbor:"14,keyasint,omitempty"`
	// ListAge is the age of the broker's lists of the store if the broker polls it;
	// otherwise 0.
	ListAge time.Duration `cbor:"6,keyasint,omitempty"`
	// StoreRegainedAgo is how long ago the broker regained the store; 0 if that is more
	// than regainedRetention ago.
	StoreRegainedAgo time.Duration `cbor:"7,keyasint,omitempty"`
	// StoreLostFor is for how long the broker has been unable to reach the store; 0 while
	// it can.
	StoreLostFor time.Duration `cbor:"3,keyasint,omitempty"`
}

// relayedChange is a change in the store that a broker relays.
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
	// Era is that of the claim of the VM in the term.
	Era uint64 `cbor:"3,keyasint,omitempty"`
}

// stepDownAnswer confirms that the VM grants no more keys of the service.
type stepDownAnswer struct {
	// StaleRenewal is for how long brokers before this VM may still renew grants.
	StaleRenewal time.Duration `cbor:"1,keyasint,omitempty"`
}

// statusMessage asks a former broker for its process and for how long brokers before it
// may still renew grants.
type statusMessage struct {
	Service string `cbor:"1,keyasint"`
}

// statusAnswer is the answer to a statusMessage.
type statusAnswer struct {
	// BootID identifies the process that runs on the VM.
	BootID string `cbor:"1,keyasint"`
	// StaleRenewal is for how long brokers before that process may still renew grants.
	StaleRenewal time.Duration `cbor:"2,keyasint,omitempty"`
}

// reachableMessage asks whether the receiver can reach a VM.
type reachableMessage struct {
	VM string `cbor:"1,keyasint"`
}

// reachableAnswer is the answer to a reachableMessage.
type reachableAnswer struct {
	Reachable bool `cbor:"1,keyasint"`
}
