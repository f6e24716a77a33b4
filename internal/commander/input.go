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
	maxInput  = 1 << 20  // bytes of a section
	maxAnswer = 64 << 20 // bytes of a VM's answer
)

func readBounded(reader io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(reader, maxInput+1))
	if err != nil {
		return nil, withCode(exitInvalid, "read the section: %w", err)
	}
	if len(body) > maxInput {
		return nil, withCode(exitInvalid, "the section is larger than %d bytes", maxInput)
	}
	return body, nil
}

// operatorFlags are the flags of operations that ask a VM.
type operatorFlags struct {
	Operator string        `required:"" env:"CUMINSTREAM_OPERATOR" help:"host:port of the operators' listener of any VM."`
	Patience time.Duration `default:"10s" help:"Longest wait for the VM."`
	JSON     bool          `name:"json" help:"Print JSON."`
}

// ask reads a JSON answer of the VM.
func (flags operatorFlags) ask(ctx context.Context, path string, query url.Values, answer any) error {
	ctx, cancel := clocker.WithTimeout(ctx, clocker.System{}, flags.Patience)
	defer cancel()
	address := url.URL{Scheme: "http", Host: flags.Operator, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return withCode(exitInvalid, "--operator: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return withCode(exitUnavailable, "ask VM at %s: %w", flags.Operator, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return withCode(exitUnavailable, "answer of VM at %s: %w", flags.Operator, err)
	}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return withCode(exitNotFound, "%s", bytes.TrimSpace(body))
	case response.StatusCode != http.StatusOK:
		return withCode(exitInvalid, "%s", bytes.TrimSpace(body))
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return withCode(exitUnavailable, "answer of VM at %s: %w", flags.Operator, err)
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
