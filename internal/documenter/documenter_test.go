package documenter_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/documenter"
)

// The files in docs must match the generated pages. "make docs" regenerates them.
func TestPagesAreCurrent(t *testing.T) {
	pages, err := documenter.Pages()
	assert.NilError(t, err)
	for name, content := range pages {
		current, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
		assert.NilError(t, err)
		assert.Equal(t, string(current), content, "docs/%s; run make docs", name)
	}
}
