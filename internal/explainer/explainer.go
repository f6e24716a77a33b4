// Package explainer reconstructs the history of one request from the log lines of
// any number of VMs: the decisions about the request in chronological order, each
// with the state that the deciding VM knew at that time.
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a log line. Read fails with
// bufio.ErrTooLong on a longer one.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	Time    time.Time
	VM      string
	Message string
	Fields  map[string]any
}

// Read parses a log of JSON lines. Text before the first brace of a line and lines
// without a brace are ignored. Lines that are not valid JSON or lack a time or a
// message are skipped and counted in skipped.
func Read(input io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(text[start:], &fields); err != nil {
			skipped++
			continue
		}
		line := Line{Fields: fields, VM: asString(fields["vm"]), Message: asString(fields["msg"])}
		line.Time, err = time.Parse(time.RFC3339Nano, asString(fields["time"]))
		if err != nil || line.Message == "" {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// asString returns the value if it is a string, and "" otherwise.
func asString(value any) string {
	text, _ := value.(string)
	return text
}

// asInt returns the value if it is a JSON number.
func asInt(value any) (int, bool) {
	number, ok := value.(float64)
	return int(number), ok
}

// Explanation is the history of a request.
type Explanation struct {
	// Steps are the lines with the ID of the request, in chronological order.
	Steps []Step
}

// Step is a log line of the request and the state that its decision was based on.
type Step struct {
	Line
	// State holds, for each kind of state the step used, the latest earlier line
	// that changed it.
	State []Line
}

// Explain returns the history of the request with the given ID. It sorts lines by
// time.
func Explain(lines []Line, id string) Explanation {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var explanation Explanation
	for index, line := range lines {
		if asString(line.Fields["id"]) == id {
			explanation.Steps = append(explanation.Steps, Step{Line: line, State: stateBefore(lines[:index], line)})
		}
	}
	return explanation
}

// stateBefore returns the latest line before the step for each kind of state that
// the step used.
func stateBefore(earlier []Line, step Line) []Line {
	latest := map[string]Line{}
	for i := len(earlier) - 1; i >= 0; i-- {
		line := earlier[i]
		kind := stateKind(line, step)
		if kind == "" {
			continue
		}
		if _, ok := latest[kind]; !ok {
			latest[kind] = line
		}
	}
	var result []Line
	for _, line := range latest {
		result = append(result, line)
	}
	slices.SortFunc(result, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Message, b.Message))
	})
	return result
}

// stateKind returns the kind of state that a line changed, or "" if it changed none
// or the step did not use it.
func stateKind(line, step Line) string {
	service, upstream := asString(step.Fields["service"]), asString(step.Fields["upstream"])
	sameVM := line.VM == step.VM
	switch line.Message {
	case "configuration in force":
		if sameVM && step.Message == "answered" {
			return line.Message
		}
	case "broker changed", "this VM is the broker", "this VM is no longer the broker", "replaced as broker":
		if step.Message == "slot" && asString(line.Fields["service"]) == service && (sameVM || line.VM == asString(step.Fields["broker"])) {
			return "broker"
		}
	case "keys granted", "keys have no other holder", "grant failed", "release failed":
		key, ok := asInt(step.Fields["key"])
		from, _ := asInt(line.Fields["from"])
		to, _ := asInt(line.Fields["to"])
		if step.Message == "slot" && ok && key >= from && key <= to && asString(line.Fields["service"]) == service {
			return "keys"
		}
	case "upstream changed", "upstream is gone":
		if upstream != "" && sameVM && asString(line.Fields["upstream"]) == upstream {
			return "upstream"
		}
	case "upstream is cold", "upstream is warm": // logged by the broker
		if step.Message == "slot" && upstream != "" && asString(line.Fields["upstream"]) == upstream {
			return "warmup"
		}
	case "evacuated zones changed":
		if step.Message == "slot" && (sameVM || line.VM == asString(step.Fields["broker"])) {
			return line.Message + line.VM
		}
	case "store lost", "store regained", "broker VM lost", "broker VM regained", "authority to grant keys changed":
		if step.Message == "slot" && (sameVM || line.VM == asString(step.Fields["broker"])) && step.Time.Sub(line.Time) < maxOutageAge {
			return strings.Fields(line.Message)[0] + line.VM
		}
	}
	return ""
}

// maxOutageAge is how long before a step a lost or regained dependency, or a change
// of the authority to grant keys, is included in the state of the step.
const maxOutageAge = 30 * time.Second

// Write prints the steps, each preceded by the lines of its state.
func (explanation Explanation) Write(output io.Writer) error {
	for _, step := range explanation.Steps {
		for _, line := range step.State {
			if _, err := fmt.Fprintf(output, "    known: %s\n", formatLine(line)); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(output, formatLine(step.Line)); err != nil {
			return err
		}
	}
	return nil
}

// formatLine returns the text of a line, with its fields in alphabetical order.
func formatLine(line Line) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s", line.Time.UTC().Format("15:04:05.000"), line.VM, line.Message)
	var names []string
	for name := range line.Fields {
		if !slices.Contains([]string{"time", "level", "msg", "vm", "id"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		value := line.Fields[name]
		if whole, ok := value.(float64); ok && whole == math.Trunc(whole) {
			value = int64(whole)
		}
		fmt.Fprintf(&text, " %s=%v", name, value)
	}
	return text.String()
}
