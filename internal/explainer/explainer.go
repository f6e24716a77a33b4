// Package explainer tells the story of one request from the log lines of any
// number of VMs: what was decided about it, in order, and what the deciding VMs
// believed at that time.
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

// maxLine bounds a log line, in bytes. Longer ones are skipped.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	Time    time.Time
	VM      string
	Message string
	Fields  map[string]any
}

// Read returns the lines of a log. Text before the first brace of a line is
// ignored, and so are lines that are not JSON; skipped counts the latter.
func Read(input io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(text[begin:], &fields); err != nil {
			skipped++
			continue
		}
		line := Line{Fields: fields, VM: word(fields["vm"]), Message: word(fields["msg"])}
		line.Time, err = time.Parse(time.RFC3339Nano, word(fields["time"]))
		if err != nil || line.Message == "" {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func word(value any) string {
	text, _ := value.(string)
	return text
}

func number(value any) (int, bool) {
	found, ok := value.(float64)
	return int(found), ok
}

// Explanation is what logs tell of a request.
type Explanation struct {
	// Steps are the lines that name the request, in order.
	Steps []Step
}

// Step is a line of the request and the state that it rested on.
type Step struct {
	Line
	// State are the last lines before the step that changed what the step used.
	State []Line
}

// Explain returns the story of the request with the ID.
func Explain(lines []Line, id string) Explanation {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var story Explanation
	for index, line := range lines {
		if word(line.Fields["id"]) == id {
			story.Steps = append(story.Steps, Step{Line: line, State: known(lines[:index], line)})
		}
	}
	return story
}

// known returns the newest line of each kind of state that the step used.
func known(before []Line, step Line) []Line {
	found := map[string]Line{}
	for i := len(before) - 1; i >= 0; i-- {
		line := before[i]
		kind := state(line, step)
		if kind == "" {
			continue
		}
		if _, ok := found[kind]; !ok {
			found[kind] = line
		}
	}
	var result []Line
	for _, line := range found {
		result = append(result, line)
	}
	slices.SortFunc(result, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Message, b.Message))
	})
	return result
}

// state names the kind of state that a line changed, if the step used it.
func state(line, step Line) string {
	service, upstream := word(step.Fields["service"]), word(step.Fields["upstream"])
	sameVM := line.VM == step.VM
	switch line.Message {
	case "configuration in force":
		if sameVM && step.Message == "answered" {
			return line.Message
		}
	case "broker changed", "this VM is the broker", "this VM is no longer the broker", "replaced as broker":
		if step.Message == "slot" && word(line.Fields["service"]) == service && (sameVM || line.VM == word(step.Fields["broker"])) {
			return "broker"
		}
	case "keys granted", "keys have no other holder", "grant failed", "release failed":
		key, ok := number(step.Fields["key"])
		from, _ := number(line.Fields["from"])
		to, _ := number(line.Fields["to"])
		if step.Message == "slot" && ok && key >= from && key <= to && word(line.Fields["service"]) == service {
			return "keys"
		}
	case "upstream changed", "upstream is gone":
		if upstream != "" && sameVM && word(line.Fields["upstream"]) == upstream {
			return "upstream"
		}
	case "store lost", "store regained", "broker VM lost", "broker VM regained", "authority to grant keys changed":
		if step.Message == "slot" && (sameVM || line.VM == word(step.Fields["broker"])) && step.Time.Sub(line.Time) < stateAge {
			return strings.Fields(line.Message)[0] + line.VM
		}
	}
	return ""
}

// stateAge is how long the loss of a dependency is worth telling.
const stateAge = 30 * time.Second

// Write prints the story.
func (story Explanation) Write(output io.Writer) error {
	for _, step := range story.Steps {
		for _, line := range step.State {
			if _, err := fmt.Fprintf(output, "    known: %s\n", describe(line)); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(output, describe(step.Line)); err != nil {
			return err
		}
	}
	return nil
}

// describe prints a line: its fields in alphabetical order.
func describe(line Line) string {
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
