package commander

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const getHelp = `Prints a section of the routing document, or lists all sections.

The section goes to standard output; its revision, which "cuminstream apply
--base" needs, goes to standard error.`

type getFlags struct {
	platformFlags
	Section string `arg:"" optional:"" help:"Name of the section; without it, all sections are listed."`
}

func getEntry() entry {
	return entry{
		name: "get", summary: "print a section and its revision",
		usage: func(output io.Writer) { printUsage("get", getHelp, &getFlags{}, output) },
		parse: func(arguments []string, streams streams) (operation, error) {
			var flags getFlags
			err := parseFlags("get", getHelp, &flags, arguments, streams)
			return newGet(flags), err
		},
	}
}

type get struct{ flags getFlags }

func newGet(flags getFlags) *get { return &get{flags: flags} }

func (get *get) run(ctx context.Context, streams streams) error {
	ctx, cancel := clocker.WithTimeout(ctx, clocker.System{}, get.flags.Timeout)
	defer cancel()
	api, err := get.flags.api()
	if err != nil {
		return err
	}
	if get.flags.Section == "" {
		return listSections(ctx, api, streams)
	}
	section, err := readSection(ctx, api, get.flags.Section)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.stderr, "revision %d\n", section.revision)
	fmt.Fprintf(streams.stdout, "%s\n", bytes.TrimSpace(section.body))
	return nil
}

// listSections prints the name and revision of each section. Removed sections, whose
// body is empty, are left out.
func listSections(ctx context.Context, api platformer.API, streams streams) error {
	index, err := readIndex(ctx, api)
	if err != nil {
		return err
	}
	var names []string
	for name, entry := range index.Sections {
		if entry.Body != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	fmt.Fprintf(streams.stderr, "revision %d\n", index.Revision)
	for _, name := range names {
		fmt.Fprintf(streams.stdout, "%s\t%d\n", name, index.Sections[name].Revision)
	}
	return nil
}
