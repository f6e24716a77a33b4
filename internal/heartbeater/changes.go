package heartbeater

import (
	"time"

	"github.com/cuminstream/cuminstream/pkg/tracker"
)

const (
	// maxLoggedChanges bounds the changes that are kept for slow neighbors.
	maxLoggedChanges = 2048
	// maxEntriesPerMessage bounds the entries of a heartbeat.
	maxEntriesPerMessage = 4
	// maxEntriesPerSecond is the rate limit for the entries that a VM sends. At
	// about 70 bytes per entry, sent and received entries add at most about 1.1 KB/s
	// while many VMs change at once.
	maxEntriesPerSecond = 8
)

// changeLog is the log of membership changes, each of which is sent once to each
// neighbor. A token bucket limits the rate. It is guarded by Heartbeater.mutex.
type changeLog struct {
	entries     []memberChange
	firstNumber uint64 // number of entries[0]
	tokens      float64
	refilledAt  time.Time
}

// memberChange names a VM that changed and the VM that reported it, which may be
// the same.
type memberChange struct {
	name   string
	source string
}

// add appends a change, and drops the oldest quarter of a full log.
func (changes *changeLog) add(change memberChange) {
	if len(changes.entries) >= maxLoggedChanges {
		drop := maxLoggedChanges / 4
		changes.entries = append(changes.entries[:0], changes.entries[drop:]...)
		changes.firstNumber += uint64(drop)
	}
	changes.entries = append(changes.entries, change)
}

// nextNames returns the names of the VMs whose changes to send next to a peer that
// was sent all changes before the cursor, and the new cursor. Changes of the peer
// itself and those that it reported are left out.
func (changes *changeLog) nextNames(peer string, cursor uint64, now time.Time) ([]string, uint64) {
	changes.tokens = min(maxEntriesPerSecond, changes.tokens+now.Sub(changes.refilledAt).Seconds()*maxEntriesPerSecond)
	changes.refilledAt = now
	cursor = max(cursor, changes.firstNumber)
	var names []string
	for cursor < changes.firstNumber+uint64(len(changes.entries)) && len(names) < maxEntriesPerMessage && changes.tokens >= 1 {
		change := changes.entries[cursor-changes.firstNumber]
		cursor++
		if change.source != peer && change.name != peer {
			names = append(names, change.name)
			changes.tokens--
		}
	}
	return names, cursor
}

// recordChange logs the changes to send to other VMs: a VM that restarted, began to
// leave, or is not in the platform's list yet. Changes reported by a third VM are
// forwarded as well. Those from a page of members or from the platform's list are
// not, since all VMs read these themselves.
func (heartbeater *Heartbeater) recordChange(change tracker.Change) {
	before, after := change.Before, change.After
	if before.Incarnation == after.Incarnation && before.Leaving == after.Leaving {
		return
	}
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	source := heartbeater.mergeSource
	direct := source == after.Name
	if source == "" || (direct && after.Listed && !after.Leaving && !change.Restarted()) {
		return
	}
	heartbeater.changes.add(memberChange{name: after.Name, source: source})
}
