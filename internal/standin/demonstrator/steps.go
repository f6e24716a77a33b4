package demonstrator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/operator"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	uploadSize = 32 << 20 // bytes
	settle     = 2500 * time.Millisecond
	drainLimit = 10 * time.Second
	unserved   = 2 * time.Second // bound for a key after one loss
)

func (demo *demo) requests(ctx context.Context) error {
	for _, key := range demo.prober.keys[:3] {
		answer, err := demo.balancer.send(ctx, http.MethodGet, "/quotes/"+key, nil, nil)
		if err != nil {
			return err
		}
		fmt.Fprintf(demo.output, "quote for %s: %d from %s\n", key, answer.status, decodeAnswer(answer).Upstream)
		if answer.status != http.StatusOK || !rightAnswer(answer, key) {
			demo.fault("quote for %s: %d %s", key, answer.status, answer.body)
		}
	}
	header := http.Header{"Cuminstream-Request-Id": {"booking-1"}}
	for _, expected := range []answerer.Kind{"done", answerer.DuplicateDone} {
		answer, err := demo.balancer.send(ctx, http.MethodPost, "/bookings/order-7", header, func() io.Reader { return bytes.NewReader([]byte("{}")) })
		if err != nil {
			return err
		}
		fmt.Fprintf(demo.output, "booking with ID booking-1: %d %s\n", answer.status, answer.result)
		if answer.result != expected {
			demo.fault("booking: %q instead of %q: %s", answer.result, expected, answer.body)
		}
	}
	return demo.upload(ctx)
}

func (demo *demo) upload(ctx context.Context) error {
	content := bytes.Repeat([]byte("cuminstream demo "), uploadSize/17)
	sum := sha256.Sum256(content)
	answer, err := demo.balancer.send(ctx, http.MethodPut, "/quotes/manifest-1", nil, func() io.Reader { return bytes.NewReader(content) })
	if err != nil {
		return err
	}
	body := decodeAnswer(answer)
	fmt.Fprintf(demo.output, "upload of %d bytes: %d, %d bytes arrived at %s\n", len(content), answer.status, body.Bytes, body.Upstream)
	if body.SHA256 != hex.EncodeToString(sum[:]) {
		demo.fault("upload: %d %s", answer.status, answer.body)
	}
	return nil
}

// ownerOf asks the operators' program for the owner of a key of the quotes.
func (demo *demo) ownerOf(ctx context.Context, key string) (operator.Owner, error) {
	command := exec.CommandContext(ctx, filepath.Join(demo.flags.Programs, "cuminstream"), "owner", key, "--service", "quotes", "--json", "--operator", demo.operator())
	output, err := command.Output()
	if err != nil {
		return operator.Owner{}, fmt.Errorf("owner of %s: %w", key, err)
	}
	var owners []operator.Owner
	if err := json.Unmarshal(output, &owners); err != nil || len(owners) == 0 {
		return operator.Owner{}, fmt.Errorf("owner of %s: answer %q", key, output)
	}
	return owners[0], nil
}

// sibling returns the other upstream of the same group, which differs in its
// last digit.
func sibling(upstream string) string {
	last := len(upstream) - 1
	if upstream[last] == '1' {
		return upstream[:last] + "2"
	}
	return upstream[:last] + "1"
}

func (demo *demo) moveKey(ctx context.Context) error {
	key := demo.prober.keys[0]
	before, err := demo.ownerOf(ctx, key)
	if err != nil {
		return err
	}
	target := sibling(before.Upstream)
	rule := configurer.KeyRule{Service: "quotes", Key: key, Upstream: target, Hot: true}
	if err := demo.editSection(ctx, "quotes", "keys", []configurer.KeyRule{rule}); err != nil {
		return err
	}
	for began := clock.Now(); ; {
		after, err := demo.ownerOf(ctx, key)
		if err != nil {
			return err
		}
		if after.Upstream == target {
			fmt.Fprintf(demo.output, "key %s moved from %s to %s in %v\n", key, before.Upstream, target, clock.Now().Sub(began).Round(time.Millisecond))
			break
		}
		if clock.Now().Sub(began) > drainLimit {
			demo.fault("key %s is still at %s", key, after.Upstream)
			break
		}
		if err := clocker.Sleep(ctx, clock, probeInterval); err != nil {
			return err
		}
	}
	return demo.report(ctx, "the move", 0)
}

