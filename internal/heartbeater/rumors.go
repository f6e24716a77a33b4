package heartbeater

import (
	"time"

	"github.com/cuminstream/cuminstream/pkg/tracker"
)

const (
	// rumorLog bounds the changes that are kept for slow neighbours.
	rumorLog = 2048
	// rumorsPerMessage bounds the entries of a heartbeat.
	rumorsPerMessage = 4
	// rumorRate bounds the entries that a VM sends in a second. At about 70
	// bytes each, sent and received ones add at most about 1.1 KB/s while many
	// VMs change at once.
	rumorRate = 8
)

// rumors is the log of changes that are passed on once to each neighbour. The
// mutex of the Heartbeater guards it.
type rumors struct {
	log    []rumor
	first  uint64 // number of log[0]
	budget float64
	filled time.Time
}

// rumor is a change of a VM, learned from the VM itself or another one.
type rumor struct {
	name string
	from string
}

func (rumors *rumors) add(rumor rumor) {
	if len(rumors.log) >= rumorLog {
		drop := rumorLog / 4
		rumors.log = append(rumors.log[:0], rumors.log[drop:]...)
		rumors.first += uint64(drop)
	}
	rumors.log = append(rumors.log, rumor)
}

// next returns the names to tell a peer that has had all changes before the
// cursor, and the new cursor.
func (rumors *rumors) next(peer string, cursor uint64, now time.Time) ([]string, uint64) {
	rumors.budget = min(rumorRate, rumors.budget+now.Sub(rumors.filled).Seconds()*rumorRate)
	rumors.filled = now
	cursor = max(cursor, rumors.first)
	var names []string
	for cursor < rumors.first+uint64(len(rumors.log)) && len(names) < rumorsPerMessage && rumors.budget >= 1 {
		rumor := rumors.log[cursor-rumors.first]
		cursor++
		if rumor.from != peer && rumor.name != peer {
			names = append(names, rumor.name)
			rumors.budget--
		}
	}
	return names, cursor
}

// listen notes the changes that other VMs should hear of: a VM that has
// restarted, has begun to leave, or is not in the platform's list yet. What
// another VM has passed on is passed on as well. What a page or the list tells
// is not, since all VMs read those.
func (heartbeater *Heartbeater) listen(change tracker.Change) {
	before, after := change.Before, change.After
	if before.Incarnation == after.Incarnation && before.Leaving == after.Leaving {
		return
	}
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	source := heartbeater.source
	heard := source == after.Name
	if source == "" || (heard && after.Listed && !after.Leaving && !change.Restarted()) {
		return
	}
	heartbeater.rumors.add(rumor{name: after.Name, from: source})
}
