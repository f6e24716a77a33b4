package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cuminstream/cuminstream/internal/explainer"
)

const explainHelp = `Tells what happened to a request, from the logs of the VMs.

Reads JSON log lines of any number of VMs from files, or from standard input when
no file is given. Prints each decision about the request in the order of time,
and before it the last changes of what the deciding VM believed: its broker, the
owner of the key, the upstream and the configuration.`

type explainFlags struct {
	ID    string   `arg:"" help:"ID of the request."`
	Files []string `arg:"" optional:"" help:"Log files."`
}

func explainEntry() entry {
	return entry{
		name: "explain", summary: "tell from logs what happened to a request",
		usage: func(output io.Writer) { printUsage("explain", explainHelp, &explainFlags{}, output) },
		parse: func(arguments []string, streams streams) (operation, error) {
			var flags explainFlags
			err := parseFlags("explain", explainHelp, &flags, arguments, streams)
			return &explain{flags: flags}, err
		},
	}
}

type explain struct{ flags explainFlags }

func (explain *explain) run(_ context.Context, streams streams) error {
	var lines []explainer.Line
	skipped := 0
	read := func(input io.Reader, name string) error {
		parsed, unparsed, err := explainer.Read(input)
		lines, skipped = append(lines, parsed...), skipped+unparsed
		if err != nil {
			return fmt.Errorf("log %s: %w", name, err)
		}
		return nil
	}
	if len(explain.flags.Files) == 0 {
		if err := read(streams.stdin, "on standard input"); err != nil {
			return err
		}
	}
	for _, name := range explain.flags.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		err = read(file, name)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
	}
	if skipped > 0 {
		fmt.Fprintf(streams.stderr, "%d lines could not be read\n", skipped)
	}
	explanation := explainer.Explain(lines, explain.flags.ID)
	if len(explanation.Steps) == 0 {
		return newExitError(exitNotFound, "no line names request %q", explain.flags.ID)
	}
	return explanation.Write(streams.stdout)
}
