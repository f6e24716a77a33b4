// Package enroller registers a VM in the platform's store and follows the entries of
// the other VMs. It also provides the shared key with which VMs authenticate to each
// other.
package enroller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Kinds and names of objects in the store.
const (
	KindVMs  = "cuminstream-vms"
	kindKeys = "cuminstream-keys"
	linkKey  = "link"
)

// VM is the entry in which a VM registers itself.
type VM struct {
	Address string `json:"address"` // host:port of the listener for links
	Zone    string `json:"zone"`
	Boot    string `json:"boot"` // unique ID of the process
	// CPUShare is the CPU time that the VM may use, in cores.
	CPUShare float64 `json:"cpuShare,omitempty"`
}

type keyRecord struct {
	Key string `json:"key"`
	// Era is the era of the store in which the key was created.
	Era uint64 `json:"era,omitempty"`
}

// Enroller registers this VM and knows the others. The exported fields must be set
// before its first use.
type Enroller struct {
	Name  string
	Self  VM
	Store storer.Store
	Clock clocker.Clock
	Log   *slog.Logger
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool

	mutex sync.Mutex
	vms   map[string]VM
	names []string // the sorted keys of vms; nil after a change
	key   keyRecord
	// era is the latest one of the store that this VM knows, writtenIn the one in which it
	// wrote its entry, and listedIn the one of the last list.
	era, writtenIn, listedIn uint64
	// missing are the VMs that are kept until missingUntil although a restored store lacks
	// their entries.
	missing      map[string]bool
	missingUntil time.Time
}

const (
	keyBytes      = 32
	retryInterval = 150 * time.Millisecond
	// watchDelay gives VMs that start together time to register before the next
	// watch, so that it returns them all.
	watchDelay = time.Second
)

// LinkKey returns the key that all VMs share. The first VM generates it. It retries
// until it has the key or ctx is done.
func (enroller *Enroller) LinkKey(ctx context.Context) ([]byte, error) {
	began := enroller.Clock.Now()
	for {
		key, err := enroller.fetchOrCreateKey(ctx, began)
		if err == nil {
			return key, nil
		}
		enroller.Log.Warn("cannot get the link key", "error", err.Error())
		if err := clocker.Sleep(ctx, enroller.Clock, retryInterval); err != nil {
			return nil, err
		}
	}
}

func (enroller *Enroller) fetchOrCreateKey(ctx context.Context, began time.Time) ([]byte, error) {
	object, err := enroller.Store.Get(ctx, kindKeys, linkKey)
	for errors.Is(err, storer.ErrNotFound) && enroller.awaitKey(ctx, object.Era, began) {
		object, err = enroller.Store.Get(ctx, kindKeys, linkKey)
	}
	if errors.Is(err, storer.ErrNotFound) {
		generated := make([]byte, keyBytes)
		if _, err := rand.Read(generated); err != nil {
			return nil, err
		}
		// If another VM was faster or the response was lost, the next attempt reads
		// the stored key.
		object, err = enroller.Store.Create(ctx, kindKeys, linkKey, keyRecord{Key: hex.EncodeToString(generated), Era: object.Era})
		if storer.HasCurrentObject(object, err) {
			err = nil // object has the key that another VM has generated
		}
	}
	if err != nil {
		return nil, err
	}
	var record keyRecord
	if err := json.Unmarshal(object.Spec, &record); err != nil {
		return nil, fmt.Errorf("link key: %w", err)
	}
	return enroller.decodeKey(record)
}

// Register registers this VM and replaces the entry of an earlier process. It retries
// until it succeeds or ctx is done.
func (enroller *Enroller) Register(ctx context.Context) error {
	for {
		err := enroller.registerOnce(ctx)
		if err == nil {
			enroller.Log.Info("VM registered", "address", enroller.Self.Address, "boot", enroller.Self.Boot)
			return nil
		}
		enroller.Log.Warn("cannot register this VM", "error", err.Error())
		if err := clocker.Sleep(ctx, enroller.Clock, retryInterval); err != nil {
			return err
		}
	}
}

func (enroller *Enroller) registerOnce(ctx context.Context) error {
	object, err := enroller.Store.Create(ctx, KindVMs, enroller.Name, enroller.Self)
	if err == nil {
		enroller.recordWrite(object)
		return nil
	}
	if errors.Is(err, storer.ErrRefused) {
		return err
	}
	// An earlier process has registered, or the response to Create was lost.
	if !storer.HasCurrentObject(object, err) {
		if object, err = enroller.Store.Get(ctx, KindVMs, enroller.Name); err != nil {
			return err
		}
	}
	var stored VM
	if err := json.Unmarshal(object.Spec, &stored); err == nil && stored == enroller.Self {
		enroller.recordWrite(object)
		return nil
	}
	object, err = enroller.Store.Replace(ctx, KindVMs, enroller.Name, object.Version(), enroller.Self)
	if err == nil {
		enroller.recordWrite(object)
	}
	return err
}

