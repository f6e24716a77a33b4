package starter

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

// Settings are the daemon's flags and environment variables.
type Settings struct {
	Name string `required:"" env:"CUMINSTREAM_NAME" help:"Name of this VM, unique among all VMs: letters, digits, '-' and '.'."`
	Zone string `required:"" env:"CUMINSTREAM_ZONE" help:"Availability zone of this VM."`

	CallerListen   string `default:":8080" env:"CUMINSTREAM_CALLER_LISTEN" help:"host:port of the callers' listener (HTTP/1.1 and HTTP/2 without TLS)."`
	LinkListen     string `default:":8081" env:"CUMINSTREAM_LINK_LISTEN" help:"host:port of the listener for links from other VMs."`
	OperatorListen string `default:"127.0.0.1:8082" env:"CUMINSTREAM_OPERATOR_LISTEN" help:"host:port of the operators' listener (status, metrics, profiles)."`

	LinkAddress     string `env:"CUMINSTREAM_LINK_ADDRESS" help:"host:port under which other VMs reach the link listener. Default: the value of --link-listen."`
	OperatorAddress string `env:"CUMINSTREAM_OPERATOR_ADDRESS" help:"host:port under which operators reach this VM. Default: the value of --operator-listen."`

	Platform  string   `required:"" env:"CUMINSTREAM_PLATFORM" help:"Base URL of the platform's object API."`
	SharedKey string   `required:"" env:"CUMINSTREAM_SHARED_KEY" help:"Key that all VMs share, at least 16 bytes. Prefer the environment variable, which process lists do not show."`
	Seeds     []string `env:"CUMINSTREAM_SEEDS" help:"VMs to contact while the platform's list is not available, as name=zone=host:port."`

	StopNotice  time.Duration `default:"5s" env:"CUMINSTREAM_STOP_NOTICE" help:"Time between the end of readiness and the refusal of new connections at a planned stop."`
	StopTimeout time.Duration `default:"10m" env:"CUMINSTREAM_STOP_TIMEOUT" help:"Longest wait for requests in flight at a planned stop."`

	Heartbeat time.Duration `default:"150ms" env:"CUMINSTREAM_HEARTBEAT" help:"Time between heartbeats and lease renewals."`
	Suspicion time.Duration `default:"600ms" env:"CUMINSTREAM_SUSPICION" help:"Time without a heartbeat until a VM is suspected."`
	Lease     time.Duration `default:"800ms" env:"CUMINSTREAM_LEASE" help:"Duration of the lease of a group."`

	MemoryMB int `name:"memory-mb" default:"0" env:"CUMINSTREAM_MEMORY_MB" help:"Memory of the machine in MiB, from which the bounds of what callers may make this process hold are computed. 0: what the kernel states, without a limit for the garbage collector and for the sizes of sockets' buffers."`
	MaxFDs   int `name:"max-fds" default:"0" env:"CUMINSTREAM_MAX_FDS" help:"File descriptors of this process, from which the bound of callers' connections is computed. 0: the limit that the kernel states."`

	LogLevel slog.Level `default:"info" env:"CUMINSTREAM_LOG_LEVEL" help:"Lowest level that is logged: debug, info, warn or error."`
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$`)

const minSharedKey = 16 // bytes

// Timing returns the heartbeat interval, the suspicion timeout and the lease
// duration.
func (settings Settings) Timing() leaser.Timing {
	timing := leaser.DefaultTiming()
	timing.HeartbeatInterval, timing.SuspicionTimeout, timing.LeaseDuration = settings.Heartbeat, settings.Suspicion, settings.Lease
	return timing
}

// WithDefaults returns a copy in which empty advertised addresses are set to the
// listen addresses.
func (settings Settings) WithDefaults() Settings {
	if settings.LinkAddress == "" {
		settings.LinkAddress = settings.LinkListen
	}
	if settings.OperatorAddress == "" {
		settings.OperatorAddress = settings.OperatorListen
	}
	return settings
}

// Check validates all settings and returns all errors joined. It is not named
// Validate because kong would call it before WithDefaults.
func (settings Settings) Check() error {
	var failures []error
	add := func(setting, format string, args ...any) {
		failures = append(failures, fmt.Errorf("--%s: %w", setting, fmt.Errorf(format, args...)))
	}
	for setting, name := range map[string]string{"name": settings.Name, "zone": settings.Zone} {
		if !namePattern.MatchString(name) {
			add(setting, "%q is not 1 to 63 letters, digits, '-' and '.'", name)
		}
	}
	if strings.Contains(settings.Zone, ".") {
		add("zone", "%q contains '.', which separates the parts of a group's ID", settings.Zone)
	}
	listeners := map[string]string{}
	for setting, address := range map[string]string{
		"caller-listen": settings.CallerListen, "link-listen": settings.LinkListen, "operator-listen": settings.OperatorListen,
	} {
		if err := checkAddress(address, false); err != nil {
			add(setting, "%w", err)
		} else if other, duplicate := listeners[address]; duplicate && !strings.HasSuffix(address, ":0") {
			add(setting, "%s is also the value of --%s", address, other)
		}
		listeners[address] = setting
	}
	if err := checkAddress(settings.LinkAddress, true); err != nil {
		add("link-address", "%w", err)
	}
	if base, err := url.Parse(settings.Platform); err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		add("platform", "%q is not an http or https URL", settings.Platform)
	}
	if len(settings.SharedKey) < minSharedKey {
		add("shared-key", "has %d bytes; at least %d are required", len(settings.SharedKey), minSharedKey)
	}
	if _, err := settings.seeds(); err != nil {
		add("seeds", "%w", err)
	}
	if settings.StopNotice < 0 || settings.StopTimeout <= 0 {
		add("stop-timeout", "stop notice %v must not be negative and stop timeout %v must be above 0", settings.StopNotice, settings.StopTimeout)
	}
	if settings.MemoryMB < 0 || settings.MaxFDs < 0 {
		add("memory-mb", "memory %d and descriptors %d must not be negative", settings.MemoryMB, settings.MaxFDs)
	}
	if err := settings.Timing().Validate(); err != nil {
		add("lease", "%w", err)
	}
	return errors.Join(failures...)
}

// checkAddress checks that the address has the form host:port. With reachable,
// the host must be set and the port must not be 0, so that other VMs can connect.
func checkAddress(address string, reachable bool) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is not host:port", address)
	}
	if reachable && (host == "" || port == "0") {
		return fmt.Errorf("%q is not an address that other VMs can reach; set host and port", address)
	}
	return nil
}

// seeds parses the VMs of --seeds.
func (settings Settings) seeds() ([]platformer.VM, error) {
	var seeds []platformer.VM
	for _, entry := range settings.Seeds {
		parts := strings.Split(entry, "=")
		if len(parts) != 3 || checkAddress(parts[2], true) != nil {
			return nil, fmt.Errorf("%q is not name=zone=host:port", entry)
		}
		seeds = append(seeds, platformer.VM{Name: parts[0], Zone: parts[1], Address: parts[2]})
	}
	return seeds, nil
}
