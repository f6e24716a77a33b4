package heartbeater

import (
	"context"
	"time"

	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"

	"github.com/fxamacker/cbor/v2"
)

// exchange calls the neighbour once. A failure needs no other reaction than the
// silence that the tracker notices.
func (heartbeater *Heartbeater) exchange(ctx context.Context, name string, interval time.Duration) {
	// The same bound as for suspicion: a later answer is of no use.
	ctx, cancel := clocker.WithTimeout(ctx, heartbeater.Clock, 4*interval)
	defer cancel()
	message := heartbeater.compose(name)
	cursor := heartbeater.addEntries(name, message)
	var answer heartbeat
	if heartbeater.Caller.Call(ctx, name, methodHeartbeat, message, &answer) != nil {
		return
	}
	heartbeater.advance(name, cursor)
	heartbeater.merge(name, answer)
}

// advance notes that the peer has been told the changes before the cursor.
func (heartbeater *Heartbeater) advance(name string, cursor uint64) {
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	known := heartbeater.peer(name)
	known.cursor = max(known.cursor, cursor)
}

// answer handles the call of another VM.
func (heartbeater *Heartbeater) answer(_ context.Context, from string, decode func(any) error) (any, error) {
	var message heartbeat
	if err := decode(&message); err != nil {
		return nil, err
	}
	if from == heartbeater.Self.Name {
		return nil, answerer.New(answerer.Malformed, "heartbeat of another process with the name %q of this VM", from)
	}
	heartbeater.mutex.Lock()
	heartbeater.peer(from).called = heartbeater.Clock.Now()
	heartbeater.mutex.Unlock()
	heartbeater.merge(from, message)
	answer := heartbeater.compose(from)
	cursor := heartbeater.addEntries(from, answer)
	// An answer is not confirmed. A change that is lost with it reaches the peer
	// through its other neighbours.
	heartbeater.advance(from, cursor)
	return answer, nil
}

// peer returns the state of the VM. The mutex is held.
func (heartbeater *Heartbeater) peer(name string) *peer {
	known := heartbeater.peers[name]
	if known == nil {
		known = &peer{}
		heartbeater.peers[name] = known
	}
	known.used = heartbeater.Clock.Now()
	return known
}

// compose returns the message for the peer.
func (heartbeater *Heartbeater) compose(name string) *heartbeat {
	leaving := heartbeater.Leaving != nil && heartbeater.Leaving()
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	known := heartbeater.peer(name)
	message := &heartbeat{
		Incarnation: heartbeater.Self.Incarnation, Leaving: leaving, Version: heartbeater.version, Seen: known.received,
	}
	if known.confirmed == 0 {
		self := heartbeater.Self
		message.Self = &description{self.Zone, self.Address, self.OperatorAddress}
	}
	if known.confirmed != heartbeater.version {
		message.Payload = cbor.RawMessage(heartbeater.payload)
	}
	return message
}

// addEntries adds the next changes of other VMs to the message, and returns the
// peer's cursor once it has arrived.
func (heartbeater *Heartbeater) addEntries(name string, message *heartbeat) uint64 {
	heartbeater.mutex.Lock()
	names, cursor := heartbeater.rumors.next(name, heartbeater.peer(name).cursor, heartbeater.Clock.Now())
	heartbeater.mutex.Unlock()
	if len(names) > 0 {
		for _, known := range heartbeater.Tracker.Entries(names...) {
			message.Entries = append(message.Entries, toEntry(known))
		}
	}
	return cursor
}

// merge takes over a message of the peer. Messages are merged one at a time, so
// that Receive is given the payloads of a peer in their order.
func (heartbeater *Heartbeater) merge(from string, message heartbeat) {
	heartbeater.tell(from, func() {
		vm, payload, ok := heartbeater.note(from, message)
		if !ok {
			return
		}
		heartbeater.Tracker.RecordHeartbeat(vm)
		heartbeater.toldBy(message.Entries)
		if payload != nil && heartbeater.OnPayload != nil {
			heartbeater.OnPayload(from, func(value any) error { return cbor.Unmarshal(payload, value) })
		}
	})
}

func (heartbeater *Heartbeater) toldBy(received []entry) {
	if len(received) == 0 {
		return
	}
	entries := make([]tracker.Entry, 0, len(received))
	for _, entry := range received {
		entries = append(entries, entry.tracked())
	}
	heartbeater.Tracker.MergeEntries(entries)
}

// note updates the state of the peer. It reports false for a message of a
// former process, and for one of a new process that has not described itself.
func (heartbeater *Heartbeater) note(from string, message heartbeat) (vm tracker.VM, payload []byte, ok bool) {
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	known := heartbeater.peer(from)
	if message.Incarnation < known.incarnation {
		return vm, nil, false
	}
	if message.Incarnation > known.incarnation {
		// Nothing that the former process had confirmed or sent holds.
		known.received, known.confirmed = 0, 0
		if message.Self == nil {
			return vm, nil, false
		}
		known.incarnation = message.Incarnation
	}
	if message.Self != nil {
		known.described = *message.Self
	}
	if message.Seen <= heartbeater.version {
		known.confirmed = message.Seen
	}
	if message.Version > known.received {
		known.received = message.Version
		payload = message.Payload
	}
	return known.described.vm(from, message.Incarnation, message.Leaving), payload, true
}

// tell runs change, which tells the tracker what the peer has sent.
func (heartbeater *Heartbeater) tell(from string, change func()) {
	heartbeater.merging.Lock()
	defer heartbeater.merging.Unlock()
	heartbeater.setSource(from)
	change()
	heartbeater.setSource("")
}

func (heartbeater *Heartbeater) setSource(from string) {
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	heartbeater.source = from
}

// elapsed returns the time since at.
func (heartbeater *Heartbeater) elapsed(at time.Time) time.Duration {
	return heartbeater.Clock.Now().Sub(at)
}
