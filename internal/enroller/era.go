package enroller

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// missingGrace is how long a VM stays registered whose entry a restored store lacks.
	// VMs see a new era within about a second, and write their entries again. One that is
	// cut off may be a broker whose claim was lost, and must count for longer than the 14 s
	// that the ledger is settled without it.
	missingGrace = 20 * time.Second
	// keyGrace is how long a VM that finds no link key waits for other VMs to write it
	// again, in a store that may have been restored, and keyCheckInterval how often it
	// looks for it.
	keyGrace         = 3 * time.Second
	keyCheckInterval = 500 * time.Millisecond
)

// ObserveEra tells the enroller that the store has reached the era. Run then writes this
// VM's entry and the link key again, if the restored store lacks them.
func (enroller *Enroller) ObserveEra(era uint64) {
	enroller.mutex.Lock()
	enroller.era = max(enroller.era, era)
	enroller.mutex.Unlock()
}

// Run writes what this VM knows into a restored store, until ctx is done. The VM must be
// registered. Its error is always nil.
func (enroller *Enroller) Run(ctx context.Context) error {
	for clocker.Sleep(ctx, enroller.Clock, retryInterval) == nil {
		enroller.removeMissing()
		enroller.mutex.Lock()
		due := enroller.era > enroller.writtenIn
		era := enroller.era
		enroller.mutex.Unlock()
		if !due {
			continue
		}
		if err := enroller.restoreKey(ctx); err != nil {
			enroller.Log.Warn("cannot write the link key again", "era", era, "error", err.Error())
			continue
		}
		if enroller.Register(ctx) == nil {
			enroller.Log.Info("entry of this VM and link key are written in the new era", "era", era)
		}
	}
	return nil
}

// restoreKey writes the link key again if the store lacks it, or has one that another VM
// has created in a later era than this one.
func (enroller *Enroller) restoreKey(ctx context.Context) error {
	enroller.mutex.Lock()
	known := enroller.key
	enroller.mutex.Unlock()
	if known.Key == "" {
		return nil
	}
	object, err := enroller.Store.Get(ctx, kindKeys, linkKey)
	if errors.Is(err, storer.ErrNotFound) {
		object, err = enroller.Store.Create(ctx, kindKeys, linkKey, known)
		if err == nil {
			enroller.Log.Info("link key was lost in a restore of the store and is written again", "era", object.Era)
		}
		if !storer.HasCurrentObject(object, err) {
			return err
		}
		err = nil // another VM has been faster
	}
	if err != nil {
		return err
	}
	var stored keyRecord
	if err := json.Unmarshal(object.Spec, &stored); err != nil {
		return err
	}
	switch {
	case stored.Key == known.Key:
		return nil
	case stored.Era > known.Era:
		enroller.Log.Warn("link key was created anew after a restore of the store and is replaced by the known one", "era", object.Era, "createdIn", stored.Era)
		_, err = enroller.Store.Replace(ctx, kindKeys, linkKey, object.Version(), known)
		return err
	}
	enroller.Log.Error("this VM has another link key than the store and reaches no other VM until it is restarted", "era", object.Era)
	return nil
}

// decodeKey records the link key and returns its bytes.
func (enroller *Enroller) decodeKey(record keyRecord) ([]byte, error) {
	key, err := hex.DecodeString(record.Key)
	if err == nil {
		enroller.mutex.Lock()
		enroller.key = record
		enroller.mutex.Unlock()
	}
	return key, err
}

// awaitKey reports whether to wait for other VMs to write a link key that the store
// lacks, since the store may have been restored. since is when this VM first looked.
func (enroller *Enroller) awaitKey(ctx context.Context, era uint64, since time.Time) bool {
	if era == 0 || enroller.FirstStart || enroller.Clock.Now().Sub(since) >= keyGrace {
		return false
	}
	return clocker.Sleep(ctx, enroller.Clock, keyCheckInterval) == nil
}

// keepMissing adds the known VMs to vms that the list of a new era lacks, for
// missingGrace. With fewer VMs, a part of them would count as a majority. The mutex must
// be held.
func (enroller *Enroller) keepMissing(vms map[string]VM, era uint64) {
	now := enroller.Clock.Now()
	if era > enroller.listedIn && enroller.vms != nil {
		enroller.missingUntil = now.Add(missingGrace)
		enroller.missing = map[string]bool{}
		for name := range enroller.vms {
			enroller.missing[name] = true
		}
	}
	enroller.listedIn = era
	for name := range enroller.missing {
		if _, ok := vms[name]; ok || !now.Before(enroller.missingUntil) {
			delete(enroller.missing, name)
			continue
		}
		vms[name] = enroller.vms[name]
	}
}

// removeMissing removes the VMs that have not written their entries again.
func (enroller *Enroller) removeMissing() {
	enroller.mutex.Lock()
	defer enroller.mutex.Unlock()
	if len(enroller.missing) == 0 || enroller.Clock.Now().Before(enroller.missingUntil) {
		return
	}
	for name := range enroller.missing {
		enroller.Log.Warn("entry of a VM was lost in a restore of the store and has not returned", "peer", name)
		delete(enroller.vms, name)
	}
	enroller.missing, enroller.names = nil, nil
}
