package replicator

import (
	"context"
	"sync"

	"github.com/cuminstream/cuminstream/pkg/leaser"
)

// quorum counts the candidates that have done something, until there are enough
// of them in both lists of the newest record.
type quorum struct {
	tenure *tenure
	needed func(n int) int
	mutex  sync.Mutex
	done   map[string]bool
	full   chan struct{}
	closed bool
}

// newQuorum returns a quorum in which this VM counts if it is synchronized.
func newQuorum(tenure *tenure, needed func(n int) int) *quorum {
	quorum := &quorum{tenure: tenure, needed: needed, done: map[string]bool{}, full: make(chan struct{})}
	if tenure.group.Synchronized() {
		quorum.add(tenure.group.VM)
	}
	return quorum
}

// add counts vm.
func (quorum *quorum) add(vm string) {
	lists := quorum.tenure.group.NewestRecord().lists()
	quorum.mutex.Lock()
	defer quorum.mutex.Unlock()
	quorum.done[vm] = true
	if !quorum.closed && leaser.QuorumOfEach(lists, quorum.needed, func(vm string) bool { return quorum.done[vm] }) {
		quorum.closed = true
		close(quorum.full)
	}
}

func (quorum *quorum) complete() bool {
	select {
	case <-quorum.full:
		return true
	default:
		return false
	}
}

// wait returns nil once the quorum is complete.
func (quorum *quorum) wait(ctx context.Context) error {
	select {
	case <-quorum.full:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-quorum.tenure.ctx.Done():
		return context.Cause(quorum.tenure.ctx)
	}
}

// readers is the least number of synchronized candidates that includes one of
// every majority.
func readers(n int) int { return n - leaser.Majority(n) + 1 }
