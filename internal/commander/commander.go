package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cuminstream/cuminstream/internal/configurer"
)

// Exit codes of the program.
const (
	exitDone          = 0
	exitInvalid       = 1 // invalid arguments or an invalid document; nothing changed
	exitConflict      = 2 // another operator changed the section; nothing changed
	exitUnavailable   = 3 // the platform or the VM cannot be reached; nothing changed
	exitUnknown       = 4 // the edit may have been accepted; the same command may be run again
	exitNotFound      = 5 // the section, service or key does not exist
	exitCodesOverview = `Exit codes:
  0  done
  1  invalid arguments or an invalid document; nothing changed
  2  another operator changed the section; both versions are shown; nothing changed
  3  the platform or the VM cannot be reached; nothing changed
  4  the edit may have been accepted; running the same command again is safe
  5  the section, service or key does not exist
`
)

// streams are where an operation reads and writes.
type streams struct {
	input  io.Reader
	output io.Writer
	errors io.Writer
}

// operation is one subcommand after its arguments were parsed.
type operation interface {
	run(ctx context.Context, streams streams) error
}

// exitError is an error with its own exit code.
type exitError struct {
	code int
	err  error
}

func (err *exitError) Error() string { return err.err.Error() }
func (err *exitError) Unwrap() error { return err.err }

func withCode(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// Main runs the program.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// Run runs one operation and returns the exit code.
func Run(ctx context.Context, arguments []string, input io.Reader, output, errorOutput io.Writer) int {
	streams := streams{input: input, output: output, errors: errorOutput}
	if len(arguments) == 0 || arguments[0] == "help" || arguments[0] == "--help" || arguments[0] == "-h" {
		return help(arguments, streams)
	}
	entry, ok := lookup(arguments[0])
	if !ok {
		fmt.Fprintf(errorOutput, "cuminstream: operation %q does not exist; see cuminstream --help\n", arguments[0])
		return exitInvalid
	}
	operation, err := entry.parse(arguments[1:], streams)
	if errors.Is(err, errHelpShown) {
		return exitDone
	}
	if err == nil {
		err = operation.run(ctx, streams)
	}
	if err != nil {
		fmt.Fprintf(errorOutput, "cuminstream %s: %v\n", entry.name, err)
	}
	return codeOf(err)
}

// codeOf returns the exit code of an error.
func codeOf(err error) int {
	var (
		coded    *exitError
		faults   configurer.Faults
		conflict *configurer.ConflictError
	)
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &faults):
		return exitInvalid
	case errors.Is(err, configurer.ErrOutcomeUnknown):
		return exitUnknown
	case errors.Is(err, configurer.ErrNotAccepted):
		return exitUnavailable
	default:
		return exitInvalid
	}
}

// help prints the overview, or the usage of one operation.
func help(arguments []string, streams streams) int {
	if len(arguments) > 1 {
		entry, ok := lookup(arguments[1])
		if !ok {
			fmt.Fprintf(streams.errors, "cuminstream: operation %q does not exist\n", arguments[1])
			return exitInvalid
		}
		entry.usage(streams.output)
		return exitDone
	}
	fmt.Fprint(streams.output, "Usage: cuminstream OPERATION [flags]\n\nOperations:\n")
	for _, entry := range table() {
		fmt.Fprintf(streams.output, "  %-11s %s\n", entry.name, entry.summary)
	}
	fmt.Fprintf(streams.output, "\n%s\nRun cuminstream OPERATION --help for the flags of an operation.\n", exitCodesOverview)
	return exitDone
}
