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
	// readBackAttempts limits how often writeRecord reads a record back to find out
	// the outcome of the write. After that, a later step resolves it.
	readBackAttempts = 3
	readBackDelay    = 200 * time.Millisecond
)

// errNotWritten means that the write had no effect, in most cases because another
// VM wrote the record first.
var errNotWritten = errors.New("record was changed by another VM")

// rememberRecord keeps the record if it is newer than the known one.
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

// record returns the newest known record of the group.
func (manager *Manager) record(id string) (Record, bool) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	record, ok := manager.records[id]
	return record, ok
}

// loadCachedRecord remembers the record in the cached object, without a call to
// the platform.
func (manager *Manager) loadCachedRecord(id string) {
	value, ok := manager.CachedObject(recordObjectName(id))
	if !ok {
		return
	}
	if record, err := decodeRecord(id, value); err == nil {
		manager.rememberRecord(record)
	}
}

// decodeRecord decodes the record of the group and checks that it is one.
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

// fetchRecord reads the record and its version from the platform and remembers it.
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

// writeRecord writes the record if the stored one has the preceding revision.
// Revision 1 creates it. If the answer of the write is lost, writeRecord reads the
// record back and compares the write ID. After an error other than errNotWritten,
// the write may or may not have taken effect, which resolveWrite finds out later.
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

// resolveWrite reports whether the last write of this VM has taken effect, and
// whether that could be found out. A write that was not found may still take
// effect if its request is delayed. It cannot once any other write has succeeded,
// because its version no longer matches.
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

// clearPendingWrite forgets the write of the group whose outcome is now known.
func (manager *Manager) clearPendingWrite(id string) {
	manager.withRepairState(id, func(state *repairState) { state.pendingWrite = nil })
}

// withRepairState calls function with the repair state of the group, under the
// mutex.
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
