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

// Exit codes of the program. exitCodesHelp describes them in the help text.
const (
	exitSuccess        = 0
	exitInvalid        = 1 // invalid arguments or an invalid document; nothing changed
	exitConflict       = 2 // another operator changed the section; nothing changed
	exitUnavailable    = 3 // the platform or the VM cannot be reached; nothing changed
	exitOutcomeUnknown = 4 // the edit may have been accepted; running the same command again is safe
	exitNotFound       = 5 // the section, service or key does not exist
	exitCodesHelp      = `Exit codes:
  0  done
  1  invalid arguments or an invalid document; nothing changed
  2  another operator changed the section; both versions are shown; nothing changed
  3  the platform or the VM cannot be reached; nothing changed
  4  the edit may have been accepted; running the same command again is safe
  5  the section, service or key does not exist
`
)

// streams are the standard streams of an operation.
type streams struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// operation is a subcommand whose arguments have been parsed.
type operation interface {
	run(ctx context.Context, streams streams) error
}

// exitError is an error that sets the exit code of the program.
type exitError struct {
	code int
	err  error
}

func (err *exitError) Error() string { return err.err.Error() }
func (err *exitError) Unwrap() error { return err.err }

func newExitError(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// Main runs the program with the process's arguments and exits with its exit
// code. SIGINT and SIGTERM cancel the operation's context.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// Run runs the operation that the arguments name and returns the exit code.
func Run(ctx context.Context, arguments []string, stdin io.Reader, stdout, stderr io.Writer) int {
	streams := streams{stdin: stdin, stdout: stdout, stderr: stderr}
	if len(arguments) == 0 || arguments[0] == "help" || arguments[0] == "--help" || arguments[0] == "-h" {
		return help(arguments, streams)
	}
	entry, ok := findOperation(arguments[0])
	if !ok {
		fmt.Fprintf(stderr, "cuminstream: operation %q does not exist; see cuminstream --help\n", arguments[0])
		return exitInvalid
	}
	operation, err := entry.parse(arguments[1:], streams)
	if errors.Is(err, errHelpShown) {
		return exitSuccess
	}
	if err == nil {
		err = operation.run(ctx, streams)
	}
	if err != nil {
		fmt.Fprintf(stderr, "cuminstream %s: %v\n", entry.name, err)
	}
	return exitCodeOf(err)
}

// exitCodeOf returns the exit code for an error; nil is success.
func exitCodeOf(err error) int {
	var (
		exitErr  *exitError
		faults   configurer.Faults
		conflict *configurer.ConflictError
	)
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &faults):
		return exitInvalid
	case errors.Is(err, configurer.ErrOutcomeUnknown):
		return exitOutcomeUnknown
	case errors.Is(err, configurer.ErrNotAccepted):
		return exitUnavailable
	default:
		return exitInvalid
	}
}

// help prints the overview of all operations, or the help text of the named one.
func help(arguments []string, streams streams) int {
	if len(arguments) > 1 {
		entry, ok := findOperation(arguments[1])
		if !ok {
			fmt.Fprintf(streams.stderr, "cuminstream: operation %q does not exist\n", arguments[1])
			return exitInvalid
		}
		entry.usage(streams.stdout)
		return exitSuccess
	}
	fmt.Fprint(streams.stdout, "Usage: cuminstream OPERATION [flags]\n\nOperations:\n")
	for _, entry := range operations() {
		fmt.Fprintf(streams.stdout, "  %-11s %s\n", entry.name, entry.summary)
	}
	fmt.Fprintf(streams.stdout, "\n%s\nRun cuminstream OPERATION --help for the flags of an operation.\n", exitCodesHelp)
	return exitSuccess
}
