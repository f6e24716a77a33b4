package replicator

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

// wholeStateDelay gives the candidates that were read the time to complete the
// majority, before the whole state is sent to others.
const wholeStateDelay = 2 * retryDelay

// campaign asks for the next term of this VM and, when it gets it, serves the
// group until the lease ends.
func (group *Group) campaign(ctx context.Context) {
	tenure := group.start(ctx)
	if tenure == nil {
		return
	}
	defer tenure.close()
	retry, elected := tenure.elect()
	if elected {
		retry = group.Timing.SuspicionTimeout
		if err := tenure.serve(); errors.Is(err, ErrLeaseLost) {
			// The voters may have let go only because another candidate asked in
			// vain; the own unexpired promises then allow a new term at once.
			retry = 0
		}
	}
	group.abandon(tenure, retry)
}

// start returns a tenure of the next term, or nil if this VM may not ask now.
func (group *Group) start(ctx context.Context) *tenure {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.urgent = false
	if other, until, ok := group.voter.CurrentPromise(); ok && other != group.VM {
		group.retryAt = until
		return nil
	}
	above := max(group.voter.Term(), group.higher)
	term, ok := leaser.NextTerm(group.record.Candidates, group.record.BaseTerm, group.VM, above)
	if !ok || group.retired || !group.synchronized {
		return nil
	}
	group.tenure = newTenure(ctx, group, term)
	return group.tenure
}

// elect collects promises. The own voter is asked last and only when it
// completes the majority: a candidate that is cut off then does not raise its
// own term in vain, which would end the lease of the healthy holder later. It
// returns the time until the next attempt.
func (tenure *tenure) elect() (retry time.Duration, elected bool) {
	group := tenure.group
	others := tenure.others()
	answers := make(chan reply, len(others))
	for _, vm := range others {
		tenure.spawn(func() {
			answer, err := tenure.ask(vm)
			if err != nil {
				answer.Wait = group.Timing.HeartbeatInterval
			}
			answers <- answer
		})
	}
	timer := group.Clock.NewTimer(group.Timing.TakeoverTimeout)
	defer timer.Stop()
	wait := group.Timing.HeartbeatInterval
	for pending := len(others); pending > 0 && !tenure.holder.HasMajority(group.Clock.Now(), group.VM); {
		select {
		case answer := <-answers:
			pending--
			wait = min(wait, answer.Wait)
		case <-timer.C():
			pending = 0
		case <-tenure.ctx.Done():
			pending = 0
		}
	}
	place := group.NewestRecord().place(group.VM, "")
	// The first candidate asks again as soon as the voters may promise, before
	// the others ask.
	retry = max(wait, retryDelay/4) + time.Duration(place)*retryDelay
	if !tenure.holder.HasMajority(group.Clock.Now(), group.VM) || !tenure.promiseSelf().Granted {
		return retry, false
	}
	_, elected = tenure.Valid()
	return retry, elected
}

// abandon ends a tenure that was not released, gives its promises back and sets
// the time of the next attempt.
func (group *Group) abandon(tenure *tenure, retry time.Duration) {
	group.mutex.Lock()
	given := tenure.phase < releasing || tenure.phase == over
	tenure.loseLocked("the lease is given back")
	group.tenure = nil
	group.retryAt = group.Clock.Now().Add(retry)
	group.voter.Release(tenure.Term(), group.VM)
	group.mutex.Unlock()
	if given {
		// The promises of a lost or failed tenure are not used any more.
		group.running.Go(func() error {
			tenure.tell(context.WithoutCancel(tenure.ctx), releaseCall{header: tenure.header()})
			return nil
		})
	}
}

// tell sends a release to all other candidates at the same time and waits until
// each has answered or a heartbeat has passed.
func (tenure *tenure) tell(ctx context.Context, call releaseCall) {
	group := tenure.group
	var sending errgroup.Group
	for _, vm := range tenure.others() {
		sending.Go(func() error {
			var answer reply
			return group.call(ctx, vm, methodRelease, group.Timing.HeartbeatInterval, call, &answer, &answer)
		})
	}
	_ = sending.Wait() // a candidate that is not told waits for the end of its promise
}

