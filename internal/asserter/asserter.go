package asserter

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// Invariant is the name of a property that must always hold. It is the value of
// the metric's label.
type Invariant string

// The invariants that the programs check.
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

// Failures counts violations by invariant.
var Failures = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "cuminstream_invariant_failures_total",
	Help: "Broken invariants, by invariant. Any value above zero is a fault in the program.",
}, []string{"invariant"})

// That counts and logs a violation of the invariant if holds is false. In a test
// binary it panics instead.
func That(holds bool, invariant Invariant, format string, args ...any) {
	if holds {
		return
	}
	message := fmt.Sprintf(format, args...)
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s violated: %s", invariant, message))
	}
	Failures.WithLabelValues(string(invariant)).Inc()
	slog.Error("invariant violated", "invariant", string(invariant), "detail", message)
}
