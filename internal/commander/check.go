package commander

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/cuminstream/cuminstream/internal/configurer"
)

const checkHelp = `Checks section files offline, alone and together as one document.

Each file holds one section and is named <section>.json. Every fault is printed
with section, field and reason. Nothing is sent anywhere.`

type checkFlags struct {
	Files []string `arg:"" help:"Section files, named <section>.json."`
}

func checkEntry() entry {
	return entry{
		name: "check", summary: "check section files offline",
		usage: func(output io.Writer) { printUsage("check", checkHelp, &checkFlags{}, output) },
		parse: func(arguments []string, streams streams) (operation, error) {
			var flags checkFlags
			err := parseFlags("check", checkHelp, &flags, arguments, streams)
			return newCheck(flags), err
		},
	}
}

type check struct{ files []string }

func newCheck(flags checkFlags) *check { return &check{files: flags.Files} }

func (check *check) run(_ context.Context, streams streams) error {
	sections := map[string]configurer.Section{}
	var faults configurer.Faults
	for _, file := range check.files {
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		if _, duplicate := sections[name]; duplicate {
			return newExitError(exitInvalid, "two files hold section %q", name)
		}
		body, err := readFileOrStdin(file, streams)
		if err != nil {
			return err
		}
		section, err := configurer.DecodeSection(name, body)
		if err != nil {
			sectionFaults, ok := err.(configurer.Faults) //nolint:errorlint // DecodeSection returns Faults itself.
			if !ok {
				return err
			}
			faults = append(faults, sectionFaults...)
		}
		sections[name] = section
	}
	if err := faults.Err(); err != nil {
		return err
	}
	if _, err := configurer.NewDocument(1, sections); err != nil {
		return err
	}
	fmt.Fprintf(streams.stdout, "%d sections are valid\n", len(sections))
	return nil
}
