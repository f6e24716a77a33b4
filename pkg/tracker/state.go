package tracker

import "time"

// merge replaces what is reported of the VM if the entry supersedes it. The
// caller has excluded entries of former incarnations.
func (record *memberRecord) merge(vm VM, now time.Time) {
	if vm.Incarnation > record.reported.Incarnation && record.reported.Incarnation != 0 {
		// The evidence about the former process says nothing about this one.
		record.lastHeartbeat, record.lastIndirect, record.monitorStart = time.Time{}, time.Time{}, now
		record.addressReused = false
	}
	if record.reported.Name == "" || vm.supersedes(record.reported) {
		record.reported = vm
	}
}

// lastKnownRunning returns when the VM was last known to run, directly or
// through another VM.
func (record *memberRecord) lastKnownRunning() time.Time {
	if record.lastHeartbeat.After(record.lastIndirect) {
		return record.lastHeartbeat
	}
	return record.lastIndirect
}

// description returns the VM as heartbeats and entries describe it, or else as
// the platform does.
func (record *memberRecord) description() VM {
	vm := record.reported
	if vm.Name == "" || (vm.Incarnation == 0 && record.listed.Name != "") {
		vm = record.listed
	}
	vm.Leaving = record.reported.Leaving || record.listed.Leaving
	return vm
}

// suspicionTimeout returns how long no heartbeat may arrive from the VM before
// it is suspected.
func (tracker *Tracker) suspicionTimeout(record *memberRecord) time.Duration {
	interval := max(record.heartbeatInterval, tracker.config.HeartbeatInterval)
	return time.Duration(float64(tracker.config.SuspicionTimeout) * float64(interval) / float64(tracker.config.HeartbeatInterval))
}

// hasRecentHeartbeat reports whether a heartbeat arrived within the suspicion
// timeout.
func (tracker *Tracker) hasRecentHeartbeat(record *memberRecord, now time.Time) bool {
	return !record.lastHeartbeat.IsZero() && now.Sub(record.lastHeartbeat) < tracker.suspicionTimeout(record)
}

// updateMember derives the member from the evidence and queues the change for
// the subscribers, if there is one.
func (tracker *Tracker) updateMember(record *memberRecord, now time.Time) {
	before := record.member
	after := before
	after.VM = record.description()
	after.AbsentSince = record.absentSince
	after.Listed = record.listed.Name != "" && record.absentSince.IsZero()
	after.State = tracker.deriveState(record, after, now)
	if after.State != before.State || after.Incarnation != before.Incarnation || before.Name == "" {
		after.Since = now
	}
	if after == before {
		return
	}
	record.member = after
	tracker.version++
	tracker.pendingChanges = append(tracker.pendingChanges, Change{Before: before, After: after})
}

func (tracker *Tracker) deriveState(record *memberRecord, member Member, now time.Time) State {
	silentSince := record.monitorStart
	if record.lastHeartbeat.After(silentSince) {
		silentSince = record.lastHeartbeat
	}
	switch {
	case record.addressReused:
		return Gone
	case tracker.hasRecentHeartbeat(record, now):
	case !member.AbsentSince.IsZero() && now.Sub(record.lastKnownRunning()) >= indirectGrace:
		return Gone
	case record.heartbeatInterval > 0 && now.Sub(silentSince) >= tracker.suspicionTimeout(record):
		return Suspected
	}
	if member.Leaving {
		return Leaving
	}
	return Alive
}
