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
	// positionDelay is the time between the campaigns of two candidates after the
	// holder was lost.
	positionDelay = 100 * time.Millisecond
	// retryDelay is the time before a failed call is repeated, and between the
	// candidates that retry after competing campaigns.
	retryDelay = 20 * time.Millisecond
	// idleCheckInterval is the longest time between two checks whether to campaign.
	idleCheckInterval = time.Second
)

// Group is one group on a VM that is, or is to become, one of its candidates. The
// exported fields must be set before the first call to any method.
type Group struct {
	ID           string
	VM           string
	Clock        clocker.Clock
	Timing       leaser.Timing
	Caller       linker.Caller
	LeaseHandler LeaseHandler
	Recorder     *timeliner.Recorder
	Record       Record // the newest record known at the start
	// OnRecord, if set, is called with each newer record that this VM adopts.
	OnRecord func(Record)
	// Leaving, if set, reports whether a VM is about to stop. Such a VM is the last
	// choice of a successor.
	Leaving func(vm string) bool

	initOnce        sync.Once
	changed         chan struct{} // makes runElections check again
	running         *errgroup.Group
	incarnation     uint64
	restoreAttempts uint64

	mutex  sync.Mutex
	record Record
	voter  *leaser.Voter
	store  *store
	// synchronized is set when this VM's copy of the state counts in a quorum,
	// complete when it also contains what was stored before this VM joined.
	synchronized bool
	complete     bool
	// invitedRevision is the revision of the record under which the holder
	// restored this VM before it became a candidate, or 0.
	invitedRevision uint64
	restore         restoreProgress
	session         *session  // the present campaign or lease of this VM, if any
	lastContact     time.Time // last call of the holder or of a promised candidate
	holderSeenAt    time.Time // last call of a holder that serves the group
	holderVM        string
	holderTerm      uint64
	highestSeenTerm uint64 // highest term in replies of other candidates
	retryAt         time.Time
	namedSuccessor  bool   // the holder has released the lease to this VM
	retired         bool   // this VM must not become holder again, because it stops
	lastTerm        uint64 // highest term under which this VM has taken over the state
}

// restoreProgress identifies a restore that is being received and the number of
// the page that is due.
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

// Run takes part in the group until ctx is done. A lease that is still held at
// that time is lost. For a planned stop, call Release first.
func (group *Group) Run(ctx context.Context) error {
	group.initialize()
	running, ctx := errgroup.WithContext(ctx)
	group.running = running
	running.Go(func() error { return group.runElections(ctx) })
	return running.Wait()
}

// runElections starts a campaign whenever electionTime has come.
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

// electionTime returns when this VM campaigns for the lease unless the holder or a
// candidate makes contact before. It reports false if this VM must not campaign.
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
		// The other voters gave their promises to that candidate at about the same
		// time, so that a campaign cannot succeed before.
		earliest = append(earliest, until.Add(position*retryDelay))
	}
	for _, bound := range earliest {
		if bound.After(due) {
			due = bound
		}
	}
	return due, true
}

// wake makes runElections check again whether a campaign is due.
func (group *Group) wake() {
	select {
	case group.changed <- struct{}{}:
	default:
	}
}

// Holder returns the VM that serves the group, and its term. The holder is unknown
// until this VM has been called by one, and after the suspicion timeout has passed
// without a call.
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

// Adopt replaces the record if the given one is newer. A holder that is no longer
// a candidate loses its lease. If the group was recreated, this VM is no longer
// synchronized until it receives the state under the new record.
func (group *Group) Adopt(record Record) {
	group.initialize()
	group.mutex.Lock()
	adopted := group.adoptLocked(record)
	group.mutex.Unlock()
	group.notifyRecord(adopted)
}

// notifyRecord calls OnRecord if a record was adopted. It must be called without
// the mutex.
func (group *Group) notifyRecord(adopted *Record) {
	if adopted != nil && group.OnRecord != nil {
		group.OnRecord(*adopted)
	}
}

// adoptLocked replaces the record if the given one is newer, and returns the
// adopted record or nil.
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
		session.lease.SetVoters(record.lists()...)
		session.recheckExpiry()
		if recreated || !slices.Contains(record.Candidates, group.VM) {
			session.loseLocked("the record no longer names this holder")
		}
	}
	group.wake()
	return &record
}

// updateSynchronized decides whether this VM's copy of the state counts under the
// new record. A VM that joins counts at once if a holder restored it under the
// directly preceding record. It cannot have stored and lost any entry under the
// new record, and earlier entries are covered by a majority of the previous list.
// After that list is cleared, only a complete copy counts.
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

// recordEvent adds an event of the group to the time line.
func (group *Group) recordEvent(kind string, term uint64, detail string) {
	group.Recorder.Record(newEvent(kind, group.ID, term, detail))
}

func newEvent(kind, id string, term uint64, detail string) timeliner.Event {
	return timeliner.Event{Kind: kind, Group: id, Term: term, Detail: detail}
}

// call makes a control call to vm and decodes the answer into response. From its
// common part, it adopts a newer record and keeps a higher term.
func (group *Group) call(ctx context.Context, vm, method string, timeout time.Duration, body any, common *reply, response any) error {
	ctx, cancel := clocker.WithTimeout(ctx, group.Clock, timeout)
	defer cancel()
	if err := group.Caller.Call(ctx, vm, method, body, response); err != nil {
		return err
	}
	if common.Record != nil {
		group.Adopt(*common.Record)
	}
	if common.HigherTerm > 0 {
		group.mutex.Lock()
		group.highestSeenTerm = max(group.highestSeenTerm, common.HigherTerm)
		group.mutex.Unlock()
	}
	return nil
}
