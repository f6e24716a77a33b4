package replicator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

const (
	// placeDelay separates the candidates that ask for the lease of a lost
	// holder.
	positionDelay = 100 * time.Millisecond
	// retryDelay separates candidates whose requests met each other.
	retryDelay = 20 * time.Millisecond
	// idleCheck bounds the time between two looks at the state of a candidate.
	idleCheckInterval = time.Second
)

// Group is one group of which this VM is a candidate. The exported fields are
// set before Run and before the first call to another method.
type Group struct {
	ID           string
	VM           string
	Clock        clocker.Clock
	Timing       leaser.Timing
	Caller       linker.Caller
	LeaseHandler LeaseHandler
	Recorder     *timeliner.Recorder
	Record       Record // the newest record known at the start
	// OnRecord, if set, is told of a newer record that a candidate has sent.
	OnRecord func(Record)
	// Leaving, if set, reports whether a VM is about to stop.
	Leaving func(vm string) bool

	initOnce        sync.Once
	changed         chan struct{} // wakes Run
	running         *errgroup.Group
	incarnation     uint64
	restoreAttempts uint64

	mutex  sync.Mutex
	record Record
	voter  *leaser.Voter
	store  *store
	// synchronized is set when this VM's copy counts in a quorum, complete when
	// it also holds what was copied before this VM joined.
	synchronized bool
	complete     bool
	// invitedAt is the revision of the record under which the holder has
	// restored this VM before it became a candidate.
	invitedRevision uint64
	restore         restoreProgress
	session         *session  // the lease that this VM asks for or holds
	lastContact     time.Time // when a holder or a candidate for it was heard last
	holderSeenAt    time.Time // when a serving holder was heard last
	holderVM        string
	holderTerm      uint64
	highestSeenTerm uint64 // highest term that another candidate has named
	retryAt         time.Time
	namedSuccessor  bool // named as successor
	retired         bool // the VM stops and does not become holder again
	lastTerm        uint64
}

// restoreProgress is the sequence of pages that is being received.
type restoreProgress struct {
	term, attempt uint64
	next          int
}

func (group *Group) initialize() {
	group.initOnce.Do(func() {
		group.changed = make(chan struct{}, 1)
		group.incarnation = rand.Uint64()
		group.record = group.Record
		group.voter = leaser.NewVoter(group.Clock, group.Timing)
		group.store = newStore()
		group.lastContact = group.Clock.Now()
	})
}

// Run takes part in the group until ctx is done. A lease that is still held
// then is lost; call Release before for a planned stop.
func (group *Group) Run(ctx context.Context) error {
	group.initialize()
	running, ctx := errgroup.WithContext(ctx)
	group.running = running
	running.Go(func() error { return group.runElections(ctx) })
	return running.Wait()
}

func (group *Group) runElections(ctx context.Context) error {
	timer := group.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		due, eligible := group.electionTime()
		wait := idleCheckInterval
		if eligible {
			wait = min(wait, due.Sub(group.Clock.Now()))
		}
		if eligible && wait <= 0 {
			group.campaign(ctx)
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-group.changed:
		case <-timer.C():
		}
	}
}

// electionTime returns when this VM asks for the lease if nothing is heard until
// then.
func (group *Group) electionTime() (time.Time, bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if !group.synchronized || group.retired || !slices.Contains(group.record.Candidates, group.VM) {
		return time.Time{}, false
	}
	if group.namedSuccessor {
		return group.Clock.Now(), true
	}
	position := time.Duration(group.record.positionAfter(group.VM, group.holderVM))
	due := group.lastContact.Add(group.Timing.SuspicionTimeout + position*positionDelay)
	earliest := []time.Time{group.retryAt, group.voter.ReadyAt().Add(position * positionDelay)}
	if other, until, ok := group.voter.CurrentPromise(); ok && other != group.VM {
		// The other voters gave their promises at about the same time.
		earliest = append(earliest, until.Add(position*retryDelay))
	}
	for _, bound := range earliest {
		if bound.After(due) {
			due = bound
		}
	}
	return due, true
}

