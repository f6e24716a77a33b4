package platformer

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// CallKind identifies an operation of the platform protocol.
type CallKind string

// The operations of the platform protocol.
const (
	Get   CallKind = "get"
	List  CallKind = "list"
	Put   CallKind = "put"
	Watch CallKind = "watch"
	VMs   CallKind = "vms"
)

// OutageMode selects how the platform fails during an outage.
type OutageMode string

// The modes of an outage.
const (
	NoOutage OutageMode = ""       // no outage
	Refuse   OutageMode = "refuse" // closes the connection without a response
	Hang     OutageMode = "hang"   // holds calls until the outage ends
	Slow     OutageMode = "slow"   // responds after Delay
	// Late holds calls like Hang, but a held write takes effect when the outage
	// ends, even if its caller has disconnected.
	Late OutageMode = "late"
)

// Outage describes how the platform fails. It also applies to watches that are
// already waiting.
type Outage struct {
	Mode  OutageMode          `json:"mode"`
	Delay configurer.Duration `json:"delay,omitempty"`
	// Kinds and Zones limit the outage to matching calls; empty matches all. The
	// zone of a call is known only if the base URL ends in /from/<zone>.
	Kinds []CallKind `json:"kinds,omitempty"`
	Zones []string   `json:"zones,omitempty"`
}

func (outage Outage) affects(kind CallKind, zone string) bool {
	return outage.Mode != NoOutage &&
		(len(outage.Kinds) == 0 || slices.Contains(outage.Kinds, kind)) &&
		(len(outage.Zones) == 0 || slices.Contains(outage.Zones, zone))
}

func (outage Outage) validate() error {
	if !slices.Contains([]OutageMode{NoOutage, Refuse, Hang, Slow, Late}, outage.Mode) {
		return fmt.Errorf("mode %q does not exist", outage.Mode)
	}
	for _, kind := range outage.Kinds {
		if !slices.Contains([]CallKind{Get, List, Put, Watch, VMs}, kind) {
			return fmt.Errorf("kind %q does not exist", kind)
		}
	}
	return nil
}

// SetOutage replaces the current outage; the zero Outage ends it.
func (platform *Platform) SetOutage(outage Outage) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.outage = outage
	platform.notifyChanged()
}

// applyOutage delays or aborts the call according to the outage. It returns when
// the call may proceed; otherwise it panics with http.ErrAbortHandler, which closes
// the connection without a response. Calls held by Hang or Late evaluate the outage
// again whenever objects or the outage change.
func (platform *Platform) applyOutage(kind CallKind, request *http.Request) {
	zone := mux.Vars(request)["zone"]
	counted := false
	for {
		platform.mutex.Lock()
		outage, changed := platform.outage, platform.changed
		affected := outage.affects(kind, zone)
		if affected && !counted {
			platform.counters.OutageCalls++
			counted = true
		}
		platform.mutex.Unlock()
		if !affected {
			return
		}
		switch outage.Mode {
		case Refuse:
			panic(http.ErrAbortHandler)
		case Slow:
			if clocker.Sleep(request.Context(), platform.clock, time.Duration(outage.Delay)) != nil {
				panic(http.ErrAbortHandler)
			}
			return
		}
		cancelled := request.Context().Done()
		if outage.Mode == Late && kind == Put {
			cancelled = nil
		}
		select {
		case <-cancelled:
			panic(http.ErrAbortHandler)
		case <-changed:
		}
	}
}

// responseLossPlan selects the successful writes whose response is lost after they
// took effect.
type responseLossPlan struct {
	remaining  int // responses still to lose
	interval   int // every n-th response is lost; 0 means none
	writeCount int // successful writes since interval was set
}

// LoseNextResponses makes the next count successful writes close their connections
// without a response, after they took effect. It replaces the remaining count.
func (platform *Platform) LoseNextResponses(count int) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.losses.remaining = count
}

// LoseEveryNthResponse makes every n-th successful write close its connection
// without a response, after it took effect; 0 turns this off.
func (platform *Platform) LoseEveryNthResponse(n int) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.losses.interval, platform.losses.writeCount = n, 0
}

// shouldLoseResponse counts a successful write and reports whether its response is
// lost.
func (platform *Platform) shouldLoseResponse() bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	plan := &platform.losses
	plan.writeCount++
	lost := plan.remaining > 0 || (plan.interval > 0 && plan.writeCount%plan.interval == 0)
	plan.remaining = max(0, plan.remaining-1)
	if lost {
		platform.counters.ResponsesLost++
	}
	return lost
}
