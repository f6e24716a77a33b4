// Package documenter generates documentation pages from the help texts and tables
// of the programs. A test compares them with the files in docs.
package documenter

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/internal/commander"
	"github.com/cuminstream/cuminstream/internal/starter"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/platform"
	"github.com/cuminstream/cuminstream/platform/launcher"
)

// Pages returns the generated pages by file name.
func Pages() (map[string]string, error) {
	settings, err := settingsPage()
	if err != nil {
		return nil, err
	}
	edgeSettings, err := edgePage()
	if err != nil {
		return nil, err
	}
	return map[string]string{"settings.md": settings, "edge-settings.md": edgeSettings, "cli.md": cliPage(), "errors.md": errorsPage()}, nil
}

// Write writes all pages to the directory.
func Write(directory string) error {
	pages, err := Pages()
	if err != nil {
		return err
	}
	for name, content := range pages {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(content), 0o600); err != nil {
			return fmt.Errorf("page %s: %w", name, err)
		}
	}
	return nil
}

func settingsPage() (string, error) {
	help, err := starter.Help()
	if err != nil {
		return "", fmt.Errorf("help of cuminstreamd: %w", err)
	}
	return "# Settings of cuminstreamd\n\nMade by `make docs` from `cuminstreamd --help`. Durations have a unit, such as `250ms` or `2s`.\n\n```\n" +
		strings.TrimSpace(help) + "\n```\n", nil
}

// edgePage documents the settings of cuminstream-edge, the daemon for the users'
// platform.
func edgePage() (string, error) {
	help, err := launcher.Help()
	if err != nil {
		return "", fmt.Errorf("help of cuminstream-edge: %w", err)
	}
	return "# Settings of cuminstream-edge\n\nMade by `make docs` from `cuminstream-edge --help`. All else comes from the settings file that the platform writes;\n" +
		"`cuminstream-edge --check` prints all faults in it. A change of the file takes effect on SIGHUP or within 5 s, but for addresses, which need a restart.\n\n```\n" +
		strings.TrimSpace(help) + "\n```\n\n" + platform.SettingsTable() + "\n" + accountant.LimitsPage(), nil
}

func cliPage() string {
	var page strings.Builder
	page.WriteString("# The cuminstream program\n\nMade by `make docs` from `cuminstream --help` and the help of each operation.\n\n")
	writeSection := func(title string, arguments ...string) {
		var output bytes.Buffer
		commander.Run(context.Background(), arguments, strings.NewReader(""), &output, &output)
		fmt.Fprintf(&page, "## %s\n\n```\n%s\n```\n\n", title, strings.TrimSpace(output.String()))
	}
	writeSection("Overview", "--help")
	for _, name := range commander.OperationNames() {
		writeSection("cuminstream "+name, name, "--help")
	}
	return strings.TrimSpace(page.String()) + "\n"
}

func errorsPage() string {
	var page strings.Builder
	page.WriteString(`# Answers that cuminstream itself gives

Made by ` + "`make docs`" + ` from the closed list in pkg/answerer. Every answer has the header ` + "`" + answerer.HeaderResult + "`" + `: the kind, or ` + "`done`" + ` when the
answer is an upstream's. ` + "`" + answerer.HeaderNotRun + ": true`" + ` stands on the kinds that say "not run", and only there: the request has provably not started at
an upstream. ` + "`Retry-After`" + ` (whole seconds) and ` + "`Cuminstream-Retry-After`" + ` (milliseconds) say when a repeat may succeed, where that is known.
The body is one line of text with the kind and the reason.

| kind | status | not run | repeat may succeed | meaning |
|---|---|---|---|---|
`)
	for _, kind := range answerer.Kinds() {
		answer := kind.Response()
		fmt.Fprintf(&page, "| `%s` | %d | %s | %s | %s |\n", kind, answer.Status, yesNo(answer.NotRun), yesNo(answer.Retryable), answer.Meaning)
	}
	page.WriteString(`
A repeat of a non-idempotent request keeps its ` + "`Cuminstream-Request-Id`" + `. The ID is remembered for 10 minutes. After ` + "`outcomeUnknown`" + ` a repeat
with the same ID is answered ` + "`outcomeUnknown`" + ` or ` + "`duplicateDone`" + ` and never runs; to run the work anyway, a caller must decide so and use a new ID.
`)
	return page.String()
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
