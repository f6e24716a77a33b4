package explainer_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/cuminstream/cuminstream/internal/explainer"
)

// Explanations of three requests from logs of benchmark runs: a rejected one, one
// with an unknown outcome and a slow one. Run with -update to rewrite the golden
// files.
func TestExplain(t *testing.T) {
	for name, id := range map[string]string{"refused": "217a0feb4adff895", "unknown": "6f6d0e5d174c387b", "late": "c4eada1e0d190f76"} {
		log, err := os.Open(filepath.Join("testdata", name+".log"))
		assert.NilError(t, err)
		lines, skipped, err := explainer.Read(log)
		assert.NilError(t, err)
		assert.Equal(t, skipped, 0)
		var output strings.Builder
		assert.NilError(t, explainer.Explain(lines, id).Write(&output))
		golden.Assert(t, output.String(), name+".golden")
		assert.NilError(t, log.Close())
	}
}

// Logs can contain other text before and between JSON lines.
func TestReadSkipsOtherText(t *testing.T) {
	lines, skipped, err := explainer.Read(strings.NewReader(`plain text
  1.25 edge-1 {"time":"2026-05-20T23:12:14.966Z","msg":"slot","vm":"a","id":"x"}
{"time":"2026-05-20T23:12:14.966Z","msg":"cut
{"time":"yesterday","msg":"slot"}
`))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, skipped, 2)
	assert.Equal(t, lines[0].VM, "a")
}

// Guards against an explanation of a refusal that leaves out the rule of admission.
func TestRefusalNamesItsRule(t *testing.T) {
	lines, _, err := explainer.Read(strings.NewReader(
		`{"time":"2026-12-06T21:00:00.1Z","msg":"slot","vm":"a","id":"x","service":"s","refused":"overloaded","rule":"displaced","retryAfterMs":120.5}`))
	assert.NilError(t, err)
	var output strings.Builder
	assert.NilError(t, explainer.Explain(lines, "x").Write(&output))
	assert.Equal(t, output.String(), "21:00:00.100 a slot refused=overloaded retryAfterMs=120.5 rule=displaced service=s\n")
}
