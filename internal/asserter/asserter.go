package asserter

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// Invariant names a property that must always hold.
type Invariant string

// The invariants that the program asserts.
const (
	SoleOwner          Invariant = "soleOwner"
	LeaseBeforeSend    Invariant = "leaseBeforeSend"
	SlotsNotExceeded   Invariant = "slotsNotExceeded"
	AtMostOnce         Invariant = "atMostOnce"
	NotRunIsTrue       Invariant = "notRunIsTrue"
	RevisionRises      Invariant = "revisionRises"
	TermRises          Invariant = "termRises"
	DrainedGetsNothing Invariant = "drainedGetsNothing"
)

// Failures counts broken invariants.
var Failures = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "cuminstream_invariant_failures_total",
	Help: "Broken invariants, by invariant. Any value above zero is a fault in the program.",
}, []string{"invariant"})

// That counts a failure of the invariant when holds is false. In a test binary
// it panics instead.
func That(holds bool, invariant Invariant, format string, args ...any) {
	if holds {
		return
	}
	message := fmt.Sprintf(format, args...)
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s is broken: %s", invariant, message))
	}
	Failures.WithLabelValues(string(invariant)).Inc()
	slog.Error("invariant is broken", "invariant", string(invariant), "detail", message)
}
