package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const drainHelp = `Adds a planned stop of an upstream or a VM to a section, or ends one.

The upstream's shards move to others, requests in flight end, and nothing new is
sent to it. "cuminstream status" shows the upstream as drained when it may be
stopped. Edits of other operators in between are kept.`

type drainFlags struct {
	platformFlags
	Name    string `arg:"" help:"Name of the upstream, or of the VM with --vm."`
	Section string `required:"" help:"Section that holds the planned stop."`
	VM      bool   `name:"vm" help:"The name is that of a VM."`
	Reason  string `default:"maintenance" help:"Reason that status and time line show."`
	End     bool   `help:"End the planned stop instead."`
}

func drainEntry() entry {
	return entry{
		name: "drain", summary: "plan or end the stop of an upstream or VM",
		usage: func(output io.Writer) { printUsage("drain", drainHelp, &drainFlags{}, output) },
		parse: func(arguments []string, streams streams) (operation, error) {
			var flags drainFlags
			err := parseFlags("drain", drainHelp, &flags, arguments, streams)
			return newDrain(flags), err
		},
	}
}

type drain struct {
	flags drainFlags
	stop  configurer.Stop
}

func newDrain(flags drainFlags) *drain {
	stop := configurer.Stop{Upstream: flags.Name, Reason: flags.Reason}
	if flags.VM {
		stop = configurer.Stop{VM: flags.Name, Reason: flags.Reason}
	}
	return &drain{flags: flags, stop: stop}
}

// maxDrainAttempts bounds the attempts when other operators edit the same section
// concurrently.
const maxDrainAttempts = 10

func (drain *drain) run(ctx context.Context, streams streams) error {
	ctx, cancel := clocker.WithTimeout(ctx, clocker.System{}, drain.flags.Timeout)
	defer cancel()
	api, err := drain.flags.api()
	if err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		result, err := drain.tryApply(ctx, api)
		var conflict *configurer.ConflictError
		if errors.As(err, &conflict) && attempt < maxDrainAttempts {
			continue
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(streams.stdout, "in revision %d\n", result.Revision)
		return nil
	}
}

// tryApply reads the section, edits its stops and applies it. It returns a
// ConflictError if the section was changed in between.
func (drain *drain) tryApply(ctx context.Context, api platformer.API) (configurer.Result, error) {
	section, err := readSection(ctx, api, drain.flags.Section)
	if err != nil {
		return configurer.Result{}, err
	}
	body, err := drain.editStops(section.body)
	if err != nil {
		return configurer.Result{}, err
	}
	editor := &configurer.Editor{API: api, Clock: clocker.System{}}
	return editor.Apply(ctx, drain.flags.Section, body, section.revision)
}

// editStops returns the section's body with the stop added, or removed for --end.
// An earlier stop of the same upstream or VM is replaced. Other fields keep their
// values; the body is indented and its fields are sorted by name.
func (drain *drain) editStops(body []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("section %q: %w", drain.flags.Section, err)
	}
	var stops []configurer.Stop
	if raw, ok := fields["stops"]; ok {
		if err := json.Unmarshal(raw, &stops); err != nil {
			return nil, fmt.Errorf("stops of section %q: %w", drain.flags.Section, err)
		}
	}
	stops = slices.DeleteFunc(stops, func(stop configurer.Stop) bool {
		return stop.Upstream == drain.stop.Upstream && stop.VM == drain.stop.VM
	})
	if !drain.flags.End {
		stops = append(stops, drain.stop)
	}
	raw, err := json.Marshal(stops)
	if err != nil {
		return nil, fmt.Errorf("stops of section %q: %w", drain.flags.Section, err)
	}
	fields["stops"] = raw
	if len(stops) == 0 {
		delete(fields, "stops")
	}
	return json.MarshalIndent(fields, "", "  ")
}
