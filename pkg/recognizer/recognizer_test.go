package recognizer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/recognizer"
)

// Guards against taking new requests for repeated ones, and the reverse, while most
// requests of a route with two classes are refused and repeated, and those of a third, rare
// one are not.
func TestRepeatsAreRecognized(t *testing.T) {
	var tested recognizer.Recognizer
	random := rand.New(rand.NewPCG(1, 1))
	wrongNew, wrongRepeats, count := 0, 0, 0
	for i := range 20_000 {
		initial := 4 * time.Second
		switch draw := random.IntN(12); {
		case draw < 4:
			initial = 6 * time.Second
		case draw == 4:
			initial = 3 * time.Second
		}
		ago := time.Duration(0)
		if initial > 3*time.Second && random.Float64() < 0.6 {
			ago = 20*time.Millisecond + time.Duration(random.Int64N(int64(300*time.Millisecond)))
		}
		elapsed := tested.Record("route", initial-ago)
		if i < 200 {
			continue
		}
		count++
		switch {
		case ago == 0 && elapsed != 0:
			wrongNew++
		case ago > 0 && (elapsed < ago-5*time.Millisecond || elapsed > ago+5*time.Millisecond):
			wrongRepeats++
		}
	}
	assert.Assert(t, wrongNew == 0, "%d of %d are new and recognized as repeats", wrongNew, count)
	assert.Assert(t, wrongRepeats*100 <= count*2, "%d of %d are repeats and not recognized", wrongRepeats, count)
}

// Guards against taking requests for repeated ones if callers state any times, or have
// clocks that differ by a few milliseconds.
func TestOtherTimesAreNoRepeats(t *testing.T) {
	var tested recognizer.Recognizer
	random := rand.New(rand.NewPCG(1, 1))
	for range 5_000 {
		assert.Equal(t, tested.Record("any", time.Duration(random.Int64N(int64(5*time.Second)))), time.Duration(0))
		assert.Equal(t, tested.Record("clocks", 4*time.Second-time.Duration(random.Int64N(int64(5*time.Millisecond)))), time.Duration(0))
	}
}
