package commander

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
)

const versionHelp = `Prints the version of the program and of Go.`

type versionFlags struct{}

func versionEntry() entry {
	return entry{
		name: "version", summary: "print the version",
		usage: func(output io.Writer) { printUsage("version", versionHelp, &versionFlags{}, output) },
		parse: func(arguments []string, streams streams) (operation, error) {
			err := parseFlags("version", versionHelp, &versionFlags{}, arguments, streams)
			return newVersion(), err
		},
	}
}

type version struct{}

func newVersion() *version { return &version{} }

func (*version) run(_ context.Context, streams streams) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return newExitError(exitInvalid, "the program has no build information")
	}
	fmt.Fprintf(streams.stdout, "cuminstream %s %s\n", info.Main.Version, info.GoVersion)
	return nil
}
