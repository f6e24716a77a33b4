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

// Kind is a kind of call.
type Kind string

// The kinds of calls.
const (
	Get   Kind = "get"
	List  Kind = "list"
	Put   Kind = "put"
	Watch Kind = "watch"
	VMs   Kind = "vms"
)

// Mode is the way in which the platform fails.
type Mode string

// The modes of an outage.
const (
	Up     Mode = ""       // no outage
	Refuse Mode = "refuse" // closes the connection without an answer
	Hang   Mode = "hang"   // answers nothing until the outage ends
	Slow   Mode = "slow"   // answers after Delay
	// Late is Hang, but a write takes effect when the outage ends, even if its
	// caller has gone.
	Late Mode = "late"
)

// Outage describes how the platform fails. Waiting watches are affected at
// once.
type Outage struct {
	Mode  Mode                `json:"mode"`
	Delay configurer.Duration `json:"delay,omitempty"`
	// Kinds and Zones limit the outage to some calls; empty means all. The zone
	// of a call is known when the base URL ends in /from/<zone>.
	Kinds []Kind   `json:"kinds,omitempty"`
	Zones []string `json:"zones,omitempty"`
}

func (outage Outage) affects(kind Kind, zone string) bool {
	return outage.Mode != Up &&
		(len(outage.Kinds) == 0 || slices.Contains(outage.Kinds, kind)) &&
		(len(outage.Zones) == 0 || slices.Contains(outage.Zones, zone))
}

func (outage Outage) check() error {
	if !slices.Contains([]Mode{Up, Refuse, Hang, Slow, Late}, outage.Mode) {
		return fmt.Errorf("mode %q does not exist", outage.Mode)
	}
	for _, kind := range outage.Kinds {
		if !slices.Contains([]Kind{Get, List, Put, Watch, VMs}, kind) {
			return fmt.Errorf("kind %q does not exist", kind)
		}
	}
	return nil
}

// SetOutage begins, changes or ends an outage.
func (platform *Platform) SetOutage(outage Outage) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.outage = outage
	platform.signal()
}

// applyOutage applies the outage to the call. It returns when the call may go on,
// and closes the connection otherwise.
func (platform *Platform) applyOutage(kind Kind, request *http.Request) {
	zone := mux.Vars(request)["zone"]
	counted := false
	for {
		platform.mutex.Lock()
		outage, changed := platform.outage, platform.changed
		affected := outage.affects(kind, zone)
		if affected && !counted {
			platform.counters.Outages++
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
		gone := request.Context().Done()
		if outage.Mode == Late && kind == Put {
			gone = nil
		}
		select {
		case <-gone:
			panic(http.ErrAbortHandler)
		case <-changed:
		}
	}
}

// lossPlan decides which writes lose their answer after they took effect.
type lossPlan struct {
	next  int // answers still to lose
	every int // loses each n-th answer when above 0
	seen  int
}

// LoseAnswers closes the connection of the next writes after they took effect.
func (platform *Platform) LoseAnswers(count int) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.losses.next = count
}

// LoseEvery loses the answer of each n-th write; 0 ends it.
func (platform *Platform) LoseEvery(n int) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.losses.every, platform.losses.seen = n, 0
}

func (platform *Platform) losesAnswer() bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	plan := &platform.losses
	plan.seen++
	lost := plan.next > 0 || (plan.every > 0 && plan.seen%plan.every == 0)
	plan.next = max(0, plan.next-1)
	if lost {
		platform.counters.AnswersLost++
	}
	return lost
}
