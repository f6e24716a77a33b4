package demonstrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

var clock = clocker.System{}

type flags struct {
	Programs string        `default:"bin" help:"Directory of the built programs."`
	Limit    time.Duration `default:"55s" help:"Longest duration of the demo."`
	Logs     bool          `help:"Print the VMs' logs at the end."`
}

// demo is one run.
type demo struct {
	flags    flags
	output   io.Writer
	fleet    *launcher.Fleet
	vms      []launcher.VM
	services map[string][]launcher.Upstream
	balancer *balancer
	prober   *prober
	faults   []string
}

// Main runs the demo and exits with 1 if any answer was wrong.
func Main() {
	var flags flags
	parser := kong.Parse(&flags, kong.Name("demo"), kong.Description("Shows the system under failures, as processes on loopback."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := clocker.WithTimeout(ctx, clock, flags.Limit)
	defer cancel()
	fleet, err := launcher.NewFleet(flags.Programs)
	parser.FatalIfErrorf(err)
	demo := &demo{flags: flags, output: os.Stdout, fleet: fleet, services: map[string][]launcher.Upstream{}}
	err = demo.run(ctx)
	demo.printLogs(err != nil)
	fleet.Close()
	parser.FatalIfErrorf(err)
}

// run performs the demo's steps in order.
func (demo *demo) run(ctx context.Context) error {
	steps := []struct {
		title string
		do    func(context.Context) error
	}{
		{"start the platform, 4 entry VMs in 2 zones and 8 upstreams of 2 services", demo.start},
		{"apply the routing document", demo.apply},
		{"send quotes, a booking twice, and an upload", demo.requests},
		{"move a hot key to another upstream", demo.moveKey},
		{"drain an upstream", demo.drainUpstream},
		{"kill an entry VM", demo.killVM},
		{"kill an upstream", demo.killUpstream},
		{"status", func(ctx context.Context) error { return demo.show(ctx, "status") }},
		{"time line", func(ctx context.Context) error { return demo.show(ctx, "timeline") }},
	}
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	var group errgroup.Group
	for number, step := range steps {
		fmt.Fprintf(demo.output, "\n== %d. %s\n", number+1, step.title)
		if err := step.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
		if number == 2 {
			group.Go(func() error { return demo.prober.run(probing) })
		}
	}
	stopProbing()
	_ = group.Wait()
	return demo.verdict()
}

func (demo *demo) verdict() error {
	fmt.Fprintf(demo.output, "\n%d quotes were sent during the failures; refused or lost: %v\n", demo.prober.sent, demo.prober.failed)
	for _, sample := range demo.prober.samples {
		fmt.Fprintln(demo.output, "for example:", sample)
	}
	faults := append(demo.faults, demo.prober.wrong...)
	if len(faults) > 0 {
		return errors.New("wrong answers:\n" + strings.Join(faults, "\n"))
	}
	fmt.Fprintln(demo.output, "all answers were right")
	return nil
}

func (demo *demo) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Fprintln(demo.output, "WRONG:", text)
	demo.faults = append(demo.faults, text)
}

func (demo *demo) start(ctx context.Context) error {
	if err := demo.fleet.StartPlatform(ctx, "--vm-lag", "1s"); err != nil {
		return err
	}
	for _, zone := range zones {
		for number := range 2 {
			vm, err := launcher.NewVM(fmt.Sprintf("vm-%s-%d", zone[len(zone)-1:], number+1), zone)
			if err != nil {
				return err
			}
			if err := demo.fleet.StartVM(ctx, vm); err != nil {
				return err
			}
			demo.vms = append(demo.vms, vm)
		}
	}
	demo.balancer = &balancer{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for _, vm := range demo.vms {
		demo.balancer.addresses = append(demo.balancer.addresses, vm.Caller)
	}
	return nil
}

func (demo *demo) apply(ctx context.Context) error {
	for service, team := range map[string]string{"quotes": "rates", "bookings": "sales"} {
		processes, declared, err := upstreams(service)
		if err != nil {
			return err
		}
		demo.services[service] = processes
		for _, process := range processes {
			if err := demo.fleet.StartUpstream(ctx, process); err != nil {
				return err
			}
		}
		body, err := section(service, team, declared)
		if err != nil {
			return err
		}
		file := filepath.Join(demo.fleet.Directory, service+".json")
		if err := os.WriteFile(file, body, 0o600); err != nil {
			return fmt.Errorf("section %s: %w", service, err)
		}
		if err := demo.cli(ctx, "apply", service, file); err != nil {
			return err
		}
	}
	for _, vm := range demo.vms {
		if err := launcher.WaitForStatus(ctx, "http://"+vm.Operator+"/readyz", http.StatusOK); err != nil {
			return err
		}
	}
	return demo.waitForKeys(ctx)
}

// waitForKeys waits until the keys that the demo follows are served.
func (demo *demo) waitForKeys(ctx context.Context) error {
	demo.prober = &prober{balancer: demo.balancer, gaps: map[string]time.Duration{}, failed: map[string]int{}}
	for number := range 24 {
		key := fmt.Sprintf("rate-%02d", number)
		demo.prober.keys = append(demo.prober.keys, key)
		for _, service := range []string{"quotes", "bookings"} {
			path := "/" + service + "/" + key
			for {
				answer, err := demo.balancer.send(ctx, http.MethodPut, path, nil, func() io.Reader { return strings.NewReader("x") })
				if err == nil && answer.status == http.StatusOK {
					break
				}
				if err := clocker.Sleep(ctx, clock, probeInterval); err != nil {
					return fmt.Errorf("%s was not served, last answer %d %s", path, answer.status, answer.body)
				}
			}
		}
	}
	return nil
}

// cli runs the operators' program and shows its call and output.
func (demo *demo) cli(ctx context.Context, arguments ...string) error {
	fmt.Fprintf(demo.output, "$ cuminstream %s\n", strings.Join(arguments, " "))
	command := exec.CommandContext(ctx, filepath.Join(demo.flags.Programs, "cuminstream"), arguments...)
	command.Env = append(os.Environ(), "CUMINSTREAM_PLATFORM="+demo.fleet.Platform, "CUMINSTREAM_OPERATOR="+demo.operator())
	command.Stdout, command.Stderr = demo.output, demo.output
	if err := command.Run(); err != nil {
		return fmt.Errorf("cuminstream %s: %w", arguments[0], err)
	}
	return nil
}

// operator returns the operators' listener of a VM that runs.
func (demo *demo) operator() string {
	for _, vm := range demo.vms {
		if process := demo.fleet.Process(vm.Name); process != nil && !process.Exited() {
			return vm.Operator
		}
	}
	return ""
}

func (demo *demo) show(ctx context.Context, operation string) error { return demo.cli(ctx, operation) }

func (demo *demo) printLogs(failed bool) {
	if !demo.flags.Logs && !failed {
		return
	}
	for _, vm := range demo.vms {
		content, err := os.ReadFile(filepath.Join(demo.fleet.Directory, vm.Name+".log"))
		if err == nil {
			fmt.Fprintf(demo.output, "\n-- log of %s\n%s", vm.Name, content)
		}
	}
}

// answerBody is what the upstreams' stand-in answers.
type answerBody struct {
	Upstream string `json:"upstream"`
	Request  string `json:"request"`
	Key      string `json:"key"`
	Bytes    int64  `json:"bytes"`
	SHA256   string `json:"sha256"`
}

func decodeAnswer(answer reply) answerBody {
	var body answerBody
	_ = json.Unmarshal(answer.body, &body)
	return body
}

func rightAnswer(answer reply, key string) bool { return decodeAnswer(answer).Key == key }
