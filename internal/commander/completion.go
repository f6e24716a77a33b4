package commander

import (
	"context"
	"fmt"
	"io"
	"strings"
)

const completionHelp = `Prints a script that completes operations in a shell.

For bash, add to ~/.bashrc: source <(cuminstream completion bash)`

type completionFlags struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"bash, zsh or fish."`
}

func completionEntry() entry {
	return entry{
		name: "completion", summary: "print a shell completion script",
		usage: func(output io.Writer) { printUsage("completion", completionHelp, &completionFlags{}, output) },
		parse: func(arguments []string, streams streams) (operation, error) {
			var flags completionFlags
			err := parseFlags("completion", completionHelp, &flags, arguments, streams)
			return newCompletion(flags), err
		},
	}
}

type completion struct{ shell string }

func newCompletion(flags completionFlags) *completion { return &completion{shell: flags.Shell} }

func (completion *completion) run(_ context.Context, streams streams) error {
	words := strings.Join(OperationNames(), " ")
	switch completion.shell {
	case "bash":
		fmt.Fprintf(streams.output, "complete -o default -W %q cuminstream\n", words)
	case "zsh":
		fmt.Fprintf(streams.output, "#compdef cuminstream\n_arguments '1:operation:(%s)' '*:file:_files'\n", words)
	case "fish":
		fmt.Fprintf(streams.output, "complete -c cuminstream -n __fish_use_subcommand -a %q\n", words)
	}
	return nil
}
