package replicator

import (
	"context"
	"sync"

	"github.com/cuminstream/cuminstream/pkg/leaser"
)

// quorum counts the candidates that have done something, until there are enough
// of them in both lists of the newest record.
type quorum struct {
	session *session
	needed  func(n int) int
	mutex   sync.Mutex
	counted map[string]bool
	reached chan struct{}
	closed  bool
}

// newQuorum returns a quorum in which this VM counts if it is synchronized.
func newQuorum(session *session, needed func(n int) int) *quorum {
	quorum := &quorum{session: session, needed: needed, counted: map[string]bool{}, reached: make(chan struct{})}
	if session.group.Synchronized() {
		quorum.add(session.group.VM)
	}
	return quorum
}

// add counts vm.
func (quorum *quorum) add(vm string) {
	lists := quorum.session.group.NewestRecord().lists()
	quorum.mutex.Lock()
	defer quorum.mutex.Unlock()
	quorum.counted[vm] = true
	if !quorum.closed && leaser.QuorumOfEach(lists, quorum.needed, func(vm string) bool { return quorum.counted[vm] }) {
		quorum.closed = true
		close(quorum.reached)
	}
}

func (quorum *quorum) isReached() bool {
	select {
	case <-quorum.reached:
		return true
	default:
		return false
	}
}

// wait returns nil once the quorum is complete.
func (quorum *quorum) wait(ctx context.Context) error {
	select {
	case <-quorum.reached:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-quorum.session.ctx.Done():
		return context.Cause(quorum.session.ctx)
	}
}

// readers is the least number of synchronized candidates that includes one of
// every majority.
func readQuorum(n int) int { return n - leaser.Majority(n) + 1 }
