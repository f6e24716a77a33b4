package replicator

import (
	"context"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// restoreLater sends the whole state to a candidate that has restarted or
// joined, unless that is already being done.
func (tenure *tenure) restoreLater(vm string) {
	tenure.mutex.Lock()
	known := tenure.peers[vm]
	start := known != nil && !known.restoring
	if start {
		known.restoring = true
	}
	tenure.mutex.Unlock()
	if !start {
		return
	}
	tenure.spawn(func() {
		if tenure.restore(tenure.ctx, vm) {
			tenure.group.note("candidateSynchronized", tenure.Term(), vm)
		}
		tenure.mutex.Lock()
		known.restoring = false
		tenure.mutex.Unlock()
	})
}

// restore sends the whole state to vm, page by page. The state of a holder
// includes every entry that a majority has stored; entries that follow while the
// pages are sent are copied to vm as usual.
func (tenure *tenure) restore(ctx context.Context, vm string) bool {
	group := tenure.group
	incarnation, ok := tenure.incarnationOf(vm)
	if !ok {
		return false
	}
	group.mutex.Lock()
	group.attempts++
	attempt := group.attempts
	group.mutex.Unlock()
	cursor := uint64(0)
	for number := 0; ; number++ {
		group.mutex.Lock()
		page := group.store.page(group.Clock.Now(), cursor)
		group.mutex.Unlock()
		call := restoreCall{
			header: tenure.header(), Incarnation: incarnation, Attempt: attempt,
			Number: number, Last: !page.More, Page: page,
		}
		if !tenure.sendPage(ctx, vm, call) {
			return false
		}
		if !page.More {
			return true
		}
		cursor = page.Next
	}
}

// sendPage sends one page, a second time if the first one is not answered.
func (tenure *tenure) sendPage(ctx context.Context, vm string, call restoreCall) bool {
	group := tenure.group
	for range 2 {
		var answer reply
		err := group.call(ctx, vm, methodRestore, group.Timing.Heartbeat, call, &answer, &answer)
		if err == nil {
			tenure.met(vm, answer, call.Record.Revision)
			if answer.Higher > tenure.Term() {
				tenure.lose("a candidate knows a higher term")
			}
			return answer.OK && (!call.Last || answer.Synchronized)
		}
		if clocker.Sleep(ctx, group.Clock, retryDelay) != nil {
			return false
		}
	}
	return false
}
