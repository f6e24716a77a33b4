package answerer_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// Guards against a kind without a response, and against a kind whose NotRun flag
// contradicts its name.
func TestEveryKindHasAResponse(t *testing.T) {
	for _, kind := range answerer.Kinds() {
		response := kind.Response()
		assert.Assert(t, response.Status >= 400, kind)
		assert.Assert(t, response.Meaning != "", kind)
		assert.Equal(t, response.NotRun, strings.HasPrefix(string(kind), "notRun"), kind)
	}
}

// Guards against an Error that hides its cause from errors.Is, and against From changing
// the kind of an Error or not classifying another error as Internal.
func TestErrorKeepsItsCause(t *testing.T) {
	cause := errors.New("connection refused")
	err := answerer.New(answerer.NotRunUnavailable, "upstream q1: %w", cause)
	assert.Assert(t, errors.Is(err, cause))
	assert.Equal(t, answerer.From(err).Kind, answerer.NotRunUnavailable)
	assert.Equal(t, answerer.From(cause).Kind, answerer.Internal)
}
