package queuer

import (
	"container/heap"
	"time"
)

// notInHeap is the index of a node without a deadline.
const notInHeap = -1

// node is a waiting item. It is linked into the line of its rank and, when it
// has a deadline, into the heap of deadlines.
type node[T any] struct {
	item       Item[T]
	arrived    time.Time
	prev, next *node[T]
	index      int
}

// line holds the waiting items of one rank in the order of their arrival.
type line[T any] struct {
	first, last *node[T]
	length      int
}

func (line *line[T]) push(added *node[T]) {
	added.prev = line.last
	if line.last == nil {
		line.first = added
	} else {
		line.last.next = added
	}
	line.last = added
	line.length++
}

func (line *line[T]) remove(removed *node[T]) {
	if removed.prev == nil {
		line.first = removed.next
	} else {
		removed.prev.next = removed.next
	}
	if removed.next == nil {
		line.last = removed.prev
	} else {
		removed.next.prev = removed.prev
	}
	removed.prev, removed.next = nil, nil
	line.length--
}

// deadlines is a heap of waiting items, earliest deadline first.
type deadlines[T any] []*node[T]

func (deadlines *deadlines[T]) add(added *node[T]) {
	if !added.item.Deadline.IsZero() {
		heap.Push(deadlines, added)
	}
}

func (deadlines *deadlines[T]) remove(removed *node[T]) {
	if removed.index != notInHeap {
		heap.Remove(deadlines, removed.index)
	}
}

func (deadlines deadlines[T]) Len() int { return len(deadlines) }

func (deadlines deadlines[T]) Less(i, j int) bool {
	return deadlines[i].item.Deadline.Before(deadlines[j].item.Deadline)
}

func (deadlines deadlines[T]) Swap(i, j int) {
	deadlines[i], deadlines[j] = deadlines[j], deadlines[i]
	deadlines[i].index, deadlines[j].index = i, j
}

// Push implements heap.Interface.
func (deadlines *deadlines[T]) Push(x any) {
	added := x.(*node[T])
	added.index = len(*deadlines)
	*deadlines = append(*deadlines, added)
}

// Pop implements heap.Interface.
func (deadlines *deadlines[T]) Pop() any {
	old := *deadlines
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*deadlines = old[:len(old)-1]
	last.index = notInHeap
	return last
}
