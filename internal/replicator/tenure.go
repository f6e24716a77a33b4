package replicator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/asserter"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

// phase is how far a tenure has come. It only rises.
type phase int

const (
	electing phase = iota
	serving
	releasing
	over
)

// tenure is one lease that this VM asks for, holds or gives up. It implements
// Lease.
type tenure struct {
	group  *Group
	holder *leaser.Lease
	ctx    context.Context
	cancel context.CancelCauseFunc
	// running holds every goroutine of the tenure.
	running errgroup.Group
	changed chan struct{} // the lists of the lease have changed
	renewal chan struct{} // asks for a renewal at once

	phase phase // guarded by group.mutex

	mutex  sync.Mutex // guards the fields below; taken after group.mutex
	closed bool
	peers  map[string]*peer
	// invited names VMs that are to become candidates. They are restored and
	// give promises, so that neither is missing when the record changes.
	invited map[string]bool
}

// peer is what the holder knows of another candidate.
type peer struct {
	incarnation  uint64
	synchronized bool
	complete     bool
	revision     uint64 // of the record under which it last renewed its promise
	answered     time.Time
	restoring    bool
}

func newTenure(ctx context.Context, group *Group, term uint64) *tenure {
	tenure := &tenure{
		group:   group,
		holder:  leaser.NewLease(group.Clock, group.Timing, term, group.record.lists()...),
		changed: make(chan struct{}, 1), renewal: make(chan struct{}, 1),
		peers: map[string]*peer{}, invited: map[string]bool{},
	}
	tenure.ctx, tenure.cancel = context.WithCancelCause(ctx)
	return tenure
}

// Term returns the term of the lease.
func (tenure *tenure) Term() uint64 { return tenure.holder.Term() }

// Valid reports whether the lease is held now.
func (tenure *tenure) Valid() (time.Time, bool) { return tenure.holder.Valid() }

// spawn runs function in the tenure's group of goroutines, unless the tenure is
// closed.
func (tenure *tenure) spawn(function func()) bool {
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	if tenure.closed {
		return false
	}
	tenure.running.Go(func() error {
		function()
		return nil
	})
	return true
}

// close waits for all goroutines of the tenure.
func (tenure *tenure) close() {
	tenure.mutex.Lock()
	tenure.closed = true
	tenure.mutex.Unlock()
	tenure.cancel(ErrLeaseLost)
	_ = tenure.running.Wait() // the functions return no error
}

// poke makes the expiry watch look at the lease again.
func (tenure *tenure) poke() {
	select {
	case tenure.changed <- struct{}{}:
	default:
	}
}

// loseLocked ends the lease at once. It must be called with group.mutex held.
func (tenure *tenure) loseLocked(reason string) {
	if tenure.phase >= releasing {
		return
	}
	tenure.phase = over
	tenure.holder.End()
	tenure.cancel(fmt.Errorf("%w: %s", ErrLeaseLost, reason))
}

func (tenure *tenure) lose(reason string) {
	tenure.group.mutex.Lock()
	defer tenure.group.mutex.Unlock()
	tenure.loseLocked(reason)
}

// header returns the header of a call, with the newest record.
func (tenure *tenure) header() header {
	return header{Group: tenure.group.ID, Record: tenure.group.NewestRecord(), Term: tenure.Term()}
}

// others returns the other candidates of both lists.
func (tenure *tenure) others() []string {
	return slices.DeleteFunc(tenure.group.NewestRecord().members(), func(vm string) bool { return vm == tenure.group.VM })
}

// watchExpiry ends the tenure when its promises have run out.
func (tenure *tenure) watchExpiry() {
	timer := tenure.group.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		until, ok := tenure.Valid()
		if !ok {
			tenure.lose("the promises have expired")
			return
		}
		timer.Reset(until.Sub(tenure.group.Clock.Now()))
		select {
		case <-tenure.ctx.Done():
			return
		case <-tenure.changed:
		case <-timer.C():
		}
	}
}

// renew asks all candidates for renewal every heartbeat. Each call has its own
// goroutine, so that a hanging candidate does not delay the others.
func (tenure *tenure) renew() {
	ticker := tenure.group.Clock.NewTicker(tenure.group.Timing.HeartbeatInterval)
	defer ticker.Stop()
	for {
		tenure.promiseSelf()
		for _, vm := range append(tenure.others(), tenure.guests()...) {
			tenure.spawn(func() { _, _ = tenure.ask(vm) })
		}
		select {
		case <-tenure.ctx.Done():
			return
		case <-tenure.renewal:
		case <-ticker.C():
		}
	}
}

// promiseSelf renews the promise of the own voter.
func (tenure *tenure) promiseSelf() leaser.Response {
	group := tenure.group
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if tenure.phase >= releasing {
		return leaser.Response{}
	}
	sent := group.Clock.Now()
	answer := group.voter.Promise(tenure.Term(), group.VM)
	if answer.Granted {
		tenure.holder.AddPromise(group.VM, sent)
		group.store.prune(sent)
	} else if answer.HigherTerm > tenure.Term() {
		tenure.loseLocked("the own voter has promised a higher term")
	}
	return answer
}

