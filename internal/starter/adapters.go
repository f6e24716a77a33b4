package starter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/internal/syncer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

// objects reads from the platform and writes through the store, so that this VM
// and its peers see a write without waiting for a watch.
type objects struct {
	api   platformer.API
	store *syncer.Store
}

// Get implements replicator.Objects.
func (objects objects) Get(ctx context.Context, name string) (platformer.Object, error) {
	return objects.api.Get(ctx, name)
}

// Put implements replicator.Objects.
func (objects objects) Put(ctx context.Context, name string, value []byte, version string) (string, error) {
	return objects.store.Put(ctx, name, value, version)
}

// liveness tells the groups what the tracker knows. The local VM is always
// alive.
type liveness struct {
	tracker    *tracker.Tracker
	clock      clocker.Clock
	name, zone string
}

// Alive implements replicator.Liveness.
func (liveness liveness) Alive(vm string) bool {
	return vm == liveness.name || directory{liveness.tracker}.Alive(vm)
}

// Gone implements replicator.Liveness.
func (liveness liveness) Gone(vm string) (time.Time, bool) {
	absence, ok := liveness.tracker.AbsentFor(vm)
	if !ok || vm == liveness.name {
		return time.Time{}, false
	}
	return liveness.clock.Now().Add(-absence), true
}

// Leaving implements replicator.Liveness.
func (liveness liveness) Leaving(vm string) bool {
	member, ok := liveness.tracker.Snapshot().Member(vm)
	return ok && member.State == tracker.Leaving
}

// VMs implements replicator.Liveness.
func (liveness liveness) VMs() map[string][]string {
	vms := map[string][]string{liveness.zone: {liveness.name}}
	for _, member := range liveness.tracker.Peers("") {
		vms[member.Zone] = append(vms[member.Zone], member.Name)
	}
	return vms
}

// assignmentObject is the platform's object assignments/<group>.
type assignmentObject struct {
	Revision   uint64                `json:"revision"`
	WriteID    string                `json:"writeId"`
	Assignment replicator.Assignment `json:"assignment"`
}

// errNewerAssignment means that another holder has written a newer assignment.
var errNewerAssignment = errors.New("the platform has a newer assignment")

// persist writes the assignment of a group to the platform.
func (members *members) persist(ctx context.Context, id string, assignment replicator.Assignment) error {
	name := syncer.AssignmentsPrefix + id
	known, exists := members.store.Get(name)
	next := assignmentObject{Revision: 1, WriteID: uuid.NewString(), Assignment: assignment}
	if exists {
		var former assignmentObject
		if err := json.Unmarshal(known.Value, &former); err != nil {
			return fmt.Errorf("object %s: %w", name, err)
		}
		if former.Assignment.Newer(assignment) {
			return errNewerAssignment
		}
		if !assignment.Newer(former.Assignment) {
			return nil // the platform has it, as after most takeovers
		}
		next.Revision = former.Revision + 1
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("object %s: %w", name, err)
	}
	if _, err := members.store.Put(ctx, name, value, known.Version); err != nil {
		return fmt.Errorf("object %s: %w", name, err)
	}
	return nil
}
