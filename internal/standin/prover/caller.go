package prover

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminstream/cuminstream/internal/standin/launcher"
	"github.com/cuminstream/cuminstream/internal/standin/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// answerSpare is how much longer than its deadline a caller waits.
	answerSpare = 500 * time.Millisecond
	maxAnswer   = 1 << 20 // bytes
)

// order is what a caller wants to be done.
type order struct {
	id, service, key string
	method           string
	body             []byte
	reader           io.Reader // instead of body
	bodyHash         string    // of reader
	timeout          time.Duration
	work             time.Duration // service time; 0 is the upstream's own
	header           http.Header
}

// balancer spreads orders over the VMs that callers should use, as the
// platform's balancer does.
type balancer struct {
	history *history
	client  *http.Client
	next    atomic.Uint64

	mutex sync.Mutex
	vms   []*target
}

// target is a VM as the balancer sees it.
type target struct {
	launcher.VM
	excluded bool
	lost     context.Context
	cancel   context.CancelFunc
}

func newBalancer(history *history, vms []launcher.VM) *balancer {
	balancer := &balancer{history: history, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}}
	for _, vm := range vms {
		balancer.vms = append(balancer.vms, newTarget(vm))
	}
	return balancer
}

func newTarget(vm launcher.VM) *target {
	lost, cancel := context.WithCancel(context.Background())
	return &target{VM: vm, lost: lost, cancel: cancel}
}

// exclude sends nothing more to the VM. With cut, callers also give up the
// requests that they sent to it, because the time until a balancer notices a
// frozen VM is not the system's.
func (balancer *balancer) exclude(name string, cut bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	for _, vm := range balancer.vms {
		if vm.Name == name {
			vm.excluded = true
			if cut {
				vm.cancel()
			}
		}
	}
}

// include uses the VM again, or for the first time.
func (balancer *balancer) include(vm launcher.VM) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	for index, known := range balancer.vms {
		if known.Name == vm.Name {
			balancer.vms[index] = newTarget(vm)
			return
		}
	}
	balancer.vms = append(balancer.vms, newTarget(vm))
}

func (balancer *balancer) pick() *target {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	for range len(balancer.vms) {
		vm := balancer.vms[balancer.next.Add(1)%uint64(len(balancer.vms))]
		if !vm.excluded {
			return vm
		}
	}
	return balancer.vms[0]
}

// send sends the order once through the next VM and keeps the attempt.
func (balancer *balancer) send(ctx context.Context, order order) attempt {
	return balancer.sendTo(ctx, balancer.pick(), order)
}

func (balancer *balancer) sendTo(ctx context.Context, vm *target, order order) attempt {
	ctx, cancel := clocker.WithTimeout(ctx, clock, order.timeout+answerSpare)
	defer cancel()
	defer context.AfterFunc(vm.lost, cancel)()
	sent := attempt{
		ID: order.id, Service: order.service, Key: order.key, Idempotent: order.method != http.MethodPost,
		Lookup:   order.method == http.MethodGet,
		BodyHash: order.bodyHash, VM: vm.Name, Start: clock.Now(),
	}
	if order.reader == nil {
		sum := sha256.Sum256(order.body)
		sent.BodyHash = hex.EncodeToString(sum[:])
	}
	sent.Err = balancer.exchange(ctx, vm, order, &sent)
	sent.End = clock.Now()
	balancer.history.add(sent)
	return sent
}

func (balancer *balancer) exchange(ctx context.Context, vm *target, order order, sent *attempt) error {
	reader := order.reader
	if reader == nil {
		reader = bytes.NewReader(order.body)
	}
	request, err := http.NewRequestWithContext(ctx, order.method, "http://"+vm.Caller+"/"+order.service+"/"+order.key, reader)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	for name, values := range order.header {
		request.Header[name] = values
	}
	request.Header.Set("Cuminstream-Request-Id", order.id)
	request.Header.Set("Cuminstream-Timeout", strconv.FormatInt(order.timeout.Milliseconds(), 10))
	if order.work > 0 {
		request.Header.Set(upstreamer.HeaderServiceTime, order.work.String())
	}
	// Without GetBody, the client never sends a request again by itself.
	request.GetBody = nil
	response, err := balancer.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	sent.Status, sent.Result = response.StatusCode, answerer.Kind(response.Header.Get(answerer.HeaderResult))
	sent.NotRun = response.Header.Get(answerer.HeaderNotRun) == "true"
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("answer was cut: %w", err)
	}
	if sent.Status == http.StatusOK {
		if err := json.Unmarshal(content, &sent.Answer); err != nil {
			return fmt.Errorf("answer %q: %w", content, err)
		}
	}
	return nil
}
