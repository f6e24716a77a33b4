package operator

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

// gatherers bounds the control calls that one gathering makes at a time.
const gatherers = 32

// asText encodes an answer as JSON, so that operators' types have one format
// on links and on the listener.
func asText(value any) ([]byte, error) { return json.Marshal(value) }

// gather asks all other VMs and returns the answers, and the names of the VMs
// that gave none.
func gather[T any](ctx context.Context, server *Server, method string, body any) ([]T, []string) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var (
		mutex       sync.Mutex
		answers     []T
		unreachable []string
		group       errgroup.Group
	)
	group.SetLimit(gatherers)
	for _, vm := range server.Peers() {
		group.Go(func() error {
			answer, err := ask[T](ctx, server, vm, method, body)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				unreachable = append(unreachable, vm)
			} else {
				answers = append(answers, answer)
			}
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(unreachable)
	return answers, unreachable
}

func ask[T any](ctx context.Context, server *Server, vm, method string, body any) (T, error) {
	var (
		text   []byte
		answer T
	)
	if err := server.Caller.Call(ctx, vm, method, body, &text); err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(text, &answer)
}
