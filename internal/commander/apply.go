package commander

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const applyHelp = `Applies a section of the routing document.

The whole document with the edited section is checked first. --base is the
revision that "cuminstream get" printed with the section; it is not needed for a
new section. If another operator has changed the section since then, both
versions are shown and nothing changes. If the platform's answer is lost, the
operation reads back whether the edit was accepted; running it again is safe.`

type applyFlags struct {
	platformFlags
	Section string `arg:"" help:"Name of the section."`
	File    string `arg:"" help:"File with the section's JSON; - for standard input."`
	Base    uint64 `help:"Revision on which the edit is based; 0 for a new section."`
}

func applyEntry() entry {
	return entry{
		name: "apply", summary: "apply an edited section",
		usage: func(output io.Writer) { printUsage("apply", applyHelp, &applyFlags{}, output) },
		parse: func(arguments []string, streams streams) (operation, error) {
			var flags applyFlags
			err := parseFlags("apply", applyHelp, &flags, arguments, streams)
			return newApply(flags), err
		},
	}
}

type apply struct{ flags applyFlags }

func newApply(flags applyFlags) *apply { return &apply{flags: flags} }

func (apply *apply) run(ctx context.Context, streams streams) error {
	body, err := readFileOrStdin(apply.flags.File, streams)
	if err != nil {
		return err
	}
	ctx, cancel := clocker.WithTimeout(ctx, clocker.System{}, apply.flags.Timeout)
	defer cancel()
	api, err := apply.flags.api()
	if err != nil {
		return err
	}
	editor := &configurer.Editor{API: api, Clock: clocker.System{}}
	result, err := editor.Apply(ctx, apply.flags.Section, body, apply.flags.Base)
	if err != nil {
		var conflict *configurer.ConflictError
		if errors.As(err, &conflict) {
			printConflict(conflict, streams)
		}
		return err
	}
	if !result.Changed {
		fmt.Fprintf(streams.stdout, "revision %d already has this section\n", result.Revision)
		return nil
	}
	fmt.Fprintf(streams.stdout, "accepted as revision %d\n", result.Revision)
	return nil
}
