package soaker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check of the holders of a key that finds nothing: it looks at two
// upstreams at one moment, so that a key that moves between two looks is no failure.
func TestOverlapOfHoldersIsFound(t *testing.T) {
	for _, test := range []struct {
		name      string
		own, peer time.Duration // for which the upstreams still hold the key
		failures  int
	}{
		{"both", time.Minute, time.Minute, 1},
		{"only this one", time.Minute, -time.Second, 0},
		{"only the other one", -time.Second, time.Minute, 0},
	} {
		shared, judge := &holders{}, NewJudge()
		for _, id := range []string{"keyed-0", "keyed-1"} {
			shared.all = append(shared.all, &Upstream{ID: id, Keyed: true, judge: judge, holders: shared, until: map[int]time.Time{}})
		}
		now := time.Now()
		shared.all[0].until[7], shared.all[1].until[7] = now.Add(test.own), now.Add(test.peer)
		shared.all[0].checkOthers(7)
		assert.Equal(t, len(judge.Failures()), test.failures, test.name)
	}
}
