package commander

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/cuminstream/cuminstream/internal/operator"
	"github.com/cuminstream/cuminstream/internal/timeliner"
)

const timelineHelp = `Prints the events of all VMs in one order.

The order follows the VMs' clocks; events of one VM are always in their own
order. Events are changes of state, such as leases, moves, losses and drains.`

type timelineFlags struct {
	operatorFlags
	Key      string `help:"Only events of the key."`
	Request  string `help:"Only events of the request ID."`
	Upstream string `help:"Only events of the upstream."`
	Group    string `help:"Only events of the group."`
	From     string `help:"Only events since this time, such as 2026-01-02T15:04:05Z."`
	To       string `help:"Only events until this time."`
}

func timelineEntry() entry {
	return entry{
		name: "timeline", summary: "print the events of all VMs in one order",
		usage: func(output io.Writer) { printUsage("timeline", timelineHelp, &timelineFlags{}, output) },
		parse: func(arguments []string, streams streams) (operation, error) {
			var flags timelineFlags
			err := parseFlags("timeline", timelineHelp, &flags, arguments, streams)
			return newTimeline(flags), err
		},
	}
}

type timeline struct {
	flags timelineFlags
	query url.Values
}

func newTimeline(flags timelineFlags) *timeline {
	query := url.Values{"scope": {"fleet"}}
	for name, value := range map[string]string{
		"key": flags.Key, "request": flags.Request, "upstream": flags.Upstream, "group": flags.Group,
		"from": flags.From, "to": flags.To,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	return &timeline{flags: flags, query: query}
}

func (timeline *timeline) run(ctx context.Context, streams streams) error {
	var response operator.Timeline
	if err := timeline.flags.getJSON(ctx, "/timeline", timeline.query, &response); err != nil {
		return err
	}
	if timeline.flags.JSON {
		return printJSON(streams.stdout, response)
	}
	for _, event := range response.Events {
		fmt.Fprintln(streams.stdout, formatEvent(event))
	}
	if len(response.Unreachable) > 0 {
		fmt.Fprintf(streams.stderr, "no answer from: %s\n", strings.Join(response.Unreachable, ", "))
	}
	return nil
}

const timeFormat = "15:04:05.000"

// formatEvent formats an event as one line of text.
func formatEvent(event timeliner.Event) string {
	line := fmt.Sprintf("%s %-10s %-22s", event.Time.UTC().Format(timeFormat), event.VM, event.Kind)
	for _, field := range []struct{ name, value string }{
		{"group", event.Group}, {"upstream", event.Upstream}, {"key", event.Key}, {"request", event.Request},
	} {
		if field.value != "" {
			line += " " + field.name + "=" + field.value
		}
	}
	if event.Term > 0 {
		line += fmt.Sprintf(" term=%d", event.Term)
	}
	if event.Detail != "" {
		line += " " + event.Detail
	}
	return line
}
