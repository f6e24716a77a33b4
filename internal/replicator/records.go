package replicator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	platformTimeout = time.Second
	// readBacks bounds the attempts to find out what became of a write, before
	// it is left to a later look.
	readBackAttempts = 3
	readBackDelay    = 200 * time.Millisecond
)

// errNotWritten means that another VM has written the record first.
var errNotWritten = errors.New("record was changed by another VM")

// learn keeps the record if it is newer than the known one.
func (manager *Manager) rememberRecord(record Record) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.records == nil {
		manager.records = map[string]Record{}
	}
	if record.Revision > manager.records[record.ID].Revision {
		manager.records[record.ID] = record
	}
}

// record returns the newest known record.
func (manager *Manager) record(id string) (Record, bool) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	record, ok := manager.records[id]
	return record, ok
}

// read learns the record from the newest known object, without a call.
func (manager *Manager) loadCachedRecord(id string) {
	value, ok := manager.CachedObject(recordObjectName(id))
	if !ok {
		return
	}
	if record, err := decodeRecord(id, value); err == nil {
		manager.rememberRecord(record)
	}
}

func decodeRecord(id string, value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fmt.Errorf("record of group %s: %w", id, err)
	}
	if record.ID != id || len(record.Candidates) == 0 {
		return Record{}, fmt.Errorf("record of group %s names group %q and %d candidates", id, record.ID, len(record.Candidates))
	}
	return record, nil
}

// fetch reads the record from the platform and learns it.
func (manager *Manager) fetchRecord(ctx context.Context, id string) (Record, string, error) {
	ctx, cancel := clocker.WithTimeout(ctx, manager.Clock, platformTimeout)
	defer cancel()
	object, err := manager.Objects.Get(ctx, recordObjectName(id))
	if err != nil {
		return Record{}, "", err
	}
	record, err := decodeRecord(id, object.Value)
	if err != nil {
		return Record{}, "", err
	}
	manager.rememberRecord(record)
	return record, object.Version, nil
}

// write replaces the record that has the revision before the given one; revision
// 1 creates it. After a lost answer it reads the record back and compares the
// writeId. An error other than errNotWritten leaves the outcome open; resolve
// finds out later.
func (manager *Manager) writeRecord(ctx context.Context, record Record) error {
	record.WriteID = uuid.NewString()
	before, version, err := manager.fetchRecord(ctx, record.ID)
	switch {
	case errors.Is(err, platformer.ErrNotFound) && record.Revision == 1:
	case err != nil:
		return errors.Join(errNotWritten, err)
	case before.Revision+1 != record.Revision:
		return errNotWritten
	}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Join(errNotWritten, err)
	}
	manager.withRepairState(record.ID, func(state *repairState) { state.pendingWrite = &record })
	err = manager.putRecord(ctx, record.ID, value, version)
	if err == nil {
		manager.clearPendingWrite(record.ID)
		manager.rememberRecord(record)
		return nil
	}
	if errors.Is(err, platformer.ErrRateLimited) {
		manager.clearPendingWrite(record.ID)
		return errors.Join(errNotWritten, err)
	}
	for range readBackAttempts {
		if written, known := manager.resolveWrite(ctx, record.ID); known {
			if written {
				return nil
			}
			return errNotWritten
		}
		if sleepErr := clocker.Sleep(ctx, manager.Clock, readBackDelay); sleepErr != nil {
			return sleepErr
		}
	}
	return fmt.Errorf("record of group %s: outcome of the write is not known: %w", record.ID, err)
}

func (manager *Manager) putRecord(ctx context.Context, id string, value []byte, version string) error {
	ctx, cancel := clocker.WithTimeout(ctx, manager.Clock, platformTimeout)
	defer cancel()
	_, err := manager.Objects.Put(ctx, recordObjectName(id), value, version)
	return err
}

// resolve finds out whether the last write of this VM has taken effect. A write
// whose request is still under way may take effect after it was not found; its
// version then no longer matches once any other write has succeeded.
func (manager *Manager) resolveWrite(ctx context.Context, id string) (written, known bool) {
	var pending *Record
	manager.withRepairState(id, func(state *repairState) { pending = state.pendingWrite })
	if pending == nil {
		return false, true
	}
	record, _, err := manager.fetchRecord(ctx, id)
	switch {
	case errors.Is(err, platformer.ErrNotFound):
		manager.clearPendingWrite(id)
		return false, true
	case err != nil:
		return false, false
	}
	manager.clearPendingWrite(id)
	return record.WriteID == pending.WriteID, true
}

// settle forgets the write whose outcome is now known.
func (manager *Manager) clearPendingWrite(id string) {
	manager.withRepairState(id, func(state *repairState) { state.pendingWrite = nil })
}

// watched calls function with the notes on a group, under the mutex.
func (manager *Manager) withRepairState(id string, function func(*repairState)) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	state := manager.repairStates[id]
	if state == nil {
		state = &repairState{unresponsiveSince: map[string]time.Time{}}
		manager.repairStates[id] = state
	}
	function(state)
}
