package heartbeater

import (
	"context"
	"time"

	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"

	"github.com/fxamacker/cbor/v2"
)

// exchange sends a heartbeat to the neighbor and merges the response. Errors are
// ignored: the tracker suspects a VM from which no heartbeat arrives.
func (heartbeater *Heartbeater) exchange(ctx context.Context, name string, interval time.Duration) {
	// The tracker suspects the neighbor after the same time, so a later response
	// is of no use.
	ctx, cancel := clocker.WithTimeout(ctx, heartbeater.Clock, 4*interval)
	defer cancel()
	message := heartbeater.newMessage(name)
	cursor := heartbeater.appendChanges(name, message)
	var answer heartbeat
	if heartbeater.Caller.Call(ctx, name, methodHeartbeat, message, &answer) != nil {
		return
	}
	heartbeater.advanceCursor(name, cursor)
	heartbeater.mergeMessage(name, answer)
}

// advanceCursor records that the changes before the cursor were sent to the peer.
func (heartbeater *Heartbeater) advanceCursor(name string, cursor uint64) {
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	known := heartbeater.getOrCreatePeer(name)
	known.changeCursor = max(known.changeCursor, cursor)
}

// handleHeartbeat merges the heartbeat of another VM and returns the local one.
func (heartbeater *Heartbeater) handleHeartbeat(_ context.Context, from string, decode func(any) error) (any, error) {
	var message heartbeat
	if err := decode(&message); err != nil {
		return nil, err
	}
	if from == heartbeater.Self.Name {
		return nil, answerer.New(answerer.Malformed, "heartbeat of another process with the name %q of this VM", from)
	}
	heartbeater.mutex.Lock()
	heartbeater.getOrCreatePeer(from).lastCallAt = heartbeater.Clock.Now()
	heartbeater.mutex.Unlock()
	heartbeater.mergeMessage(from, message)
	answer := heartbeater.newMessage(from)
	cursor := heartbeater.appendChanges(from, answer)
	// Responses are not acknowledged. If this one is lost, the peer learns of the
	// changes in it from its other neighbors.
	heartbeater.advanceCursor(from, cursor)
	return answer, nil
}

// getOrCreatePeer returns the state of the exchanges with the VM and updates its
// time of last use. The mutex must be held.
func (heartbeater *Heartbeater) getOrCreatePeer(name string) *peerState {
	known := heartbeater.peers[name]
	if known == nil {
		known = &peerState{}
		heartbeater.peers[name] = known
	}
	known.lastUsedAt = heartbeater.Clock.Now()
	return known
}

// newMessage returns a heartbeat for the peer, without entries. The description
// and the payload are included only if the peer has not acknowledged them.
func (heartbeater *Heartbeater) newMessage(name string) *heartbeat {
	leaving := heartbeater.Leaving != nil && heartbeater.Leaving()
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	known := heartbeater.getOrCreatePeer(name)
	message := &heartbeat{
		Incarnation: heartbeater.Self.Incarnation, Leaving: leaving, PayloadVersion: heartbeater.payloadVersion, AckedVersion: known.receivedVersion,
	}
	if known.ackedVersion == 0 {
		self := heartbeater.Self
		message.Self = &description{self.Zone, self.Address, self.OperatorAddress}
	}
	if known.ackedVersion != heartbeater.payloadVersion {
		message.Payload = cbor.RawMessage(heartbeater.payload)
	}
	return message
}

// appendChanges adds entries for VMs that changed to the message, and returns the
// peer's cursor to store after the message was sent.
func (heartbeater *Heartbeater) appendChanges(name string, message *heartbeat) uint64 {
	heartbeater.mutex.Lock()
	names, cursor := heartbeater.changes.nextNames(name, heartbeater.getOrCreatePeer(name).changeCursor, heartbeater.Clock.Now())
	heartbeater.mutex.Unlock()
	if len(names) > 0 {
		for _, known := range heartbeater.Tracker.Entries(names...) {
			message.Entries = append(message.Entries, newEntry(known))
		}
	}
	return cursor
}

// mergeMessage applies a heartbeat of the peer. Messages are merged one at a time,
// so that OnPayload receives the payloads of a peer in order.
func (heartbeater *Heartbeater) mergeMessage(from string, message heartbeat) {
	heartbeater.withSource(from, func() {
		vm, payload, ok := heartbeater.updatePeer(from, message)
		if !ok {
			return
		}
		heartbeater.Tracker.RecordHeartbeat(vm)
		heartbeater.reportEntries(message.Entries)
		if payload != nil && heartbeater.OnPayload != nil {
			heartbeater.OnPayload(from, func(value any) error { return cbor.Unmarshal(payload, value) })
		}
	})
}

// reportEntries passes information about third VMs to the tracker.
func (heartbeater *Heartbeater) reportEntries(received []entry) {
	if len(received) == 0 {
		return
	}
	entries := make([]tracker.Entry, 0, len(received))
	for _, entry := range received {
		entries = append(entries, entry.toTracker())
	}
	heartbeater.Tracker.MergeEntries(entries)
}

// updatePeer updates the state of the peer, and returns its VM and, if it changed,
// its payload. ok is false for a message from an earlier process of the VM, and
// for one from a new process that lacks the process's description.
func (heartbeater *Heartbeater) updatePeer(from string, message heartbeat) (vm tracker.VM, payload []byte, ok bool) {
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	known := heartbeater.getOrCreatePeer(from)
	if message.Incarnation < known.incarnation {
		return vm, nil, false
	}
	if message.Incarnation > known.incarnation {
		// The versions that the earlier process sent or acknowledged do not apply
		// to the new one.
		known.receivedVersion, known.ackedVersion = 0, 0
		if message.Self == nil {
			return vm, nil, false
		}
		known.incarnation = message.Incarnation
	}
	if message.Self != nil {
		known.lastDescription = *message.Self
	}
	if message.AckedVersion <= heartbeater.payloadVersion {
		known.ackedVersion = message.AckedVersion
	}
	if message.PayloadVersion > known.receivedVersion {
		known.receivedVersion = message.PayloadVersion
		payload = message.Payload
	}
	return known.lastDescription.toVM(from, message.Incarnation, message.Leaving), payload, true
}

// withSource runs change, which updates the tracker, with mergeSource set to the
// peer. An empty name stands for the seeds, the platform's list or a page of
// members.
func (heartbeater *Heartbeater) withSource(from string, change func()) {
	heartbeater.mergeMutex.Lock()
	defer heartbeater.mergeMutex.Unlock()
	heartbeater.setMergeSource(from)
	change()
	heartbeater.setMergeSource("")
}

func (heartbeater *Heartbeater) setMergeSource(from string) {
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	heartbeater.mergeSource = from
}

// timeSince returns the time that has elapsed since at on Clock.
func (heartbeater *Heartbeater) timeSince(at time.Time) time.Duration {
	return heartbeater.Clock.Now().Sub(at)
}
