package main

import (
	"slices"
	"sync"
	"time"
)

const keyCount = 65536

// judge checks the rule OWNER from what the servers see.
type judge struct {
	mutex  sync.Mutex
	holds  map[string][]hold            // by server
	fences map[string]*[keyCount]uint64 // highest with which a server has had a key, over all its lives
	begins map[[2]string]int            // requests that the first began on keys that the second held too
	// lowFences counts grants that a server took with a fencing token that is not above that
	// with which another server had one of the keys.
	lowFences int
}

func newJudge() *judge {
	return &judge{holds: map[string][]hold{}, fences: map[string]*[keyCount]uint64{}, begins: map[[2]string]int{}}
}

// held records what a server holds after an order for the keys from one to another.
func (judge *judge) held(server string, holds []hold, from, to int, fence uint64, granted bool) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.holds[server] = slices.Clone(holds)
	if !granted {
		return
	}
	if judge.fences[server] == nil {
		judge.fences[server] = new([keyCount]uint64)
	}
	low := ""
	for key := from; key <= to; key++ {
		for other, fences := range judge.fences {
			if other != server && fences[key] >= fence {
				low = other
			}
		}
		judge.fences[server][key] = max(judge.fences[server][key], fence)
	}
	if low != "" {
		judge.lowFences++
		record("%s takes keys %d to %d with fencing token %d; %s has had keys of these with one that is not lower", server, from, to, fence, low)
	}
}

// ended records that a server has ended, and holds nothing.
func (judge *judge) ended(server string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	delete(judge.holds, server)
}

// begun records that a server begins a request on a key that it holds.
func (judge *judge) begun(server, id string, key int) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	for other, holds := range judge.holds {
		for _, held := range holds {
			if other != server && held.from <= key && key <= held.to && time.Now().Before(held.until) {
				judge.begins[[2]string{server, other}]++
				record("%s begins %s on key %d, which %s holds too, with fencing token %d", server, id, key, other, held.fence)
			}
		}
	}
}

// bothBegan returns the pairs of servers that held the same keys and both began requests on
// such keys.
func (judge *judge) bothBegan() (pairs int) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	for pair := range judge.begins {
		if pair[0] < pair[1] && judge.begins[[2]string{pair[1], pair[0]}] > 0 {
			pairs++
		}
	}
	return pairs
}
