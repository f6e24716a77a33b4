package commander

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// entry describes an operation to Run and to the help text.
type entry struct {
	name    string
	summary string
	usage   func(io.Writer)
	parse   func(arguments []string, streams streams) (operation, error)
}

// operations returns all operations in the order in which the help text lists
// them.
func operations() []entry {
	return []entry{
		checkEntry(), applyEntry(), getEntry(), statusEntry(), ownerEntry(),
		drainEntry(), timelineEntry(), explainEntry(), versionEntry(), completionEntry(),
	}
}

// OperationNames returns the names of all operations.
func OperationNames() []string {
	var names []string
	for _, entry := range operations() {
		names = append(names, entry.name)
	}
	return names
}

func findOperation(name string) (entry, bool) {
	for _, entry := range operations() {
		if entry.name == name {
			return entry, true
		}
	}
	return entry{}, false
}

// errHelpShown is returned by parseFlags after --help has printed the help text;
// Run then exits with exitSuccess.
var errHelpShown = errors.New("help was shown")

// newParser returns a parser of an operation's flags. It sets helpShown where
// kong would exit the process, that is after --help has printed the help text.
func newParser(name, description string, flags any, output io.Writer, helpShown *bool) (*kong.Kong, error) {
	return kong.New(flags,
		kong.Name("cuminstream "+name),
		kong.Description(description),
		kong.Writers(output, io.Discard),
		kong.Exit(func(int) { *helpShown = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
}

// parseFlags parses the arguments into flags; environment variables supply
// flags that are not given.
func parseFlags(name, description string, flags any, arguments []string, streams streams) error {
	helpShown := false
	parser, err := newParser(name, description, flags, streams.stdout, &helpShown)
	if err != nil {
		return fmt.Errorf("flags of %s: %w", name, err)
	}
	_, err = parser.Parse(arguments)
	if helpShown {
		return errHelpShown
	}
	if err != nil {
		return newExitError(exitInvalid, "%w", err)
	}
	return nil
}

// printUsage writes the help text of an operation to output.
func printUsage(name, description string, flags any, output io.Writer) {
	helpShown := false
	parser, err := newParser(name, description, flags, output, &helpShown)
	if err != nil {
		fmt.Fprintln(output, err)
		return
	}
	_, _ = parser.Parse([]string{"--help"})
}
