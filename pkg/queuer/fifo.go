package queuer

import (
	"container/heap"
	"time"
)

// notInHeap is the heap index of a node that is not in the deadline heap.
const notInHeap = -1

// node is a waiting item. It is an element of the FIFO queue of its rank and, if it has a
// deadline, of the deadline heap.
type node[T any] struct {
	item       Item[T]
	arrived    time.Time
	prev, next *node[T]
	heapIndex  int
}

// fifo is a linked list of the waiting items of one rank in order of arrival.
type fifo[T any] struct {
	first, last *node[T]
	length      int
}

func (fifo *fifo[T]) push(added *node[T]) {
	added.prev = fifo.last
	if fifo.last == nil {
		fifo.first = added
	} else {
		fifo.last.next = added
	}
	fifo.last = added
	fifo.length++
}

func (fifo *fifo[T]) remove(removed *node[T]) {
	if removed.prev == nil {
		fifo.first = removed.next
	} else {
		removed.prev.next = removed.next
	}
	if removed.next == nil {
		fifo.last = removed.prev
	} else {
		removed.next.prev = removed.prev
	}
	removed.prev, removed.next = nil, nil
	fifo.length--
}

// deadlineHeap is a min-heap of waiting items by deadline.
type deadlineHeap[T any] []*node[T]

func (deadlines *deadlineHeap[T]) add(added *node[T]) {
	if !added.item.Deadline.IsZero() {
		heap.Push(deadlines, added)
	}
}

func (deadlines *deadlineHeap[T]) remove(removed *node[T]) {
	if removed.heapIndex != notInHeap {
		heap.Remove(deadlines, removed.heapIndex)
	}
}

func (deadlines deadlineHeap[T]) Len() int { return len(deadlines) }

func (deadlines deadlineHeap[T]) Less(i, j int) bool {
	return deadlines[i].item.Deadline.Before(deadlines[j].item.Deadline)
}

func (deadlines deadlineHeap[T]) Swap(i, j int) {
	deadlines[i], deadlines[j] = deadlines[j], deadlines[i]
	deadlines[i].heapIndex, deadlines[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (deadlines *deadlineHeap[T]) Push(x any) {
	added := x.(*node[T])
	added.heapIndex = len(*deadlines)
	*deadlines = append(*deadlines, added)
}

// Pop implements heap.Interface.
func (deadlines *deadlineHeap[T]) Pop() any {
	old := *deadlines
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*deadlines = old[:len(old)-1]
	last.heapIndex = notInHeap
	return last
}
