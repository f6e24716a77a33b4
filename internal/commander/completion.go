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
	names := strings.Join(OperationNames(), " ")
	switch completion.shell {
	case "bash":
		fmt.Fprintf(streams.stdout, "complete -o default -W %q cuminstream\n", names)
	case "zsh":
		fmt.Fprintf(streams.stdout, "#compdef cuminstream\n_arguments '1:operation:(%s)' '*:file:_files'\n", names)
	case "fish":
		fmt.Fprintf(streams.stdout, "complete -c cuminstream -n __fish_use_subcommand -a %q\n", names)
	}
	return nil
}
