package starter

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

const description = `Runs an entry VM: accepts callers' requests, and sends them to the upstreams of the groups that the VM holds.

Every flag has an environment variable. All settings are checked together at the start, and every fault is named.`

// startTimeout bounds the start of the components. None of them waits for the
// platform or for other VMs.
const startTimeout = 10 * time.Second

// stopMargin is added to the stop notice and the stop timeout for the components
// that stop last.
const stopMargin = 10 * time.Second

// Main parses the settings and runs the daemon until it receives a signal or a
// component fails. A failure exits with status 1.
func Main() {
	var settings Settings
	parser := kong.Parse(&settings, kong.Name("cuminstreamd"), kong.Description(description))
	settings = settings.WithDefaults()
	parser.FatalIfErrorf(settings.Check())
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: settings.LogLevel})).With("vm", settings.Name))
	if err := run(settings); err != nil {
		slog.Error("daemon failed", "error", err)
		os.Exit(1)
	}
}

// run starts all components, and stops them on a signal or when one of them fails.
func run(settings Settings) error {
	app := fx.New(
		options(settings),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.StopNotice+settings.StopTimeout+stopMargin),
		fx.WithLogger(func() fxevent.Logger {
			logger := &fxevent.SlogLogger{Logger: slog.Default()}
			logger.UseLogLevel(slog.LevelDebug)
			return logger
		}),
	)
	startContext, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startContext); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	signal := <-app.Wait()
	slog.Info("stopping", "signal", signal.String())
	stopContext, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopContext); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	if signal.ExitCode != 0 {
		return errComponentFailed
	}
	return nil
}

// Help returns the daemon's help text.
func Help() (string, error) {
	var (
		settings Settings
		output   strings.Builder
	)
	parser, err := kong.New(&settings, kong.Name("cuminstreamd"), kong.Description(description),
		kong.Writers(&output, io.Discard), kong.Exit(func(int) {}))
	if err != nil {
		return "", err
	}
	_, _ = parser.Parse([]string{"--help"})
	return output.String(), nil
}
