package replicator

import (
	"errors"
	"slices"
	"time"
)

// Methods of the control calls, with their sender and receiver.
const (
	methodPromise  = "promise"  // holder -> candidate: give or renew a promise
	methodCopy     = "copy"     // holder -> candidate: store a change of the state
	methodSnapshot = "snapshot" // new holder -> candidate: read one page of the state
	methodRestore  = "restore"  // holder or bootstrapper -> candidate: store one page of the state
	methodRelease  = "release"  // former holder -> candidate: the lease is released
	methodHolder   = "holder"   // any VM -> candidate: return the holder of the group
)

// Methods returns the names of the control calls that Manager.Register registers.
func Methods() []string {
	return []string{methodPromise, methodCopy, methodSnapshot, methodRestore, methodRelease, methodHolder}
}

// Errors that callers of this package or of its control calls can match.
var (
	ErrLeaseLost = errors.New("the lease of the group is not held")
	ErrNotMember = errors.New("this VM does not store the group")
	errRefused   = errors.New("call was refused")
	errNoQuorum  = errors.New("no quorum of synchronized candidates")
)

// header is part of all calls but holderCall. From its record, a candidate learns
// the newest list of candidates without the platform, and it refuses a sender
// whose record is older than its own.
type header struct {
	Group  string `cbor:"group"`
	Record Record `cbor:"record"`
	Term   uint64 `cbor:"term"`
}

type promiseCall struct {
	header
	// Holding is set once the sender serves the group. The voters then name it as
	// the holder to routers.
	Holding bool `cbor:"holding"`
	// Invited is set if the receiver is not a candidate yet but is to become one.
	Invited bool `cbor:"invited"`
}

type copyCall struct {
	header
	Entries Entries `cbor:"entries"`
}

type snapshotCall struct {
	header
	Cursor uint64 `cbor:"cursor"`
	// Digest is that of the sender. Only requests in buckets that differ are
	// returned.
	Digest []uint64 `cbor:"digest"`
}

type restoreCall struct {
	header
	// Incarnation is that of the process that the page is meant for. A delayed
	// message must not mark a restarted candidate as synchronized.
	Incarnation uint64 `cbor:"incarnation"`
	Attempt     uint64 `cbor:"attempt"`
	Number      int    `cbor:"number"`
	Last        bool   `cbor:"last"`
	Bootstrap   bool   `cbor:"founding"`
	Page        page   `cbor:"page"`
}

type releaseCall struct {
	header
	Successor string     `cbor:"successor"`
	InFlight  []InFlight `cbor:"inFlight"`
}

type holderCall struct {
	Group string `cbor:"group"`
	// Record is set by the VM that forms the group, for the receiver to adopt.
	Record *Record `cbor:"record,omitempty"`
}

// page is a part of the state. The first page contains everything but the
// requests, the others contain requests.
type page struct {
	State        State  `cbor:"state"`
	InFlightTerm uint64 `cbor:"inFlightTerm"`
	Next         uint64 `cbor:"next"`
	More         bool   `cbor:"more"`
}

// reply is the common part of the replies of candidates.
type reply struct {
	OK bool `cbor:"ok"`
	// HigherTerm is a term known to the receiver because of which the sender's term
	// was refused, or 0.
	HigherTerm uint64        `cbor:"higher"`
	RetryAfter time.Duration `cbor:"wait"`
	// Record is set if it is newer than the sender's. Nothing else was done then.
	Record       *Record `cbor:"record,omitempty"`
	Incarnation  uint64  `cbor:"incarnation"`
	Synchronized bool    `cbor:"synchronized"`
	Complete     bool    `cbor:"complete"`
}

type snapshotReply struct {
	reply
	Page page `cbor:"page"`
	// Buckets are those whose digests differ.
	Buckets []uint64 `cbor:"buckets"`
}

// HolderReply is the reply to the control call "holder".
type HolderReply struct {
	Known        bool    `cbor:"known"`
	VM           string  `cbor:"vm"`
	Term         uint64  `cbor:"term"`
	Record       *Record `cbor:"record,omitempty"`
	Incarnation  uint64  `cbor:"incarnation"`
	Synchronized bool    `cbor:"synchronized"`
}

// members returns the candidates of both lists without duplicates.
func (record Record) members() []string {
	members := slices.Clone(record.Candidates)
	for _, vm := range record.Previous {
		if !slices.Contains(members, vm) {
			members = append(members, vm)
		}
	}
	return members
}

// joining reports whether vm is a candidate but was none in the previous list.
func (record Record) joining(vm string) bool {
	return len(record.Previous) > 0 && slices.Contains(record.Candidates, vm) && !slices.Contains(record.Previous, vm)
}

// lists returns the candidate lists, each of which must provide a quorum.
func (record Record) lists() [][]string { return [][]string{record.Candidates, record.Previous} }

// positionAfter returns how many positions vm comes after other in the circular
// order of candidates. If other is no candidate, the count begins at the first
// one.
func (record Record) positionAfter(vm, other string) int {
	own := slices.Index(record.Candidates, vm)
	reference := max(0, slices.Index(record.Candidates, other))
	count := len(record.Candidates)
	if own < 0 || count == 0 {
		return 0
	}
	return (own - reference + count) % count
}

// newCallBody returns a value to decode the body of a call into, or nil for an
// unknown method.
func newCallBody(method string) any {
	switch method {
	case methodPromise:
		return &promiseCall{}
	case methodCopy:
		return &copyCall{}
	case methodSnapshot:
		return &snapshotCall{}
	case methodRestore:
		return &restoreCall{}
	case methodRelease:
		return &releaseCall{}
	case methodHolder:
		return &holderCall{}
	}
	return nil
}
