package commander

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// platformFlags are the flags of operations that use the platform.
type platformFlags struct {
	Platform string        `required:"" env:"CUMINSTREAM_PLATFORM" help:"Base URL of the platform's object API."`
	Patience time.Duration `default:"10s" help:"Longest wait for the platform."`
}

func (flags platformFlags) api() (platformer.API, error) {
	client, err := platformer.NewClient(flags.Platform, clocker.System{}, http.DefaultTransport)
	if err != nil {
		return nil, withCode(exitInvalid, "--platform: %w", err)
	}
	return client, nil
}

// current is a section as the platform holds it.
type current struct {
	revision uint64
	body     []byte
}

// errNoSection means that the section does not exist.
var errNoSection = errors.New("the section does not exist")

// readIndex returns the newest index. A platform without one has no sections.
func readIndex(ctx context.Context, api platformer.API) (configurer.Index, error) {
	object, err := api.Get(ctx, configurer.IndexName)
	if errors.Is(err, platformer.ErrNotFound) {
		return configurer.Index{}, nil
	}
	if err != nil {
		return configurer.Index{}, withCode(exitUnavailable, "read the index: %w", err)
	}
	return configurer.DecodeIndex(object.Value)
}

// readSection returns one section as the platform holds it.
func readSection(ctx context.Context, api platformer.API, name string) (current, error) {
	index, err := readIndex(ctx, api)
	if err != nil {
		return current{}, err
	}
	entry, ok := index.Sections[name]
	if !ok || entry.Body == "" {
		return current{}, withCode(exitNotFound, "section %q: %w", name, errNoSection)
	}
	object, err := api.Get(ctx, configurer.BodyPrefix+entry.Body)
	if err != nil {
		return current{}, withCode(exitUnavailable, "read section %q: %w", name, err)
	}
	return current{revision: entry.Revision, body: object.Value}, nil
}

// readInput returns the content of the file, or of standard input for "-".
func readInput(file string, streams streams) ([]byte, error) {
	reader := streams.input
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, withCode(exitInvalid, "%w", err)
		}
		defer opened.Close()
		reader = opened
	}
	return readBounded(reader)
}

// showConflict prints both versions of a section that two operators edited.
func showConflict(conflict *configurer.ConflictError, streams streams) {
	fmt.Fprintf(streams.errors, "--- section %s in force, changed in revision %d\n%s\n", conflict.Section, conflict.Revision, bytes.TrimSpace(conflict.Current))
	fmt.Fprintf(streams.errors, "--- your edit, based on revision %d, not applied\n%s\n", conflict.Base, bytes.TrimSpace(conflict.Edited))
}
