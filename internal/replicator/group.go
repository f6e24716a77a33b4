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
	placeDelay = 100 * time.Millisecond
	// retryDelay separates candidates whose requests met each other.
	retryDelay = 20 * time.Millisecond
	// idleCheck bounds the time between two looks at the state of a candidate.
	idleCheck = time.Second
)

// Group is one group of which this VM is a candidate. The exported fields are
// set before Run and before the first call to another method.
type Group struct {
	ID       string
	VM       string
	Clock    clocker.Clock
	Timing   leaser.Timing
	Caller   linker.Caller
	Handler   LeaseHandler
	Recorder *timeliner.Recorder
	Record   Record // the newest record known at the start
	// OnRecord, if set, is told of a newer record that a candidate has sent.
	OnRecord func(Record)
	// Leaving, if set, reports whether a VM is about to stop.
	Leaving func(vm string) bool

	prepareOnce sync.Once
	changed     chan struct{} // wakes Run
	running     *errgroup.Group
	incarnation uint64
	attempts    uint64

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
	invitedAt  uint64
	restore    restoreProgress
	tenure     *tenure   // the lease that this VM asks for or holds
	quietSince time.Time // when a holder or a candidate for it was heard last
	heardAt    time.Time // when a serving holder was heard last
	holderVM   string
	holderTerm uint64
	higher     uint64 // highest term that another candidate has named
	retryAt    time.Time
	urgent     bool // named as successor
	retired    bool // the VM stops and does not become holder again
	lastTerm   uint64
}

// restoreProgress is the sequence of pages that is being received.
type restoreProgress struct {
	term, attempt uint64
	next          int
}

func (group *Group) prepare() {
	group.prepareOnce.Do(func() {
		group.changed = make(chan struct{}, 1)
		group.incarnation = rand.Uint64()
		group.record = group.Record
		group.voter = leaser.NewVoter(group.Clock, group.Timing)
		group.store = newStore()
		group.quietSince = group.Clock.Now()
	})
}

// Run takes part in the group until ctx is done. A lease that is still held
// then is lost; call Release before for a planned stop.
func (group *Group) Run(ctx context.Context) error {
	group.prepare()
	running, ctx := errgroup.WithContext(ctx)
	group.running = running
	running.Go(func() error { return group.follow(ctx) })
	return running.Wait()
}

func (group *Group) follow(ctx context.Context) error {
	timer := group.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		due, can := group.electionTime()
		wait := idleCheck
		if can {
			wait = min(wait, due.Sub(group.Clock.Now()))
		}
		if can && wait <= 0 {
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
	if group.urgent {
		return group.Clock.Now(), true
	}
	place := time.Duration(group.record.place(group.VM, group.holderVM))
	due := group.quietSince.Add(group.Timing.SuspicionTimeout + place*placeDelay)
	earliest := []time.Time{group.retryAt, group.voter.ReadyAt().Add(place * placeDelay)}
	if other, until, ok := group.voter.CurrentPromise(); ok && other != group.VM {
		// The other voters gave their promises at about the same time.
		earliest = append(earliest, until.Add(place*retryDelay))
	}
	for _, floor := range earliest {
		if floor.After(due) {
			due = floor
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
	group.prepare()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.holderLocked()
}

func (group *Group) holderLocked() (vm string, term uint64, known bool) {
	if tenure := group.tenure; tenure != nil && tenure.phase == serving {
		if _, ok := tenure.Valid(); ok {
			return group.VM, tenure.Term(), true
		}
	}
	known = group.holderVM != "" && group.holderVM != group.VM && group.Clock.Now().Sub(group.heardAt) < group.Timing.SuspicionTimeout
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
	group.prepare()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.record
}

// Adopt replaces the record if the given one is newer. A holder that is no
// longer a candidate loses its lease. When the group was formed anew, this VM
// waits until the founder or the new holder has synchronized it.
func (group *Group) Adopt(record Record) {
	group.prepare()
	group.mutex.Lock()
	adopted := group.adoptLocked(record)
	group.mutex.Unlock()
	group.announce(adopted)
}

// announce must be called without the mutex.
func (group *Group) announce(adopted *Record) {
	if adopted != nil && group.OnRecord != nil {
		group.OnRecord(*adopted)
	}
}

func (group *Group) adoptLocked(record Record) *Record {
	if record.Revision <= group.record.Revision {
		return nil
	}
	formedAnew := record.BaseTerm != group.record.BaseTerm
	group.keepSynchronized(record, formedAnew)
	group.record = record
	if formedAnew {
		group.holderVM = ""
	}
	if tenure := group.tenure; tenure != nil {
		tenure.holder.SetVoters(record.lists()...)
		tenure.poke()
		if formedAnew || !slices.Contains(record.Candidates, group.VM) {
			tenure.loseLocked("the record no longer names this holder")
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
func (group *Group) keepSynchronized(record Record, formedAnew bool) {
	members := record.members()
	switch {
	case formedAnew || !slices.Contains(members, group.VM):
		group.synchronized, group.invitedAt = false, 0
	case record.joining(group.VM):
		group.synchronized = group.invitedAt > 0 && record.Revision == group.invitedAt+1
		group.complete, group.invitedAt = false, 0
	case !slices.Contains(group.record.members(), group.VM) || !group.complete:
		group.synchronized = false
	}
}

// note records an event of the group.
func (group *Group) note(kind string, term uint64, detail string) {
	group.Recorder.Record(newEvent(kind, group.ID, term, detail))
}

func newEvent(kind, id string, term uint64, detail string) timeliner.Event {
	return timeliner.Event{Kind: kind, Group: id, Term: term, Detail: detail}
}

// call sends body to vm and takes the newer record and the higher term from the
// answer.
func (group *Group) call(ctx context.Context, vm, method string, timeout time.Duration, body any, answer *reply, full any) error {
	ctx, cancel := clocker.WithTimeout(ctx, group.Clock, timeout)
	defer cancel()
	if err := group.Caller.Call(ctx, vm, method, body, full); err != nil {
		return err
	}
	if answer.Record != nil {
		group.Adopt(*answer.Record)
	}
	if answer.Higher > 0 {
		group.mutex.Lock()
		group.higher = max(group.higher, answer.Higher)
		group.mutex.Unlock()
	}
	return nil
}
