package replicator

import (
	"context"
	"sync"

	"github.com/cuminstream/cuminstream/pkg/leaser"
)

// quorum counts the candidates that have completed an operation, until enough of
// each list of the newest record have.
type quorum struct {
	session  *session
	required func(n int) int
	mutex    sync.Mutex
	counted  map[string]bool
	reached  chan struct{}
	closed   bool
}

// newQuorum returns a quorum in which this VM is already counted if it is
// synchronized. The function required returns how many of n candidates suffice.
func newQuorum(session *session, required func(n int) int) *quorum {
	quorum := &quorum{session: session, required: required, counted: map[string]bool{}, reached: make(chan struct{})}
	if session.group.Synchronized() {
		quorum.add(session.group.VM)
	}
	return quorum
}

// add counts vm as one that has completed the operation.
func (quorum *quorum) add(vm string) {
	lists := quorum.session.group.NewestRecord().lists()
	quorum.mutex.Lock()
	defer quorum.mutex.Unlock()
	quorum.counted[vm] = true
	if !quorum.closed && leaser.QuorumOfEach(lists, quorum.required, func(vm string) bool { return quorum.counted[vm] }) {
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

// wait returns nil once the quorum is reached, or an error if ctx or the session
// ends first.
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

// readQuorum returns the smallest number of candidates, out of n, that includes at
// least one of every majority.
func readQuorum(n int) int { return n - leaser.Majority(n) + 1 }
