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

// phase is the state of a session. It never returns to a lower value.
type phase int

const (
	electing phase = iota
	serving
	releasing
	ended
)

// session covers one term of this VM: its campaign for the lease, the time in which
// it serves the group, and the release. It implements Lease.
type session struct {
	group  *Group
	lease  *leaser.Lease
	ctx    context.Context
	cancel context.CancelCauseFunc
	// running contains all goroutines of the session.
	running       errgroup.Group
	votersChanged chan struct{} // signals that the voter lists of the lease have changed
	renewNow      chan struct{} // requests an immediate renewal

	phase phase // guarded by group.mutex

	mutex  sync.Mutex // guards the fields below; taken after group.mutex
	closed bool
	peers  map[string]*peer
	// invited holds VMs that are to become candidates. They already receive the
	// state and give promises, so that a quorum remains when the record changes.
	invited map[string]bool
}

// peer is what this VM knows about another candidate or an invited VM.
type peer struct {
	incarnation      uint64
	synchronized     bool
	complete         bool
	promisedRevision uint64 // revision of the record under which it last gave its promise
	lastAnswer       time.Time
	restoring        bool
}

func newSession(ctx context.Context, group *Group, term uint64) *session {
	session := &session{
		group:         group,
		lease:         leaser.NewLease(group.Clock, group.Timing, term, group.record.lists()...),
		votersChanged: make(chan struct{}, 1), renewNow: make(chan struct{}, 1),
		peers: map[string]*peer{}, invited: map[string]bool{},
	}
	session.ctx, session.cancel = context.WithCancelCause(ctx)
	return session
}

// Term returns the term of the lease.
func (session *session) Term() uint64 { return session.lease.Term() }

// Valid reports whether the lease is held now, and when it expires.
func (session *session) Valid() (time.Time, bool) { return session.lease.Valid() }

// spawn runs function in a goroutine that close waits for, unless the session is
// closed. It reports whether function runs.
func (session *session) spawn(function func()) bool {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.closed {
		return false
	}
	session.running.Go(func() error {
		function()
		return nil
	})
	return true
}

// close cancels the context of the session and waits for all its goroutines.
func (session *session) close() {
	session.mutex.Lock()
	session.closed = true
	session.mutex.Unlock()
	session.cancel(ErrLeaseLost)
	_ = session.running.Wait() // the functions return no error
}

// recheckExpiry makes watchExpiry read the expiry of the lease again.
func (session *session) recheckExpiry() {
	select {
	case session.votersChanged <- struct{}{}:
	default:
	}
}

// loseLocked ends the session and its lease immediately, unless it is released or
// has ended. It must be called with group.mutex held.
func (session *session) loseLocked(reason string) {
	if session.phase >= releasing {
		return
	}
	session.phase = ended
	session.lease.End()
	session.cancel(fmt.Errorf("%w: %s", ErrLeaseLost, reason))
}

func (session *session) lose(reason string) {
	session.group.mutex.Lock()
	defer session.group.mutex.Unlock()
	session.loseLocked(reason)
}

// header returns the header of a call of this session, with the newest record.
func (session *session) header() header {
	return header{Group: session.group.ID, Record: session.group.NewestRecord(), Term: session.Term()}
}

// others returns the other candidates of both lists.
func (session *session) others() []string {
	return slices.DeleteFunc(session.group.NewestRecord().members(), func(vm string) bool { return vm == session.group.VM })
}

// watchExpiry ends the session when its lease has expired.
func (session *session) watchExpiry() {
	timer := session.group.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		until, ok := session.Valid()
		if !ok {
			session.lose("the promises have expired")
			return
		}
		timer.Reset(until.Sub(session.group.Clock.Now()))
		select {
		case <-session.ctx.Done():
			return
		case <-session.votersChanged:
		case <-timer.C():
		}
	}
}

// renew renews the promises of all candidates and invited VMs at every heartbeat
// interval. Each call runs in its own goroutine, so that a candidate that hangs
// does not delay the others.
func (session *session) renew() {
	ticker := session.group.Clock.NewTicker(session.group.Timing.HeartbeatInterval)
	defer ticker.Stop()
	for {
		session.promiseSelf()
		for _, vm := range append(session.others(), session.invitees()...) {
			session.spawn(func() { _, _ = session.requestPromise(vm) })
		}
		select {
		case <-session.ctx.Done():
			return
		case <-session.renewNow:
		case <-ticker.C():
		}
	}
}

// promiseSelf requests or renews the promise of the voter of this VM.
func (session *session) promiseSelf() leaser.Response {
	group := session.group
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if session.phase >= releasing {
		return leaser.Response{}
	}
	sent := group.Clock.Now()
	response := group.voter.Promise(session.Term(), group.VM)
	if response.Granted {
		session.lease.AddPromise(group.VM, sent)
		group.store.prune(sent)
	} else if response.HigherTerm > session.Term() {
		session.loseLocked("the own voter has promised a higher term")
	}
	return response
}

