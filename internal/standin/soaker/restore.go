package soaker

import (
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// headerEra tells the era of the store. A store that was never restored has none.
const headerEra = "Store-Era"

// setEra sets the header of an answer in the given era.
func setEra(writer http.ResponseWriter, era uint64) {
	if era > 0 {
		writer.Header().Set(headerEra, strconv.FormatUint(era, 10))
	}
}

// Restore restores the store from a copy of the given age. Later writes are lost, their
// revisions are used again, and a new era begins.
func (store *Store) Restore(age time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	copied := time.Now().Add(-age)
	kept := 0
	for kept < len(store.changes) && !store.changes[kept].written.After(copied) {
		kept++
	}
	store.changes = store.changes[:kept:kept]
	store.objects, store.revision = map[string]map[string]*object{}, 0
	for _, change := range store.changes {
		store.apply(change)
		store.revision = change.at
	}
	store.era++
	store.wakeWatches()
}

// setDown makes the store refuse all calls, or answer again.
func (store *Store) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
}

// restore restores the store from a copy of the given age, after a moment without it, and
// lets the operator and the upstreams write again what they wrote. If killed is not nil,
// that VM is lost at the same moment.
func (soak *soak) restore(age, without time.Duration, killed *VM) error {
	soak.store.setDown(true)
	soak.sleep(without)
	var err error
	if killed != nil {
		if err = killed.stop(syscall.SIGKILL, stopLimit); errors.Is(err, errStillRuns) {
			err, killed = nil, nil // another fault holds it
		}
	}
	soak.store.Restore(age)
	soak.store.setDown(false)
	soak.sleep(writtenAgainAfter)
	err = errors.Join(err, soak.putConfig(soak.version.Load()))
	for i, upstream := range soak.upstreams {
		upstream.mutex.Lock()
		state := "ready"
		if upstream.draining {
			state = "draining"
		}
		err = errors.Join(err, soak.store.Put("servers", upstream.ID, upstream.entry(soak.proxies[i].address(), state)))
		upstream.mutex.Unlock()
	}
	soak.sleep(restoredTime)
	if err != nil || killed == nil || killed.runs() || soak.ctx.Err() != nil {
		return err
	}
	return killed.start()
}

const (
	// writtenAgainAfter is when the operator and the upstreams have written again what they
	// wrote, restoredTime the time after that until the fault counts as over.
	writtenAgainAfter = 1500 * time.Millisecond
	restoredTime      = 3 * time.Second
)