// recordWrite records the era in which the store has this VM's entry.
func (enroller *Enroller) recordWrite(object storer.Object) {
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	enroller.writtenIn = max(enroller.writtenIn, object.Era)
}

// NewFollower returns a follower that keeps the registered VMs up to date.
func (enroller *Enroller) NewFollower() *storer.Follower {
	created := &storer.Follower{
		Store: enroller.Store, Kind: KindVMs, Clock: enroller.Clock, Log: enroller.Log, WatchDelay: func() time.Duration { return watchDelay },
		OnChanges: func(changes []storer.Change) {
			for _, change := range changes {
				if change.Deleted {
					enroller.remove(change.Object.Name)
				} else {
					enroller.update(change.Object)
				}
			}
		},
	}
	created.OnList = func(objects []storer.Object) { enroller.replace(objects, created.Era()) }
	return created
}

// replace replaces the entries of all VMs at once. With a part of them, a few VMs would
// count as a majority.
func (enroller *Enroller) replace(objects []storer.Object, era uint64) {
	vms := make(map[string]VM, len(objects))
	for _, object := range objects {
		if vm, ok := enroller.decode(object); ok {
			vms[object.Name] = vm
		}
	}
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	for _, object := range objects {
		if vm, ok := vms[object.Name]; ok {
			enroller.logChange(object, vm)
		}
	}
	enroller.keepMissing(vms, era)
	enroller.vms, enroller.names = vms, nil
}

func (enroller *Enroller) remove(name string) {
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	delete(enroller.vms, name)
	delete(enroller.missing, name)
	enroller.names = nil
}

// decode decodes an entry, and logs if it cannot be decoded.
func (enroller *Enroller) decode(object storer.Object) (vm VM, ok bool) {
	if err := json.Unmarshal(object.Spec, &vm); err != nil {
		enroller.Log.Warn("cannot decode the entry of a VM", "peer", object.Name, "error", err.Error())
		return VM{}, false
	}
	return vm, true
}

// logChange logs an entry that is new or differs from the known one. The mutex must be
// held.
func (enroller *Enroller) logChange(object storer.Object, vm VM) {
	if enroller.vms[object.Name] != vm {
		enroller.Log.Info("entry of a VM is new or has changed", "peer", object.Name, "address", vm.Address, "zone", vm.Zone, "boot", vm.Boot, "revision", object.Revision)
	}
}

func (enroller *Enroller) update(object storer.Object) {
	vm, ok := enroller.decode(object)
	if !ok {
		return
	}
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	if enroller.vms == nil {
		enroller.vms = map[string]VM{}
	}
	enroller.logChange(object, vm)
	enroller.vms[object.Name] = vm
	delete(enroller.missing, object.Name)
	enroller.names = nil
}

// VMs returns the names of all registered VMs in alphabetical order. The slice must not
// be changed: it is shared until the list changes.
func (enroller *Enroller) VMs() []string {
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	if enroller.names == nil {
		enroller.names = slices.Sorted(maps.Keys(enroller.vms))
	}
	return enroller.names
}

// IsAmongLargest reports whether this VM is one of the count registered VMs that come
// first by CPU share, which is at least half of the largest, and then by a hash of the
// name. It is not as long as no VM is known.
func (enroller *Enroller) IsAmongLargest(count int) bool {
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	own, ownHash := enroller.Self.CPUShare, xxhash.Sum64String(enroller.Name)
	before, largest := 0, own
	for name, vm := range enroller.vms {
		largest = max(largest, vm.CPUShare)
		if name != enroller.Name && (vm.CPUShare > own || (vm.CPUShare == own && xxhash.Sum64String(name) > ownHash)) {
			before++
		}
	}
	return len(enroller.vms) > 0 && before < count && own >= largest/2
}

// CPUShare returns the CPU time that the VM may use, in cores; 0 if it is not known.
func (enroller *Enroller) CPUShare(vm string) float64 {
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	return enroller.vms[vm].CPUShare
}

// Zone returns the availability zone of the VM; empty if it is not known.
func (enroller *Enroller) Zone(vm string) string {
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	return enroller.vms[vm].Zone
}

// LinkAddress implements linker.Directory.
func (enroller *Enroller) LinkAddress(vm string) (address string, ok bool) {
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	known, ok := enroller.vms[vm]
	return known.Address, ok
}