// takeOver reads the state of enough synchronized candidates to include every
// entry that a majority has stored, merges it and copies it to a majority.
func (tenure *tenure) takeOver() (State, error) {
	group := tenure.group
	ctx, cancel := clocker.WithTimeout(tenure.ctx, group.Clock, group.Timing.SuspicionTimeout+group.Timing.TakeoverTimeout)
	defer cancel()
	readings, err := tenure.collect(ctx)
	if err != nil {
		return State{}, err
	}
	now := group.Clock.Now()
	group.mutex.Lock()
	changed := map[string]bool{}
	for _, other := range readings {
		for _, id := range group.store.merge(now, other) {
			changed[id] = true
		}
	}
	// What a quorum of both lists has stored is now here.
	group.complete = true
	state := group.store.state(now)
	changes := map[string][]Entries{}
	for vm, other := range readings {
		changes[vm] = group.store.missing(other, changed)
	}
	group.mutex.Unlock()
	return state, tenure.distribute(ctx, changes)
}

// collect returns what was read from other candidates, by VM.
func (tenure *tenure) collect(ctx context.Context) (map[string]*reading, error) {
	count := newQuorum(tenure, readers)
	var mutex sync.Mutex
	readings := map[string]*reading{}
	tenure.group.mutex.Lock()
	digest := slices.Clone(tenure.group.store.digest)
	tenure.group.mutex.Unlock()
	for _, vm := range tenure.others() {
		tenure.spawn(func() {
			reading := tenure.read(ctx, vm, digest)
			if reading == nil {
				return
			}
			mutex.Lock()
			readings[vm] = reading
			mutex.Unlock()
			count.add(vm)
		})
	}
	if err := count.wait(ctx); err != nil {
		return nil, errors.Join(errNoQuorum, err)
	}
	mutex.Lock()
	defer mutex.Unlock()
	return maps.Clone(readings), nil
}

// read returns the state of vm as far as it differs from the digest, or nil if
// vm is not synchronized or does not answer until ctx is done. The vm stores
// nothing for an older term any more, so that its pages belong together.
func (tenure *tenure) read(ctx context.Context, vm string, digest digest) *reading {
	group := tenure.group
	result := &reading{store: newStore(), buckets: bucketSet{}}
	for cursor := uint64(0); ; {
		var answer snapshotReply
		call := snapshotCall{header: tenure.header(), Cursor: cursor, Digest: digest}
		err := group.call(ctx, vm, methodSnapshot, group.Timing.HeartbeatInterval, call, &answer.reply, &answer)
		if err == nil {
			tenure.met(vm, answer.reply)
		}
		switch {
		case err == nil && answer.Higher > tenure.Term():
			tenure.lose("a candidate knows a higher term")
			return nil
		case err == nil && answer.OK && !answer.Synchronized:
			return nil
		case err == nil && answer.OK:
			result.store.applyPage(group.Clock.Now(), answer.Page)
			for _, bucket := range answer.Buckets {
				result.buckets[bucket] = true
			}
			if !answer.Page.More {
				return result
			}
			cursor = answer.Page.Next
			continue
		}
		if clocker.Sleep(ctx, group.Clock, retryDelay) != nil {
			return nil
		}
	}
}

// distribute brings a majority to the merged state: the candidates that were
// read get what they lack, the others the whole state.
func (tenure *tenure) distribute(ctx context.Context, changes map[string][]Entries) error {
	count := newQuorum(tenure, leaser.Majority)
	for _, vm := range tenure.others() {
		missing, wasRead := changes[vm]
		tenure.spawn(func() {
			if !wasRead && clocker.Sleep(ctx, tenure.group.Clock, wholeStateDelay) != nil {
				return
			}
			for ctx.Err() == nil && !count.complete() {
				if wasRead && tenure.copyAll(vm, missing) || !wasRead && tenure.restoreKnown(ctx, vm) {
					count.add(vm)
					return
				}
				if clocker.Sleep(ctx, tenure.group.Clock, retryDelay) != nil {
					return
				}
			}
		})
	}
	if err := count.wait(ctx); err != nil {
		return errors.Join(errNoQuorum, err)
	}
	return nil
}

// restoreKnown sends the whole state to a candidate that has answered before.
func (tenure *tenure) restoreKnown(ctx context.Context, vm string) bool {
	incarnation, ok := tenure.incarnationOf(vm)
	return ok && tenure.restore(ctx, vm, incarnation)
}

// copyAll sends the changes to vm in order.
func (tenure *tenure) copyAll(vm string, changes []Entries) bool {
	for _, entries := range changes {
		answer, err := tenure.copyOnce(vm, entries)
		if err != nil || !answer.OK || !answer.Synchronized {
			return false
		}
	}
	return true
}
