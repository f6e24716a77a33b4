package commander

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// entry registers an operation.
type entry struct {
	name    string
	summary string
	usage   func(io.Writer)
	parse   func(arguments []string, streams streams) (operation, error)
}

// table returns all operations in the order of the overview.
func table() []entry {
	return []entry{
		checkEntry(), applyEntry(), getEntry(), statusEntry(), ownerEntry(),
		drainEntry(), timelineEntry(), explainEntry(), versionEntry(), completionEntry(),
	}
}

// OperationNames returns the names of all operations.
func OperationNames() []string {
	var names []string
	for _, entry := range table() {
		names = append(names, entry.name)
	}
	return names
}

func lookup(name string) (entry, bool) {
	for _, entry := range table() {
		if entry.name == name {
			return entry, true
		}
	}
	return entry{}, false
}

// errHelpShown ends an operation that was called with --help.
var errHelpShown = errors.New("help was shown")

// newParser returns the parser of an operation's flags.
func newParser(name, description string, flags any, output io.Writer, helped *bool) (*kong.Kong, error) {
	return kong.New(flags,
		kong.Name("cuminstream "+name),
		kong.Description(description),
		kong.Writers(output, io.Discard),
		kong.Exit(func(int) { *helped = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
}

// parseFlags fills the flags of an operation from its arguments and the
// environment.
func parseFlags(name, description string, flags any, arguments []string, streams streams) error {
	helped := false
	parser, err := newParser(name, description, flags, streams.output, &helped)
	if err != nil {
		return fmt.Errorf("flags of %s: %w", name, err)
	}
	_, err = parser.Parse(arguments)
	if helped {
		return errHelpShown
	}
	if err != nil {
		return withCode(exitInvalid, "%w", err)
	}
	return nil
}

// printUsage writes the help text of an operation.
func printUsage(name, description string, flags any, output io.Writer) {
	helped := false
	parser, err := newParser(name, description, flags, output, &helped)
	if err != nil {
		fmt.Fprintln(output, err)
		return
	}
	_, _ = parser.Parse([]string{"--help"})
}
