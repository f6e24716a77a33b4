package tracker

import "time"

// merge takes over an entry that is not of a former incarnation.
func (known *record) merge(vm VM, now time.Time) {
	if vm.Incarnation > known.told.Incarnation && known.told.Incarnation != 0 {
		// The evidence about the former process says nothing about this one.
		known.heard, known.indirect, known.watchStart = time.Time{}, time.Time{}, now
		known.replaced = false
	}
	if known.told.Name == "" || vm.supersedes(known.told) {
		known.told = vm
	}
}

// lastKnown returns when the VM was last known to run, directly or through
// another VM.
func (known *record) lastKnown() time.Time {
	if known.heard.After(known.indirect) {
		return known.heard
	}
	return known.indirect
}

// describe returns the VM as its own statements, or else the platform, describe
// it.
func (known *record) describe() VM {
	described := known.told
	if described.Name == "" || (described.Incarnation == 0 && known.listed.Name != "") {
		described = known.listed
	}
	described.Leaving = known.told.Leaving || known.listed.Leaving
	return described
}

// silence returns how long the VM may be silent before it is suspected.
func (tracker *Tracker) silence(known *record) time.Duration {
	interval := max(known.interval, tracker.config.HeartbeatInterval)
	return time.Duration(float64(tracker.config.SuspicionTimeout) * float64(interval) / float64(tracker.config.HeartbeatInterval))
}

// isHeard reports whether a heartbeat arrived within the time to suspicion.
func (tracker *Tracker) isHeard(known *record, now time.Time) bool {
	return !known.heard.IsZero() && now.Sub(known.heard) < tracker.silence(known)
}

// conclude works out the state from the evidence and notes the change.
func (tracker *Tracker) conclude(known *record, now time.Time) {
	before := known.member
	after := before
	after.VM = known.describe()
	after.AbsentSince = known.absentSince
	after.Listed = known.listed.Name != "" && known.absentSince.IsZero()
	after.State = tracker.state(known, after, now)
	if after.State != before.State || after.Incarnation != before.Incarnation || before.Name == "" {
		after.Since = now
	}
	if after == before {
		return
	}
	known.member = after
	tracker.version++
	tracker.changes = append(tracker.changes, Change{Before: before, After: after})
}

func (tracker *Tracker) state(known *record, member Member, now time.Time) State {
	watchedSince := known.watchStart
	if known.heard.After(watchedSince) {
		watchedSince = known.heard
	}
	switch {
	case known.replaced:
		return Gone
	case tracker.isHeard(known, now):
	case !member.AbsentSince.IsZero() && now.Sub(known.lastKnown()) >= indirectGrace:
		return Gone
	case known.interval > 0 && now.Sub(watchedSince) >= tracker.silence(known):
		return Suspected
	}
	if member.Leaving {
		return Leaving
	}
	return Alive
}
