package platformer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// readHeaderTimeout bounds the time to read the headers of a request.
const readHeaderTimeout = 5 * time.Second

// flags are the command-line flags.
type flags struct {
	Listen    string        `default:"127.0.0.1:7000" env:"STANDIN_PLATFORM_LISTEN" help:"Address to listen on."`
	ReadRate  float64       `default:"2000" help:"Reads a second; 0 means no limit."`
	WriteRate float64       `default:"500" help:"Writes a second; 0 means no limit."`
	VMLag     time.Duration `name:"vm-lag" default:"3s" help:"How far the list of VMs is behind."`
}

// Main parses the command line and serves the stand-in until the process receives
// SIGINT or SIGTERM.
func Main() {
	var settings flags
	parser := kong.Parse(&settings, kong.Name("standin-platform"),
		kong.Description("Serves a stand-in for the platform's object API. It keeps everything in memory."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parser.FatalIfErrorf(settings.run(ctx))
}

func (settings flags) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("start platform stand-in: %w", err)
	}
	platform := New(clocker.System{}, Settings{
		ReadRate: settings.ReadRate, WriteRate: settings.WriteRate, VMLag: settings.VMLag,
	})
	fmt.Printf("standin-platform listens on %s\n", listener.Addr())
	return platform.Serve(ctx, listener)
}

// Serve handles requests on the listener until ctx is done. It then closes the
// server without waiting for open requests.
func (platform *Platform) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: platform, ReadHeaderTimeout: readHeaderTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}
