package commander

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// platformFlags are the flags of operations that read or write objects of the
// platform.
type platformFlags struct {
	Platform string        `required:"" env:"CUMINSTREAM_PLATFORM" help:"Base URL of the platform's object API."`
	Timeout  time.Duration `name:"patience" default:"10s" help:"Longest wait for the platform."`
}

// api returns a client of the platform's object API.
func (flags platformFlags) api() (platformer.API, error) {
	client, err := platformer.NewClient(flags.Platform, clocker.System{}, platformer.NewTransport())
	if err != nil {
		return nil, newExitError(exitInvalid, "--platform: %w", err)
	}
	return client, nil
}

// storedSection is a section as stored on the platform.
type storedSection struct {
	revision uint64
	body     []byte
}

var errSectionNotFound = errors.New("the section does not exist")

// readIndex returns the current index. Without an index object there are no
// sections, so the result is empty.
func readIndex(ctx context.Context, api platformer.API) (configurer.Index, error) {
	object, err := api.Get(ctx, configurer.IndexName)
	if errors.Is(err, platformer.ErrNotFound) {
		return configurer.Index{}, nil
	}
	if err != nil {
		return configurer.Index{}, newExitError(exitUnavailable, "read the index: %w", err)
	}
	return configurer.DecodeIndex(object.Value)
}

// readSection reads a section and its revision from the platform.
func readSection(ctx context.Context, api platformer.API, name string) (storedSection, error) {
	index, err := readIndex(ctx, api)
	if err != nil {
		return storedSection{}, err
	}
	entry, ok := index.Sections[name]
	if !ok || entry.Body == "" {
		return storedSection{}, newExitError(exitNotFound, "section %q: %w", name, errSectionNotFound)
	}
	object, err := api.Get(ctx, configurer.BodyPrefix+entry.Body)
	if err != nil {
		return storedSection{}, newExitError(exitUnavailable, "read section %q: %w", name, err)
	}
	return storedSection{revision: entry.Revision, body: object.Value}, nil
}

// readFileOrStdin returns the content of the file, or of standard input for "-".
func readFileOrStdin(file string, streams streams) ([]byte, error) {
	reader := streams.stdin
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, newExitError(exitInvalid, "%w", err)
		}
		defer opened.Close()
		reader = opened
	}
	return readLimited(reader)
}

// printConflict prints the section in force and the rejected edit, so that the
// operator can merge them.
func printConflict(conflict *configurer.ConflictError, streams streams) {
	fmt.Fprintf(streams.stderr, "--- section %s in force, changed in revision %d\n%s\n", conflict.Section, conflict.Revision, bytes.TrimSpace(conflict.Current))
	fmt.Fprintf(streams.stderr, "--- your edit, based on revision %d, not applied\n%s\n", conflict.Base, bytes.TrimSpace(conflict.Edited))
}
