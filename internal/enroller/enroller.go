// Package enroller registers a VM in the platform's store and follows the other
// VMs there. It also keeps the key with which VMs prove to each other that they
// belong to the same system.
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

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Kinds of the objects in the store.
const (
	KindVMs  = "cuminstream-vms"
	kindKeys = "cuminstream-keys"
	linkKey  = "link"
)

// VM is what a VM says of itself.
type VM struct {
	Address string `json:"address"` // host:port for links
	Zone    string `json:"zone"`
	Boot    string `json:"boot"`
	// CPUShare is the processor that the VM has, in cores.
	CPUShare float64 `json:"cpuShare,omitempty"`
}

type keyRecord struct {
	Key string `json:"key"`
}

// Enroller registers this VM. The exported fields are set before its first use.
type Enroller struct {
	Name  string
	Self  VM
	Store storer.Store
	Clock clocker.Clock
	Log   *slog.Logger

	mutex sync.Mutex
	known map[string]VM
}

const (
	keyBytes  = 32
	retryWait = 150 * time.Millisecond
	// changePause lets VMs that start together register before the next watch.
	changePause = time.Second
)

// LinkKey returns the key that all VMs share. The first VM makes it. It tries until
// the store answers or ctx ends.
func (enroller *Enroller) LinkKey(ctx context.Context) ([]byte, error) {
	for {
		key, err := enroller.tryKey(ctx)
		if err == nil {
			return key, nil
		}
		enroller.Log.Warn("link key not available", "error", err.Error())
		if err := clocker.Sleep(ctx, enroller.Clock, retryWait); err != nil {
			return nil, err
		}
	}
}

func (enroller *Enroller) tryKey(ctx context.Context) ([]byte, error) {
	object, err := enroller.Store.Get(ctx, kindKeys, linkKey)
	if errors.Is(err, storer.ErrNotFound) {
		made := make([]byte, keyBytes)
		if _, err := rand.Read(made); err != nil {
			return nil, err
		}
		// When another VM was faster, or the answer was lost, the next try reads
		// the key that is stored.
		object, err = enroller.Store.Create(ctx, kindKeys, linkKey, keyRecord{Key: hex.EncodeToString(made)})
		if storer.HasCurrentObject(object, err) {
			err = nil // the key that another VM has made
		}
	}
	if err != nil {
		return nil, err
	}
	var record keyRecord
	if err := json.Unmarshal(object.Spec, &record); err != nil {
		return nil, fmt.Errorf("link key: %w", err)
	}
	return hex.DecodeString(record.Key)
}

// Register registers this VM, replacing what an earlier process has written. It
// tries until the store answers or ctx ends.
func (enroller *Enroller) Register(ctx context.Context) error {
	for {
		err := enroller.tryEnroll(ctx)
		if err == nil {
			enroller.Log.Info("VM registered", "address", enroller.Self.Address, "boot", enroller.Self.Boot)
			return nil
		}
		enroller.Log.Warn("VM not registered", "error", err.Error())
		if err := clocker.Sleep(ctx, enroller.Clock, retryWait); err != nil {
			return err
		}
	}
}

func (enroller *Enroller) tryEnroll(ctx context.Context) error {
	object, err := enroller.Store.Create(ctx, KindVMs, enroller.Name, enroller.Self)
	if err == nil || errors.Is(err, storer.ErrRefused) {
		return err
	}
	// An earlier process has registered, or the answer was lost.
	if !storer.HasCurrentObject(object, err) {
		if object, err = enroller.Store.Get(ctx, KindVMs, enroller.Name); err != nil {
			return err
		}
	}
	var stored VM
	if err := json.Unmarshal(object.Spec, &stored); err == nil && stored == enroller.Self {
		return nil
	}
	_, err = enroller.Store.Replace(ctx, KindVMs, enroller.Name, object.Revision, enroller.Self)
	return err
}

// NewFollower returns the follower of the registered VMs.
func (enroller *Enroller) NewFollower() *storer.Follower {
	return &storer.Follower{
		Store: enroller.Store, Kind: KindVMs, Clock: enroller.Clock, Log: enroller.Log, WatchDelay: func() time.Duration { return changePause },
		OnList: func(objects []storer.Object) {
			enroller.mutex.Lock()
			enroller.known = map[string]VM{}
			enroller.mutex.Unlock()
			for _, object := range objects {
				enroller.put(object)
			}
		},
		OnChange: func(change storer.Change) {
			if !change.Deleted {
				enroller.put(change.Object)
				return
			}
			enroller.mutex.Lock()
			delete(enroller.known, change.Object.Name)
			enroller.mutex.Unlock()
		},
	}
}

func (enroller *Enroller) put(object storer.Object) {
	var vm VM
	if err := json.Unmarshal(object.Spec, &vm); err != nil {
		enroller.Log.Warn("entry of a VM is not usable", "peer", object.Name, "error", err.Error())
		return
	}
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	if enroller.known == nil {
		enroller.known = map[string]VM{}
	}
	if enroller.known[object.Name] != vm {
		enroller.Log.Info("VM seen", "peer", object.Name, "address", vm.Address, "zone", vm.Zone, "boot", vm.Boot, "revision", object.Revision)
	}
	enroller.known[object.Name] = vm
}

// VMs returns the names of all registered VMs in order.
func (enroller *Enroller) VMs() []string {
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	return slices.Sorted(maps.Keys(enroller.known))
}

// CPUShare returns the processor that the VM has, in cores; 0 when not known.
func (enroller *Enroller) CPUShare(vm string) float64 {
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	return enroller.known[vm].CPUShare
}

// LinkAddress implements linker.Directory.
func (enroller *Enroller) LinkAddress(vm string) (address string, ok bool) {
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	known, ok := enroller.known[vm]
	return known.Address, ok
}
