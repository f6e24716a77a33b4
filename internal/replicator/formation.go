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

// founder brings the first state to the candidates of a record that its VM has
// just written. No other VM does this for the same record, and a founder that
// fails is replaced by forming the group anew.
type founder struct {
	clock  clocker.Clock
	timing leaser.Timing
	caller linker.Caller // reaches this VM too
	record Record
	former []string // candidates of the record before, if the group is formed anew
	// blocked reports whether a former candidate is known to be gone.
	blocked func(vm string) bool

	mutex        sync.Mutex
	incarnations map[string]uint64
	sending      bool // no further incarnations are noted
}

// found first notes the incarnations of the candidates, and only then sends the
// state to exactly these. A candidate that restarts in between may already have
// been synchronized by a holder and have forgotten entries, and is therefore
// left to that holder.
func (founder *founder) found(ctx context.Context, state State) error {
	if founder.incarnations == nil {
		founder.incarnations = map[string]uint64{}
	}
	if !founder.sending {
		if err := founder.visit(ctx); err != nil {
			return err
		}
	}
	if len(founder.former) > 0 && !founder.sending {
		// A former holder is refused renewal now; wait until its lease has ended.
		if err := clocker.Sleep(ctx, founder.clock, founder.timing.LeaseDuration+founder.timing.SafetyMargin); err != nil {
			return err
		}
	}
	founder.sending = true
	var sending errgroup.Group
	stored := make([]bool, len(founder.record.Candidates))
	for index, vm := range founder.record.Candidates {
		if incarnation, ok := founder.incarnations[vm]; ok {
			sending.Go(func() error {
				stored[index] = founder.send(ctx, vm, incarnation, state)
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
		return fmt.Errorf("group %s: %d of %d candidates have stored the first state", founder.record.ID, count, len(stored))
	}
	return nil
}

// visit tells the candidates, present and former, of the new record until a
// majority of both knows it or is gone.
func (founder *founder) visit(ctx context.Context) error {
	ctx, cancel := clocker.WithTimeout(ctx, founder.clock, 2*founder.timing.LeaseDuration)
	defer cancel()
	visiting, ctx := errgroup.WithContext(ctx)
	all := Record{Candidates: founder.record.Candidates, Previous: founder.former}
	done := make(chan struct{})
	var once sync.Once
	finish := func() {
		close(done)
		cancel() // the holder restores the candidates that have not answered yet
	}
	for _, vm := range all.members() {
		visiting.Go(func() error {
			for ctx.Err() == nil {
				if founder.visitOnce(ctx, vm) && founder.informed() {
					once.Do(finish)
					return nil
				}
				if founder.knows(vm) {
					return nil
				}
				_ = clocker.Sleep(ctx, founder.clock, retryDelay) // the loop checks ctx
			}
			return nil
		})
	}
	_ = visiting.Wait() // the functions return no error
	select {
	case <-done:
		return nil
	default:
		return errors.Join(fmt.Errorf("group %s: no majority of the candidates answers", founder.record.ID), context.Cause(ctx))
	}
}

func (founder *founder) visitOnce(ctx context.Context, vm string) bool {
	ctx, cancel := clocker.WithTimeout(ctx, founder.clock, founder.timing.HeartbeatInterval)
	defer cancel()
	var answer HolderReply
	call := holderCall{Group: founder.record.ID, Record: &founder.record}
	if founder.caller.Call(ctx, vm, methodHolder, call, &answer) != nil {
		return false
	}
	if answer.Record == nil || answer.Record.Revision != founder.record.Revision {
		return false
	}
	founder.mutex.Lock()
	defer founder.mutex.Unlock()
	founder.incarnations[vm] = answer.Incarnation
	return true
}

func (founder *founder) knows(vm string) bool {
	founder.mutex.Lock()
	defer founder.mutex.Unlock()
	_, ok := founder.incarnations[vm]
	return ok
}

// informed reports whether the new record is known to a majority of the new
// candidates, and a majority of the former ones is informed or gone.
func (founder *founder) informed() bool {
	return leaser.MajorityOfEach([][]string{founder.record.Candidates}, founder.knows) &&
		(len(founder.former) == 0 || leaser.MajorityOfEach([][]string{founder.former}, func(vm string) bool {
			return founder.knows(vm) || founder.blocked(vm)
		}))
}

func (founder *founder) send(ctx context.Context, vm string, incarnation uint64, state State) bool {
	call := restoreCall{
		header:      header{Group: founder.record.ID, Record: founder.record, Term: founder.record.BaseTerm},
		Incarnation: incarnation, Attempt: 1, Last: true, Founding: true, Page: page{State: state},
	}
	for range 5 {
		callCtx, cancel := clocker.WithTimeout(ctx, founder.clock, founder.timing.HeartbeatInterval)
		var answer reply
		err := founder.caller.Call(callCtx, vm, methodRestore, call, &answer)
		cancel()
		if err == nil {
			return answer.OK && answer.Synchronized
		}
		if clocker.Sleep(ctx, founder.clock, retryDelay) != nil {
			return false
		}
	}
	return false
}