// editSection replaces one field of a section, as an operator does with get and
// apply.
func (demo *demo) editSection(ctx context.Context, section, field string, value any) error {
	fmt.Fprintf(demo.output, "$ cuminstream get %s > %s.json\n", section, section)
	command := exec.CommandContext(ctx, filepath.Join(demo.flags.Programs, "cuminstream"), "get", section, "--platform", demo.fleet.Platform)
	var notes bytes.Buffer
	command.Stderr = &notes
	body, err := command.Output()
	if err != nil {
		return fmt.Errorf("get %s: %w: %s", section, err, notes.Bytes())
	}
	var revision int
	if _, err := fmt.Sscanf(notes.String(), "revision %d", &revision); err != nil {
		return fmt.Errorf("revision of section %s: %w", section, err)
	}
	fields := map[string]any{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return fmt.Errorf("section %s: %w", section, err)
	}
	fields[field] = value
	changed, err := json.MarshalIndent(fields, "", "  ")
	if err != nil {
		return fmt.Errorf("section %s: %w", section, err)
	}
	file := filepath.Join(demo.fleet.Directory, section+".json")
	if err := os.WriteFile(file, changed, 0o600); err != nil {
		return fmt.Errorf("section %s: %w", section, err)
	}
	return demo.cli(ctx, "apply", section, file, "--base", strconv.Itoa(revision))
}

// report waits until the effects of an event are over and prints for how long
// keys were without an answer.
func (demo *demo) report(ctx context.Context, event string, wait time.Duration) error {
	if err := clocker.Sleep(ctx, clock, wait); err != nil {
		return err
	}
	longest, affected := demo.prober.reset()
	fmt.Fprintf(demo.output, "%s: longest time without an answer %v, keys over %v: %d of %d\n",
		event, longest.Round(time.Millisecond), notableGap, affected, len(demo.prober.keys))
	if longest > unserved {
		demo.fault("%s: a key was unavailable for %v", event, longest)
	}
	return nil
}

func (demo *demo) drainUpstream(ctx context.Context) error {
	demo.prober.reset()
	name := demo.services["quotes"][0].Name
	if err := demo.cli(ctx, "drain", name, "--section", "quotes", "--reason", "maintenance"); err != nil {
		return err
	}
	began := clock.Now()
	for {
		state, err := demo.upstreamState(ctx, name)
		if err != nil {
			return err
		}
		if state == "drained" {
			fmt.Fprintf(demo.output, "%s is drained after %v\n", name, clock.Now().Sub(began).Round(time.Millisecond))
			break
		}
		if clock.Now().Sub(began) > drainLimit {
			demo.fault("%s is still %q", name, state)
			break
		}
		if err := clocker.Sleep(ctx, clock, probeInterval); err != nil {
			return err
		}
	}
	return demo.report(ctx, "the drain", time.Second)
}

// upstreamState returns the state of an upstream as its group's holder sees it.
func (demo *demo) upstreamState(ctx context.Context, name string) (string, error) {
	command := exec.CommandContext(ctx, filepath.Join(demo.flags.Programs, "cuminstream"), "status", "--json", "--operator", demo.operator())
	output, err := command.Output()
	if err != nil {
		return "", fmt.Errorf("status: %w", err)
	}
	var fleet operator.Fleet
	if err := json.Unmarshal(output, &fleet); err != nil {
		return "", fmt.Errorf("status: %w", err)
	}
	for _, vm := range fleet.VMs {
		for _, group := range vm.Groups {
			for _, upstream := range group.Upstreams {
				if group.Holder == vm.VM && upstream.Name == name {
					return upstream.State, nil
				}
			}
		}
	}
	return "", nil
}

func (demo *demo) killVM(ctx context.Context) error {
	demo.prober.reset()
	// The holder of a followed key is the VM whose loss is felt most.
	owner, err := demo.ownerOf(ctx, demo.prober.keys[0])
	if err != nil {
		return err
	}
	fmt.Fprintf(demo.output, "kill -9 %s, which holds %s\n", owner.Holder, owner.Group)
	if err := demo.fleet.Process(owner.Holder).Kill(); err != nil {
		return err
	}
	return demo.report(ctx, "loss of "+owner.Holder, settle)
}

func (demo *demo) killUpstream(ctx context.Context) error {
	demo.prober.reset()
	// An upstream of the zone in which nothing is drained.
	name := demo.services["quotes"][upstreamsPerZone].Name
	fmt.Fprintf(demo.output, "kill -9 %s\n", name)
	if err := demo.fleet.Process(name).Kill(); err != nil {
		return err
	}
	return demo.report(ctx, "loss of "+name, settle)
}
