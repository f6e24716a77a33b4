// Command soak runs entry VMs under random faults and checks their guarantees.
package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/cuminstream/cuminstream/internal/standin/soaker"
)

type flags struct {
	Seed    uint64        `default:"1" help:"First seed."`
	Seeds   int           `default:"1" help:"Number of seeds, one after the other."`
	Faults  time.Duration `default:"30s" help:"Time in which faults come."`
	Binary  string        `default:"bin/cuminstream-edge" help:"Program of an entry VM."`
	Planned bool          `help:"Only planned work, with pipelining callers; no request that runs may be cut."`
	Folder  string        `default:"soak-logs" help:"Folder for settings and logs, one for each seed."`
}

func main() {
	var flags flags
	parser := kong.Parse(&flags, kong.Name("soak"), kong.Description("Runs entry VMs under random faults and checks their guarantees."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for seed := flags.Seed; seed < flags.Seed+uint64(flags.Seeds) && ctx.Err() == nil; seed++ {
		folder := filepath.Join(flags.Folder, strconv.FormatUint(seed, 10))
		parser.FatalIfErrorf(os.MkdirAll(folder, 0o750))
		options := soaker.Options{Seed: seed, Faults: flags.Faults, Binary: flags.Binary, Folder: folder, VMs: 5, Upstreams: 4, Callers: 12, Planned: flags.Planned}
		if flags.Planned {
			options.Upstreams = 10 // pipelines ask for longer work
		}
		report, err := soaker.Run(ctx, options)
		parser.FatalIfErrorf(err)
		report.Print(seed)
		failed += len(report.Failures)
	}
	if failed > 0 {
		os.Exit(1)
	}
}
