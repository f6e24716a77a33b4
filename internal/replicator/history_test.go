package replicator

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// history is what the members saw of the group's assignment, as operations on
// one register: an acknowledged copy is a write, the state at Begin is a read.
type history struct{ operations []porcupine.Operation }

type registerInput struct {
	write bool
	value uint64
}

// forever is the end of a write whose copy was not acknowledged: it may take
// effect at any later time or never.
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

// linearizable reports whether some order of the operations explains all reads.
func (history *history) linearizable() bool {
	return porcupine.CheckOperationsTimeout(registerModel, history.operations, 10*time.Second) != porcupine.Illegal
}
