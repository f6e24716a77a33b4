package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	maxSectionBytes  = 1 << 20  // largest accepted section
	maxResponseBytes = 64 << 20 // a longer response of a VM is cut off and fails to decode
)

// readLimited reads a section of at most maxSectionBytes.
func readLimited(reader io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(reader, maxSectionBytes+1))
	if err != nil {
		return nil, newExitError(exitInvalid, "read the section: %w", err)
	}
	if len(body) > maxSectionBytes {
		return nil, newExitError(exitInvalid, "the section is larger than %d bytes", maxSectionBytes)
	}
	return body, nil
}

// operatorFlags are the flags of operations that send requests to a VM.
type operatorFlags struct {
	Operator string        `required:"" env:"CUMINSTREAM_OPERATOR" help:"host:port of the operators' listener of any VM."`
	Timeout  time.Duration `name:"patience" default:"10s" help:"Longest wait for the VM."`
	JSON     bool          `name:"json" help:"Print JSON."`
}

// getJSON sends a GET request to the VM and decodes the JSON response into
// result.
func (flags operatorFlags) getJSON(ctx context.Context, path string, query url.Values, result any) error {
	ctx, cancel := clocker.WithTimeout(ctx, clocker.System{}, flags.Timeout)
	defer cancel()
	address := url.URL{Scheme: "http", Host: flags.Operator, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return newExitError(exitInvalid, "--operator: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return newExitError(exitUnavailable, "ask VM at %s: %w", flags.Operator, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return newExitError(exitUnavailable, "answer of VM at %s: %w", flags.Operator, err)
	}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return newExitError(exitNotFound, "%s", bytes.TrimSpace(body))
	case response.StatusCode != http.StatusOK:
		return newExitError(exitInvalid, "%s", bytes.TrimSpace(body))
	}
	if err := json.Unmarshal(body, result); err != nil {
		return newExitError(exitUnavailable, "answer of VM at %s: %w", flags.Operator, err)
	}
	return nil
}

func printJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	return nil
}
