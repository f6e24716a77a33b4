package prover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/google/uuid"

	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	keyCount      = 16 // of each service
	lookupPeriod  = 60 * time.Millisecond
	lookupTimeout = 1500 * time.Millisecond
	bookers       = 6 // of each service
	bookingPeriod = 60 * time.Millisecond
	bookingLimit  = 3 * time.Second
	// longWork is the service time of each longEvery-th booking where the test
	// asks for long ones, so that a loss meets bookings that run.
	longWork  = 100 * time.Millisecond
	longEvery = 4
	// repeatEvery is how often a booking that was done is sent again.
	repeatEvery  = 5
	maxRepeats   = 6
	repeatPause  = 40 * time.Millisecond
	bookingBytes = 256
)

// load sends lookups of all keys and bookings through all VMs until ctx is done.
type load struct {
	balancer *balancer
	seed     uint64
	long     bool // some bookings take longWork
}

func keyName(number int) string { return fmt.Sprintf("key-%02d", number) }

// run sends until ctx is done. Requests in flight are then finished, so that no
// outcome is left open by the test itself.
func (load *load) run(ctx context.Context) error {
	var group errgroup.Group
	for service := range services {
		for number := range keyCount {
			group.Go(func() error {
				load.follow(ctx, service, keyName(number))
				return nil
			})
		}
		for number := range bookers {
			random := rand.New(rand.NewPCG(load.seed, uint64(number)))
			group.Go(func() error {
				load.book(ctx, service, random)
				return nil
			})
		}
	}
	return group.Wait()
}

// follow looks one key up again and again.
func (load *load) follow(ctx context.Context, service, key string) {
	for ctx.Err() == nil {
		began := clock.Now()
		load.balancer.send(context.WithoutCancel(ctx), order{
			id: uuid.NewString(), service: service, key: key, method: http.MethodGet, timeout: lookupTimeout,
		})
		_ = clocker.Sleep(ctx, clock, lookupPeriod-clock.Now().Sub(began))
	}
}

// book makes bookings one after the other, and repeats each one through other
// VMs with the same ID until its outcome is known.
func (load *load) book(ctx context.Context, service string, random *rand.Rand) {
	for number := 0; ctx.Err() == nil; number++ {
		id, err := uuid.NewV7()
		if err != nil {
			return
		}
		body := make([]byte, bookingBytes)
		for index := range body {
			body[index] = byte('a' + random.IntN(26))
		}
		booking := order{
			id: id.String(), service: service, key: keyName(random.IntN(keyCount)), method: http.MethodPost,
			body: body, timeout: bookingLimit,
		}
		if load.long && number%longEvery == 0 {
			booking.work = longWork
		}
		load.settle(ctx, booking)
		if number%repeatEvery == 0 {
			load.balancer.send(context.WithoutCancel(ctx), booking)
		}
		_ = clocker.Sleep(ctx, clock, bookingPeriod)
	}
}

// settle sends the booking until its outcome is known.
func (load *load) settle(ctx context.Context, booking order) {
	for range maxRepeats {
		sent := load.balancer.send(context.WithoutCancel(ctx), booking)
		if sent.Err == nil && !sent.NotRun && sent.Result != answerer.DuplicateInProgress {
			return
		}
		if clocker.Sleep(ctx, clock, repeatPause) != nil {
			return
		}
	}
}
