package replicator

import (
	"errors"
	"slices"
	"time"
)

// Methods of the control calls between candidates.
const (
	methodPromise  = "promise"  // holder -> candidate: give or renew a promise
	methodCopy     = "copy"     // holder -> candidate: store entries
	methodSnapshot = "snapshot" // new holder -> candidate: read one page of the state
	methodRestore  = "restore"  // holder or founder -> candidate: store one page of the state
	methodRelease  = "release"  // old holder -> candidate: the lease is given up
	methodHolder   = "holder"   // anyone -> candidate: who holds the group
)

// Methods lists the control calls that Manager.Handle answers.
func Methods() []string {
	return []string{methodPromise, methodCopy, methodSnapshot, methodRestore, methodRelease, methodHolder}
}

// Errors of the package.
var (
	ErrLeaseLost = errors.New("the lease of the group is not held")
	ErrNotMember = errors.New("this VM does not store the group")
	errRefused   = errors.New("call was refused")
	errNoQuorum  = errors.New("no quorum of synchronized candidates")
)

// header is part of each call. The record lets every candidate learn the newest
// list of candidates without the platform, and refuse a sender with an older
// one.
type header struct {
	Group  string `cbor:"group"`
	Record Record `cbor:"record"`
	Term   uint64 `cbor:"term"`
}

type promiseCall struct {
	header
	// Holding is set once the sender serves the group, so that its voters can
	// name it to routers.
	Holding bool `cbor:"holding"`
	// Invited is set for a VM that is to become a candidate.
	Invited bool `cbor:"invited"`
}

type copyCall struct {
	header
	Entries Entries `cbor:"entries"`
}

type snapshotCall struct {
	header
	Cursor uint64 `cbor:"cursor"`
	// Digest is the sender's; only requests in buckets that differ are returned.
	Digest []uint64 `cbor:"digest"`
}

type restoreCall struct {
	header
	// Incarnation must be the receiver's, so that a late message does not mark
	// a restarted candidate as synchronized.
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
	// Record is set by a VM that forms the group, so that the receiver adopts it.
	Record *Record `cbor:"record,omitempty"`
}

// page is a part of the state. The first page carries everything but the
// requests, the others carry requests.
type page struct {
	State        State  `cbor:"state"`
	InFlightTerm uint64 `cbor:"inFlightTerm"`
	Next         uint64 `cbor:"next"`
	More         bool   `cbor:"more"`
}

// reply is part of each answer between candidates.
type reply struct {
	OK bool `cbor:"ok"`
	// Higher is a term that makes the sender's one useless.
	Higher uint64        `cbor:"higher"`
	Wait   time.Duration `cbor:"wait"`
	// Record is set when it is newer than the sender's.
	Record       *Record `cbor:"record,omitempty"`
	Incarnation  uint64  `cbor:"incarnation"`
	Synchronized bool    `cbor:"synchronized"`
	Complete     bool    `cbor:"complete"`
}

type snapshotReply struct {
	reply
	Page page `cbor:"page"`
	// Buckets are those that differ.
	Buckets []uint64 `cbor:"buckets"`
}

// HolderReply answers the call "holder".
type HolderReply struct {
	Known        bool    `cbor:"known"`
	VM           string  `cbor:"vm"`
	Term         uint64  `cbor:"term"`
	Record       *Record `cbor:"record,omitempty"`
	Incarnation  uint64  `cbor:"incarnation"`
	Synchronized bool    `cbor:"synchronized"`
}

// members returns the candidates of both lists, each once.
func (record Record) members() []string {
	members := slices.Clone(record.Candidates)
	for _, vm := range record.Previous {
		if !slices.Contains(members, vm) {
			members = append(members, vm)
		}
	}
	return members
}

// joining reports whether vm takes the place of a previous candidate.
func (record Record) joining(vm string) bool {
	return len(record.Previous) > 0 && slices.Contains(record.Candidates, vm) && !slices.Contains(record.Previous, vm)
}

// lists returns the lists of which a quorum each is needed.
func (record Record) lists() [][]string { return [][]string{record.Candidates, record.Previous} }

// place returns how far vm is behind other in the order of candidates. Behind an
// unknown VM the first candidate has place 0.
func (record Record) positionAfter(vm, other string) int {
	own := slices.Index(record.Candidates, vm)
	reference := max(0, slices.Index(record.Candidates, other))
	count := len(record.Candidates)
	if own < 0 || count == 0 {
		return 0
	}
	return (own - reference + count) % count
}

// newBody returns the value into which the body of a call is decoded.
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