// requestPromise requests or renews the promise of vm. If vm lacks the state, it
// also starts a restore.
func (session *session) requestPromise(vm string) (reply, error) {
	group := session.group
	group.mutex.Lock()
	call := promiseCall{
		header:  header{Group: group.ID, Record: group.record, Term: session.Term()},
		Holding: session.phase == serving, Invited: !slices.Contains(group.record.members(), vm),
	}
	group.mutex.Unlock()
	sent := group.Clock.Now()
	var answer reply
	err := group.call(session.ctx, vm, methodPromise, group.Timing.LeaseDuration-group.Timing.SafetyMargin, call, &answer, &answer)
	if err != nil {
		return answer, err
	}
	session.recordPeer(vm, answer)
	if answer.OK {
		session.lease.AddPromise(vm, sent)
		session.recordPromise(vm, call.Record.Revision)
	}
	if answer.HigherTerm > session.Term() {
		session.lose("a candidate knows a higher term")
	}
	// An invited VM may be restored only if the lease is still held after the VM's
	// incarnation is known. Group.updateSynchronized relies on this.
	if _, valid := session.Valid(); valid && call.Holding && (!answer.Synchronized || !answer.Complete) {
		session.startRestore(vm, answer.Incarnation)
	}
	return answer, nil
}

// recordPeer records what the reply of another VM says about it.
func (session *session) recordPeer(vm string, answer reply) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	known := session.peers[vm]
	if known == nil {
		known = &peer{}
		session.peers[vm] = known
	}
	known.incarnation, known.synchronized, known.complete = answer.Incarnation, answer.Synchronized, answer.Complete
	known.lastAnswer = session.group.Clock.Now()
}

// recordPromise records the revision under which vm has given its last promise.
func (session *session) recordPromise(vm string, revision uint64) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.peers[vm].promisedRevision = revision
}

func (session *session) incarnationOf(vm string) (uint64, bool) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	known, ok := session.peers[vm]
	if !ok {
		return 0, false
	}
	return known.incarnation, true
}

// serve takes over the state of the group and serves the group until the lease is
// lost or released.
func (session *session) serve() error {
	group := session.group
	session.spawn(session.renew)
	session.spawn(session.watchExpiry)
	state, err := session.takeOver()
	if err != nil {
		return err
	}
	group.mutex.Lock()
	last := group.lastTerm
	group.lastTerm = max(last, session.Term())
	group.mutex.Unlock()
	asserter.That(session.Term() > last, asserter.TermRises, "group %s: term %d follows term %d", group.ID, session.Term(), last)
	if err := group.LeaseHandler.Begin(session.ctx, session, state); err != nil {
		return fmt.Errorf("begin of group %s: %w", group.ID, err)
	}
	group.mutex.Lock()
	lost := session.phase != electing
	if !lost {
		session.phase = serving
		group.holderVM, group.holderTerm = group.VM, session.Term()
	}
	group.mutex.Unlock()
	if !lost {
		group.recordEvent("leaseAcquired", session.Term(), "")
		select {
		case session.renewNow <- struct{}{}:
		default:
		}
		<-session.ctx.Done()
	}
	if group.released(session) {
		return nil
	}
	group.LeaseHandler.End(false)
	cause := context.Cause(session.ctx)
	group.recordEvent("leaseLost", session.Term(), fmt.Sprint(cause))
	return cause
}

// Replicate returns once a majority of the candidates, and also of the previous list
// if there is one, has stored the entries. Only synchronized candidates count.
func (session *session) Replicate(ctx context.Context, entries Entries) error {
	group := session.group
	group.mutex.Lock()
	_, valid := session.Valid()
	if !valid || group.voter.Term() > session.Term() {
		group.mutex.Unlock()
		return ErrLeaseLost
	}
	group.store.apply(group.Clock.Now(), entries)
	group.mutex.Unlock()
	count := newQuorum(session, leaser.Majority)
	for _, vm := range session.others() {
		session.spawn(func() { session.copyUntilStored(count, vm, entries) })
	}
	return count.wait(ctx)
}

// copyUntilStored sends the entries to vm until they are stored, until the quorum
// is reached without vm, or until the session ends.
func (session *session) copyUntilStored(count *quorum, vm string, entries Entries) {
	for session.ctx.Err() == nil {
		answer, err := session.copyOnce(vm, entries)
		if err == nil && answer.OK && answer.Synchronized {
			count.add(vm)
			return
		}
		if count.isReached() {
			return
		}
		if clocker.Sleep(session.ctx, session.group.Clock, retryDelay) != nil {
			return
		}
	}
}

// copyOnce sends the entries to vm once.
func (session *session) copyOnce(vm string, entries Entries) (reply, error) {
	var answer reply
	call := copyCall{header: session.header(), Entries: entries}
	err := session.group.call(session.ctx, vm, methodCopy, session.group.Timing.HeartbeatInterval, call, &answer, &answer)
	if err == nil && answer.HigherTerm > session.Term() {
		session.lose("a candidate knows a higher term")
	}
	return answer, err
}