// ask requests or renews the promise of vm.
func (tenure *tenure) ask(vm string) (reply, error) {
	group := tenure.group
	group.mutex.Lock()
	call := promiseCall{
		header:  header{Group: group.ID, Record: group.record, Term: tenure.Term()},
		Holding: tenure.phase == serving, Invited: !slices.Contains(group.record.members(), vm),
	}
	group.mutex.Unlock()
	sent := group.Clock.Now()
	var answer reply
	err := group.call(tenure.ctx, vm, methodPromise, group.Timing.LeaseDuration-group.Timing.SafetyMargin, call, &answer, &answer)
	if err != nil {
		return answer, err
	}
	tenure.met(vm, answer)
	if answer.OK {
		tenure.holder.AddPromise(vm, sent)
		tenure.promised(vm, call.Record.Revision)
	}
	if answer.Higher > tenure.Term() {
		tenure.lose("a candidate knows a higher term")
	}
	// An invited VM is restored only by a holder whose lease still holds after
	// its incarnation was learned; see Group.keepSynchronized.
	if _, valid := tenure.Valid(); valid && call.Holding && (!answer.Synchronized || !answer.Complete) {
		tenure.restoreLater(vm, answer.Incarnation)
	}
	return answer, nil
}

// met notes the answer of another candidate.
func (tenure *tenure) met(vm string, answer reply) {
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	known := tenure.peers[vm]
	if known == nil {
		known = &peer{}
		tenure.peers[vm] = known
	}
	known.incarnation, known.synchronized, known.complete = answer.Incarnation, answer.Synchronized, answer.Complete
	known.answered = tenure.group.Clock.Now()
}

// promised notes the record under which vm has given its last promise.
func (tenure *tenure) promised(vm string, revision uint64) {
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	tenure.peers[vm].revision = revision
}

func (tenure *tenure) incarnationOf(vm string) (uint64, bool) {
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	known, ok := tenure.peers[vm]
	if !ok {
		return 0, false
	}
	return known.incarnation, true
}

// serve takes the group over and serves it until the lease is lost or released.
func (tenure *tenure) serve() error {
	group := tenure.group
	tenure.spawn(tenure.renew)
	tenure.spawn(tenure.watchExpiry)
	state, err := tenure.takeOver()
	if err != nil {
		return err
	}
	group.mutex.Lock()
	last := group.lastTerm
	group.lastTerm = max(last, tenure.Term())
	group.mutex.Unlock()
	asserter.That(tenure.Term() > last, asserter.TermRises, "group %s: term %d follows term %d", group.ID, tenure.Term(), last)
	if err := group.Handler.Begin(tenure.ctx, tenure, state); err != nil {
		return fmt.Errorf("begin of group %s: %w", group.ID, err)
	}
	group.mutex.Lock()
	lost := tenure.phase != electing
	if !lost {
		tenure.phase = serving
		group.holderVM, group.holderTerm = group.VM, tenure.Term()
	}
	group.mutex.Unlock()
	if !lost {
		group.note("leaseAcquired", tenure.Term(), "")
		select {
		case tenure.renewal <- struct{}{}:
		default:
		}
		<-tenure.ctx.Done()
	}
	if group.released(tenure) {
		return nil
	}
	group.Handler.End(false)
	cause := context.Cause(tenure.ctx)
	group.note("leaseLost", tenure.Term(), fmt.Sprint(cause))
	return cause
}

// Replicate returns once a majority of the candidates, and of the previous ones if
// there are any, has stored the entries. Only synchronized candidates count.
func (tenure *tenure) Replicate(ctx context.Context, entries Entries) error {
	group := tenure.group
	group.mutex.Lock()
	_, valid := tenure.Valid()
	if !valid || group.voter.Term() > tenure.Term() {
		group.mutex.Unlock()
		return ErrLeaseLost
	}
	group.store.apply(group.Clock.Now(), entries)
	group.mutex.Unlock()
	count := newQuorum(tenure, leaser.Majority)
	for _, vm := range tenure.others() {
		tenure.spawn(func() { tenure.copyUntilStored(count, vm, entries) })
	}
	return count.wait(ctx)
}

// copyUntilStored repeats a copy to vm until it is stored or the quorum is
// complete without it.
func (tenure *tenure) copyUntilStored(count *quorum, vm string, entries Entries) {
	for tenure.ctx.Err() == nil {
		answer, err := tenure.copyOnce(vm, entries)
		if err == nil && answer.OK && answer.Synchronized {
			count.add(vm)
			return
		}
		if count.complete() {
			return
		}
		if clocker.Sleep(tenure.ctx, tenure.group.Clock, retryDelay) != nil {
			return
		}
	}
}

// copyOnce sends entries to vm once.
func (tenure *tenure) copyOnce(vm string, entries Entries) (reply, error) {
	var answer reply
	call := copyCall{header: tenure.header(), Entries: entries}
	err := tenure.group.call(tenure.ctx, vm, methodCopy, tenure.group.Timing.HeartbeatInterval, call, &answer, &answer)
	if err == nil && answer.Higher > tenure.Term() {
		tenure.lose("a candidate knows a higher term")
	}
	return answer, err
}
