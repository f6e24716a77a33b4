package dispatcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// Guards against a group that does not serve requests once it has a holder.
func TestServes(t *testing.T) {
	for _, checks := range []bool{true, false} {
		runHarness(t, checks, []string{"u1", "u2"}, func(t *testing.T, harness *harness) {
			for _, name := range []string{"u1", "u2"} {
				got := harness.send(harness.request("r-"+name, harness.keyOf(name), queuer.Lookup))
				assert.NilError(t, got.err)
				assert.Equal(t, got.upstream, name)
			}
			got := harness.send(harness.request("t1", "k", queuer.Transaction))
			assert.NilError(t, got.err)
			harness.sleep(5 * time.Second)
			assert.Equal(t, harness.countEvents("upstreamLost"), 0)
		})
	}
}
