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

// platformObjects implements replicator.Objects. It reads from the platform and
// writes through the store, so that this VM and its peers see a write before any
// watch delivers it.
type platformObjects struct {
	api   platformer.API
	store *syncer.Store
}

// Get implements replicator.Objects.
func (platform platformObjects) Get(ctx context.Context, name string) (platformer.Object, error) {
	return platform.api.Get(ctx, name)
}

// Put implements replicator.Objects.
func (platform platformObjects) Put(ctx context.Context, name string, value []byte, version string) (string, error) {
	return platform.store.Put(ctx, name, value, version)
}

// liveness implements replicator.Liveness on top of the tracker. The local VM is
// always alive.
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

// assignmentObject is the content of the platform object assignments/<group>.
type assignmentObject struct {
	Revision   uint64                `json:"revision"`
	WriteID    string                `json:"writeId"`
	Assignment replicator.Assignment `json:"assignment"`
}

// errNewerAssignment reports that another holder has written a newer assignment.
var errNewerAssignment = errors.New("the platform has a newer assignment")

// persist writes the assignment of a group to the platform unless the platform
// already has it.
func (groups *localGroups) persist(ctx context.Context, id string, assignment replicator.Assignment) error {
	name := syncer.AssignmentsPrefix + id
	current, exists := groups.store.Get(name)
	object := assignmentObject{Revision: 1, WriteID: uuid.NewString(), Assignment: assignment}
	if exists {
		var previous assignmentObject
		if err := json.Unmarshal(current.Value, &previous); err != nil {
			return fmt.Errorf("object %s: %w", name, err)
		}
		if previous.Assignment.Newer(assignment) {
			return errNewerAssignment
		}
		if !assignment.Newer(previous.Assignment) {
			return nil // already stored, as after most takeovers
		}
		object.Revision = previous.Revision + 1
	}
	value, err := json.Marshal(object)
	if err != nil {
		return fmt.Errorf("object %s: %w", name, err)
	}
	if _, err := groups.store.Put(ctx, name, value, current.Version); err != nil {
		return fmt.Errorf("object %s: %w", name, err)
	}
	return nil
}
