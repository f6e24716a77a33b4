package replicator

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// history contains the operations on the group's assignment as those on a single
// register. The replication of an assignment is a write, and the state passed to
// Begin is a read.
type history struct{ operations []porcupine.Operation }

type registerInput struct {
	write bool
	value uint64
}

// neverReturned is the return time of a write that was not acknowledged, which may
// take effect at any later time or never.
const neverReturned = int64(1) << 62

func (history *history) write(_ string, call, end time.Time, value uint64, acked bool) {
	operation := porcupine.Operation{
		ClientId: len(history.operations), Input: registerInput{write: true, value: value},
		Call: call.Sub(epoch).Nanoseconds(), Return: end.Sub(epoch).Nanoseconds(),
	}
	if !acked {
		operation.Return = neverReturned
	}
	history.operations = append(history.operations, operation)
}

func (history *history) read(_ string, now time.Time, value uint64) {
	history.operations = append(history.operations, porcupine.Operation{
		ClientId: len(history.operations), Input: registerInput{}, Output: value,
		Call: now.Sub(epoch).Nanoseconds(), Return: now.Sub(epoch).Nanoseconds(),
	})
}

var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		operation := input.(registerInput)
		if operation.write {
			return true, operation.value
		}
		return state.(uint64) == output.(uint64), state
	},
}

// linearizable reports whether the reads are consistent with some order of the
// operations. A check that takes longer than 10 s counts as passed.
func (history *history) linearizable() bool {
	return porcupine.CheckOperationsTimeout(registerModel, history.operations, 10*time.Second) != porcupine.Illegal
}