// wake makes Run look at the state again.
func (group *Group) wake() {
	select {
	case group.changed <- struct{}{}:
	default:
	}
}

// Holder returns the VM that serves the group and its term. It is not known
// before the first holder was heard, and after nothing was heard for the
// suspicion time.
func (group *Group) Holder() (vm string, term uint64, known bool) {
	group.initialize()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.holderLocked()
}

func (group *Group) holderLocked() (vm string, term uint64, known bool) {
	if session := group.session; session != nil && session.phase == serving {
		if _, ok := session.Valid(); ok {
			return group.VM, session.Term(), true
		}
	}
	known = group.holderVM != "" && group.holderVM != group.VM && group.Clock.Now().Sub(group.holderSeenAt) < group.Timing.SuspicionTimeout
	if !known {
		return "", group.holderTerm, false
	}
	return group.holderVM, group.holderTerm, true
}

// Synchronized reports whether this VM's copy of the state counts in a majority.
func (group *Group) Synchronized() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.synchronized
}

// NewestRecord returns the newest record that this VM knows.
func (group *Group) NewestRecord() Record {
	group.initialize()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.record
}

// Adopt replaces the record if the given one is newer. A holder that is no
// longer a candidate loses its lease. When the group was formed anew, this VM
// waits until the founder or the new holder has synchronized it.
func (group *Group) Adopt(record Record) {
	group.initialize()
	group.mutex.Lock()
	adopted := group.adoptLocked(record)
	group.mutex.Unlock()
	group.notifyRecord(adopted)
}

// announce must be called without the mutex.
func (group *Group) notifyRecord(adopted *Record) {
	if adopted != nil && group.OnRecord != nil {
		group.OnRecord(*adopted)
	}
}

func (group *Group) adoptLocked(record Record) *Record {
	if record.Revision <= group.record.Revision {
		return nil
	}
	recreated := record.BaseTerm != group.record.BaseTerm
	group.updateSynchronized(record, recreated)
	group.record = record
	if recreated {
		group.holderVM = ""
	}
	if session := group.session; session != nil {
		session.holder.SetVoters(record.lists()...)
		session.recheckExpiry()
		if recreated || !slices.Contains(record.Candidates, group.VM) {
			session.loseLocked("the record no longer names this holder")
		}
	}
	group.wake()
	return &record
}

// keepSynchronized decides whether this VM's copy counts under the new record.
// A VM that joins counts at once if the holder has restored it while it held the
// lease under the record before: nothing can have been copied to it under the
// new record and then been forgotten, and what was copied earlier is covered by
// the previous list. When that list is cleared, only a complete copy counts.
func (group *Group) updateSynchronized(record Record, recreated bool) {
	members := record.members()
	switch {
	case recreated || !slices.Contains(members, group.VM):
		group.synchronized, group.invitedRevision = false, 0
	case record.joining(group.VM):
		group.synchronized = group.invitedRevision > 0 && record.Revision == group.invitedRevision+1
		group.complete, group.invitedRevision = false, 0
	case !slices.Contains(group.record.members(), group.VM) || !group.complete:
		group.synchronized = false
	}
}

// note records an event of the group.
func (group *Group) recordEvent(kind string, term uint64, detail string) {
	group.Recorder.Record(newEvent(kind, group.ID, term, detail))
}

func newEvent(kind, id string, term uint64, detail string) timeliner.Event {
	return timeliner.Event{Kind: kind, Group: id, Term: term, Detail: detail}
}

// call sends body to vm and takes the newer record and the higher term from the
// answer.
func (group *Group) call(ctx context.Context, vm, method string, timeout time.Duration, body any, header *reply, response any) error {
	ctx, cancel := clocker.WithTimeout(ctx, group.Clock, timeout)
	defer cancel()
	if err := group.Caller.Call(ctx, vm, method, body, response); err != nil {
		return err
	}
	if header.Record != nil {
		group.Adopt(*header.Record)
	}
	if header.Higher > 0 {
		group.mutex.Lock()
		group.highestSeenTerm = max(group.highestSeenTerm, header.Higher)
		group.mutex.Unlock()
	}
	return nil
}
