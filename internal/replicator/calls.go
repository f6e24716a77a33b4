package replicator

import (
	"context"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/linker"
)

// Register registers the handlers of all control calls of this package.
func (manager *Manager) Register(registrar linker.Registrar) {
	for _, method := range Methods() {
		registrar.Handle(method, func(ctx context.Context, from string, decode func(any) error) (any, error) {
			body := newCallBody(method)
			if err := decode(body); err != nil {
				return nil, fmt.Errorf("body of call %q: %w", method, err)
			}
			return manager.handleCall(ctx, from, method, body)
		})
	}
}

// groupCall is the body of a control call, each of which is about one group.
type groupCall interface {
	groupID() string
	// senderRecord returns the newest record that the sender knows, or nil.
	senderRecord() *Record
	// invited reports whether the receiver should start the group although the
	// record does not name it.
	invited() bool
}

func (header header) groupID() string         { return header.Group }
func (header header) senderRecord() *Record   { return &header.Record }
func (header header) invited() bool           { return false }
func (call promiseCall) invited() bool        { return call.Invited }
func (call holderCall) groupID() string       { return call.Group }
func (call holderCall) senderRecord() *Record { return call.Record }
func (call holderCall) invited() bool         { return false }

// handleCall passes the call to its group, and starts the group first if the
// record of the call or an invitation places it on this VM.
func (manager *Manager) handleCall(ctx context.Context, from, method string, body any) (any, error) {
	call, ok := body.(groupCall)
	if !ok {
		return nil, fmt.Errorf("method %q is not answered", method)
	}
	if record := call.senderRecord(); record != nil && record.ID == call.groupID() {
		manager.rememberRecord(*record)
	}
	group, ok := manager.Group(call.groupID())
	if !ok {
		group = manager.joinGroup(call)
	}
	if group != nil {
		return group.HandleCall(ctx, from, method, body)
	}
	if method == methodHolder {
		record, known := manager.record(call.groupID())
		if known {
			return HolderReply{Record: &record}, nil
		}
		return HolderReply{}, nil
	}
	return nil, fmt.Errorf("group %s: %w", call.groupID(), ErrNotMember)
}

// joinGroup starts a group that the newest record places on this VM or to which
// the holder has invited it. It returns nil if neither is the case, if no
// document lists the group, or while this VM stops.
func (manager *Manager) joinGroup(call groupCall) *Group {
	manager.mutex.Lock()
	ready := manager.ctx != nil && !manager.closed && !manager.retired
	manager.mutex.Unlock()
	record, known := manager.record(call.groupID())
	if !ready || !known || !call.invited() && !slices.Contains(record.members(), manager.VM) {
		return nil
	}
	specs := manager.Specs()
	index := slices.IndexFunc(specs, func(spec configurer.GroupSpec) bool { return spec.ID == call.groupID() })
	if index < 0 {
		return nil
	}
	return manager.start(specs[index], record)
}

// loopback is a linker.Caller that handles calls to this VM itself. It encodes
// them as the network does, so that sender and receiver share no data.
type loopback struct{ manager *Manager }

// Call makes a control call to vm and decodes its result into answer.
func (loopback loopback) Call(ctx context.Context, vm, method string, body, answer any) error {
	manager := loopback.manager
	if vm != manager.VM {
		return manager.Caller.Call(ctx, vm, method, body, answer)
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	ownBody := newCallBody(method)
	if err := cbor.Unmarshal(data, ownBody); err != nil {
		return err
	}
	result, err := manager.handleCall(ctx, vm, method, ownBody)
	if err != nil {
		return err
	}
	if data, err = cbor.Marshal(result); err != nil {
		return err
	}
	return cbor.Unmarshal(data, answer)
}
