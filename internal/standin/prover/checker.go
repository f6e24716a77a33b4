package prover

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/standin/upstreamer"
)

// run is one start of a request in an upstream's record.
type run struct {
	upstream, service string
	id, key           string
	term              uint64
	start, end        time.Time
}

// lateArrival is how long after a freeze a holder may still send to a frozen
// upstream: it takes up to 600 ms without an answer until the upstream counts as
// lost, and a probe is sent every 200 ms.
const lateArrival = 800 * time.Millisecond

// readRuns reads the upstreams' record files. They also hold what a process
// recorded before it was killed.
func readRuns(upstreams []upstream, history *history) ([]run, error) {
	var all []run
	for _, upstream := range upstreams {
		records, err := readRecords(upstream.recordFile)
		if err != nil {
			return nil, err
		}
		all = append(all, runsOf(upstream.Name, upstream.service, records, history)...)
	}
	return all, nil
}

func readRecords(file string) ([]upstreamer.Record, error) {
	opened, err := os.Open(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	defer opened.Close()
	var records []upstreamer.Record
	scanner := bufio.NewScanner(opened)
	for scanner.Scan() {
		var record upstreamer.Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return nil, fmt.Errorf("records of %s: %w", file, err)
		}
		records = append(records, record)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("records of %s: %w", file, err)
	}
	return records, nil
}

// runsOf pairs starts with ends. A run without an end lasts until the process
// was killed. A run that was under way when its process froze counts up to the
// freeze: it is allowed to end later, after its key has moved.
func runsOf(name, service string, records []upstreamer.Record, history *history) []run {
	var runs []run
	open := map[string][]int{}
	for _, record := range records {
		switch record.Kind {
		case upstreamer.Started:
			open[record.Request] = append(open[record.Request], len(runs))
			runs = append(runs, run{
				upstream: name, service: service, id: record.Request, key: record.Key, term: record.Term, start: record.Time,
			})
		case upstreamer.Ended, upstreamer.Cancelled:
			if waiting := open[record.Request]; len(waiting) > 0 {
				runs[waiting[0]].end = record.Time
				open[record.Request] = waiting[1:]
			}
		case upstreamer.Refused:
		}
	}
	for index := range runs {
		if cut, ok := history.firstAfter(name, runs[index].start); ok && (runs[index].end.IsZero() || cut.at.Before(runs[index].end)) {
			runs[index].end = cut.at
		}
	}
	return runs
}

// check returns every violation that the attempts and the runs show.
func (history *history) check(runs []run) []string {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	byID := map[string][]attempt{}
	for _, attempt := range history.attempts {
		byID[attempt.ID] = append(byID[attempt.ID], attempt)
	}
	runsByID := map[string][]run{}
	for _, run := range runs {
		runsByID[run.id] = append(runsByID[run.id], run)
	}
	var faults []string
	for id, list := range runsByID {
		faults = append(faults, checkStarts(id, byID[id], list)...)
	}
	for _, attempt := range history.attempts {
		faults = append(faults, checkAnswer(attempt, runsByID[attempt.ID])...)
	}
	faults = append(faults, history.checkOwners(runs, byID)...)
	slices.Sort(faults)
	return faults
}

// checkStarts checks that a non-idempotent request started at most once (P5),
// and that each start belongs to an attempt that may have run (P4).
func checkStarts(id string, attempts []attempt, runs []run) []string {
	if len(attempts) == 0 {
		return []string{fmt.Sprintf("P3: request %q started at %s but was never sent", id, runs[0].upstream)}
	}
	var faults []string
	if !attempts[0].Idempotent && len(runs) > 1 {
		faults = append(faults, fmt.Sprintf("P5: request %s started %d times: %s", id, len(runs), describe(runs)))
	}
	for index, started := range runs {
		explained := slices.ContainsFunc(attempts, func(attempt attempt) bool {
			return !attempt.ranNothing() && !attempt.Start.After(started.start)
		})
		if !explained {
			faults = append(faults, fmt.Sprintf("P4: request %s was answered \"not run\" but started: %s", id, describe(runs[index:index+1])))
		}
	}
	return faults
}

func describe(runs []run) string {
	text := ""
	for _, run := range runs {
		text += fmt.Sprintf("[%s term %d %s to %s] ", run.upstream, run.term, run.start.Format(timeFormat), run.end.Format(timeFormat))
	}
	return text
}

const timeFormat = "15:04:05.000000"

// checkAnswer checks that a whole answer belongs to its request and that the
// request ran (P3).
func checkAnswer(attempt attempt, runs []run) []string {
	if !attempt.done() {
		return nil
	}
	var faults []string
	if attempt.Answer.Request != attempt.ID || attempt.Answer.Key != attempt.Key || attempt.Answer.SHA256 != attempt.BodyHash {
		faults = append(faults, fmt.Sprintf("P3: request %s for key %s got another request's answer: %+v", attempt.ID, attempt.Key, attempt.Answer))
	}
	if !slices.ContainsFunc(runs, func(run run) bool { return run.upstream == attempt.Answer.Upstream && run.key == attempt.Key }) {
		faults = append(faults, fmt.Sprintf("P3: request %s was answered by %s, which has no record of it", attempt.ID, attempt.Answer.Upstream))
	}
	return faults
}

// checkOwners checks that no key ran at two upstreams at the same time (P1). The
// records have the exact start and end of each run, so that intervals are
// compared directly; a linearizability checker would search for an order that is
// already known.
func (history *history) checkOwners(runs []run, attempts map[string][]attempt) []string {
	type place struct{ service, key string }
	byKey := map[place][]run{}
	for _, run := range runs {
		if !history.arrivedBeforeFreeze(run, attempts[run.id]) {
			byKey[place{run.service, run.key}] = append(byKey[place{run.service, run.key}], run)
		}
	}
	var faults []string
	for place, list := range byKey {
		slices.SortFunc(list, func(a, b run) int { return a.start.Compare(b.start) })
		var active []run // runs that may overlap with the next one
		for _, next := range list {
			active = slices.DeleteFunc(active, func(earlier run) bool { return !earlier.end.IsZero() && !earlier.end.After(next.start) })
			for _, earlier := range active {
				if earlier.upstream != next.upstream {
					faults = append(faults, fmt.Sprintf("P1: key %s/%s ran at two upstreams: %s", place.service, place.key, describe([]run{earlier, next})))
				}
			}
			active = append(active, next)
		}
	}
	return faults
}

// arrivedBeforeFreeze reports whether the run is the one case that the upstream
// protocol allows: an upstream that does not check grants runs, after it
// returned, a request that was sent before it was known to be frozen.
func (history *history) arrivedBeforeFreeze(run run, attempts []attempt) bool {
	if services[run.service] {
		return false
	}
	frozenAt, ok := history.frozenBefore(run.upstream, run.start)
	return ok && !slices.ContainsFunc(attempts, func(attempt attempt) bool { return attempt.Start.After(frozenAt.Add(lateArrival)) })
}
