package replicator

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

// bootstrapper sends the initial state to the candidates of a record that this VM
// has just written. No other VM does so for the same record. If the bootstrapper
// fails, the group is recreated under a new record.
type bootstrapper struct {
	clock  clocker.Clock
	timing leaser.Timing
	caller linker.Caller // reaches this VM too
	record Record
	former []string // candidates of the previous record, if the group is recreated
	// gone reports whether a former candidate is presumed to be lost.
	gone func(vm string) bool

	mutex          sync.Mutex
	incarnations   map[string]uint64
	sendingStarted bool // no further incarnations are recorded
}

// bootstrap first records the incarnations of the candidates and then sends the
// state to exactly these processes. A candidate that restarts in between may have
// been synchronized by a holder before and have lost entries. Only that holder may
// synchronize it again.
func (bootstrapper *bootstrapper) bootstrap(ctx context.Context, state State) error {
	if bootstrapper.incarnations == nil {
		bootstrapper.incarnations = map[string]uint64{}
	}
	if !bootstrapper.sendingStarted {
		if err := bootstrapper.informCandidates(ctx); err != nil {
			return err
		}
	}
	if len(bootstrapper.former) > 0 && !bootstrapper.sendingStarted {
		// The lease of a former holder can no longer be renewed. Wait until it has
		// expired.
		if err := clocker.Sleep(ctx, bootstrapper.clock, bootstrapper.timing.LeaseDuration+bootstrapper.timing.SafetyMargin); err != nil {
			return err
		}
	}
	bootstrapper.sendingStarted = true
	var sending errgroup.Group
	stored := make([]bool, len(bootstrapper.record.Candidates))
	for index, vm := range bootstrapper.record.Candidates {
		if incarnation, ok := bootstrapper.incarnations[vm]; ok {
			sending.Go(func() error {
				stored[index] = bootstrapper.sendState(ctx, vm, incarnation, state)
				return nil
			})
		}
	}
	_ = sending.Wait() // the results are in stored
	count := 0
	for _, ok := range stored {
		if ok {
			count++
		}
	}
	if count < leaser.Majority(len(stored)) {
		return fmt.Errorf("group %s: %d of %d candidates have stored the initial state", bootstrapper.record.ID, count, len(stored))
	}
	return nil
}

// informCandidates sends the new record to the new and the former candidates until
// quorumInformed.
func (bootstrapper *bootstrapper) informCandidates(ctx context.Context) error {
	ctx, cancel := clocker.WithTimeout(ctx, bootstrapper.clock, 2*bootstrapper.timing.LeaseDuration)
	defer cancel()
	informing, ctx := errgroup.WithContext(ctx)
	allCandidates := Record{Candidates: bootstrapper.record.Candidates, Previous: bootstrapper.former}
	done := make(chan struct{})
	var finishOnce sync.Once
	finish := func() {
		close(done)
		cancel() // the holder restores candidates that have not answered yet
	}
	for _, vm := range allCandidates.members() {
		informing.Go(func() error {
			for ctx.Err() == nil {
				if bootstrapper.informOnce(ctx, vm) && bootstrapper.quorumInformed() {
					finishOnce.Do(finish)
					return nil
				}
				if bootstrapper.isInformed(vm) {
					return nil
				}
				_ = clocker.Sleep(ctx, bootstrapper.clock, retryDelay) // the loop checks ctx
			}
			return nil
		})
	}
	_ = informing.Wait() // the functions return no error
	select {
	case <-done:
		return nil
	default:
		return errors.Join(fmt.Errorf("group %s: no majority of the candidates has answered", bootstrapper.record.ID), context.Cause(ctx))
	}
}

// informOnce sends the record to vm and records its incarnation. It reports whether
// vm has adopted the record.
func (bootstrapper *bootstrapper) informOnce(ctx context.Context, vm string) bool {
	ctx, cancel := clocker.WithTimeout(ctx, bootstrapper.clock, bootstrapper.timing.HeartbeatInterval)
	defer cancel()
	var answer HolderReply
	call := holderCall{Group: bootstrapper.record.ID, Record: &bootstrapper.record}
	if bootstrapper.caller.Call(ctx, vm, methodHolder, call, &answer) != nil {
		return false
	}
	if answer.Record == nil || answer.Record.Revision != bootstrapper.record.Revision {
		return false
	}
	bootstrapper.mutex.Lock()
	defer bootstrapper.mutex.Unlock()
	bootstrapper.incarnations[vm] = answer.Incarnation
	return true
}

func (bootstrapper *bootstrapper) isInformed(vm string) bool {
	bootstrapper.mutex.Lock()
	defer bootstrapper.mutex.Unlock()
	_, ok := bootstrapper.incarnations[vm]
	return ok
}

// quorumInformed reports whether a majority of the new candidates knows the new
// record, and a majority of the former ones knows it or is gone.
func (bootstrapper *bootstrapper) quorumInformed() bool {
	return leaser.MajorityOfEach([][]string{bootstrapper.record.Candidates}, bootstrapper.isInformed) &&
		(len(bootstrapper.former) == 0 || leaser.MajorityOfEach([][]string{bootstrapper.former}, func(vm string) bool {
			return bootstrapper.isInformed(vm) || bootstrapper.gone(vm)
		}))
}

// sendState sends the initial state to one process of vm and reports whether it
// was stored. It retries up to four times if there is no answer.
func (bootstrapper *bootstrapper) sendState(ctx context.Context, vm string, incarnation uint64, state State) bool {
	call := restoreCall{
		header:      header{Group: bootstrapper.record.ID, Record: bootstrapper.record, Term: bootstrapper.record.BaseTerm},
		Incarnation: incarnation, Attempt: 1, Last: true, Bootstrap: true, Page: page{State: state},
	}
	for range 5 {
		callCtx, cancel := clocker.WithTimeout(ctx, bootstrapper.clock, bootstrapper.timing.HeartbeatInterval)
		var answer reply
		err := bootstrapper.caller.Call(callCtx, vm, methodRestore, call, &answer)
		cancel()
		if err == nil {
			return answer.OK && answer.Synchronized
		}
		if clocker.Sleep(ctx, bootstrapper.clock, retryDelay) != nil {
			return false
		}
	}
	return false
}
