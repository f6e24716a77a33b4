package answerer_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// Guards against a kind that is listed without an answer, or that claims "not
// run" under a name that does not say so.
func TestEveryKindHasAnAnswer(t *testing.T) {
	for _, kind := range answerer.Kinds() {
		answer := kind.Response()
		assert.Assert(t, answer.Status >= 400, kind)
		assert.Assert(t, answer.Meaning != "", kind)
		assert.Equal(t, answer.NotRun, strings.HasPrefix(string(kind), "notRun"), kind)
	}
}

// Guards against losing the cause of an error on its way to the caller.
func TestErrorKeepsItsCause(t *testing.T) {
	cause := errors.New("connection refused")
	err := answerer.New(answerer.NotRunUnavailable, "upstream q1: %w", cause)
	assert.Assert(t, errors.Is(err, cause))
	assert.Equal(t, answerer.From(err).Kind, answerer.NotRunUnavailable)
	assert.Equal(t, answerer.From(cause).Kind, answerer.Internal)
}
