package prover

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/standin/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

func at(millis int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond)
}

func sent(id string, start, end int) attempt {
	return attempt{
		ID: id, Service: "checked", Key: "k", BodyHash: "h", Start: at(start), End: at(end), Status: 200,
		Answer: upstreamer.ResponseBody{Upstream: "u1", Request: id, Key: "k", SHA256: "h"},
	}
}

func notRun(id string, start, end int) attempt {
	return attempt{ID: id, Service: "checked", Key: "k", Start: at(start), End: at(end), Status: 503, Result: answerer.NotRunShed, NotRun: true}
}

func ran(id, upstream string, start, end int) run {
	made := run{id: id, upstream: upstream, service: "checked", key: "k", start: at(start)}
	if end > 0 {
		made.end = at(end)
	}
	return made
}

// Guards against a checker that overlooks a violation, or reports a run that the
// promises allow.
func TestChecker(t *testing.T) {
	stranger := sent("a", 0, 9)
	stranger.Answer.Key = "other"
	idempotent := sent("a", 0, 9)
	idempotent.Idempotent = true
	for name, example := range map[string]struct {
		attempts []attempt
		runs     []run
		faults   []string // prefixes
	}{
		"one run":                           {[]attempt{sent("a", 0, 9)}, []run{ran("a", "u1", 1, 8)}, nil},
		"a booking starts twice":            {[]attempt{sent("a", 0, 9)}, []run{ran("a", "u1", 1, 2), ran("a", "u1", 5, 8)}, []string{"P5"}},
		"a lookup starts twice":             {[]attempt{idempotent}, []run{ran("a", "u1", 1, 2), ran("a", "u1", 5, 8)}, nil},
		"not run, but it started":           {[]attempt{notRun("a", 0, 9)}, []run{ran("a", "u1", 1, 8)}, []string{"P4"}},
		"not run, then run":                 {[]attempt{notRun("a", 0, 4), sent("a", 5, 9)}, []run{ran("a", "u1", 6, 8)}, nil},
		"not run, but it started before":    {[]attempt{notRun("a", 0, 4), sent("a", 5, 9)}, []run{ran("a", "u1", 2, 8)}, []string{"P4"}},
		"a run that nobody asked for":       {nil, []run{ran("a", "u1", 1, 2)}, []string{"P3"}},
		"another request's answer":          {[]attempt{stranger}, []run{ran("a", "u1", 1, 8)}, []string{"P3"}},
		"an answer without a run":           {[]attempt{sent("a", 0, 9)}, nil, []string{"P3"}},
		"two upstreams one after the other": {[]attempt{sent("a", 0, 9), notRun("b", 0, 1), sentTo("b", "u2", 2, 9)}, []run{ran("a", "u1", 1, 5), ran("b", "u2", 5, 8)}, nil},
		"two upstreams at the same time":    {[]attempt{sent("a", 0, 9), sentTo("b", "u2", 0, 9)}, []run{ran("a", "u1", 1, 5), ran("b", "u2", 4, 8)}, []string{"P1"}},
		"a run that never ended":            {[]attempt{sent("a", 0, 9), sentTo("b", "u2", 0, 9)}, []run{ran("a", "u1", 1, 0), ran("b", "u2", 4, 8)}, []string{"P1"}},
		"a long run and a short one":        {[]attempt{sent("a", 0, 9), sent("b", 0, 9), sentTo("c", "u2", 0, 9)}, []run{ran("a", "u1", 1, 8), ran("b", "u1", 2, 3), ran("c", "u2", 4, 5)}, []string{"P1"}},
	} {
		t.Run(name, func(t *testing.T) {
			history := newHistory()
			for _, attempt := range example.attempts {
				history.add(attempt)
			}
			faults := history.check(example.runs)
			assert.Equal(t, len(faults), len(example.faults), "%v", faults)
			for index, prefix := range example.faults {
				assert.Assert(t, strings.HasPrefix(faults[index], prefix), faults[index])
			}
		})
	}
}

func sentTo(id, upstream string, start, end int) attempt {
	made := sent(id, start, end)
	made.Answer.Upstream = upstream
	return made
}

// Guards against runs of a killed or frozen upstream that count for longer or
// shorter than the process ran.
func TestRunsEndWithTheirProcess(t *testing.T) {
	history := newHistory()
	history.interrupt("u1", at(10), frozen)
	history.interrupt("u1", at(30), thawed)
	history.interrupt("u1", at(50), killed)
	record := func(kind upstreamer.RecordKind, id string, millis int) upstreamer.Record {
		return upstreamer.Record{Kind: kind, Request: id, Key: "k", Time: at(millis)}
	}
	runs := runsOf("u1", "checked", []upstreamer.Record{
		record(upstreamer.Started, "a", 1), record(upstreamer.Ended, "a", 3),
		record(upstreamer.Started, "b", 5), record(upstreamer.Cancelled, "b", 35),
		record(upstreamer.Started, "c", 40),
	}, history)
	assert.Equal(t, len(runs), 3)
	assert.Equal(t, runs[0].end, at(3))
	assert.Equal(t, runs[1].end, at(10))
	assert.Equal(t, runs[2].end, at(50))
}

// Guards against a wait that is measured too short because single attempts
// failed, or that still counts after an answer.
func TestLongestWait(t *testing.T) {
	history := newHistory()
	failed := notRun("a", 10, 20)
	failed.Lookup = true
	answered := sent("b", 100, 120)
	answered.Lookup = true
	history.add(failed)
	history.add(answered)
	key, wait := history.longestWait(at(0), at(130))
	assert.Equal(t, key, "checked/k")
	assert.Equal(t, wait, 110*time.Millisecond)
	_, wait = history.longestWait(at(115), at(130))
	assert.Equal(t, wait, 5*time.Millisecond)
}
