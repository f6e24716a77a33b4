package operator

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

// maxConcurrentCalls bounds the concurrent control calls of one gather.
const maxConcurrentCalls = 32

// encodeJSON encodes the answer to a control call as JSON, so that the types of
// this package have the same encoding on links and on the operators' listener.
func encodeJSON(value any) ([]byte, error) { return json.Marshal(value) }

// gather calls all other VMs concurrently. It returns their answers, and the names
// of the VMs whose call failed.
func gather[T any](ctx context.Context, server *Server, method string, body any) ([]T, []string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var (
		mutex       sync.Mutex
		answers     []T
		unreachable []string
		group       errgroup.Group
	)
	group.SetLimit(maxConcurrentCalls)
	for _, vm := range server.Peers() {
		group.Go(func() error {
			answer, err := call[T](ctx, server, vm, method, body)
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

// call makes one control call and decodes the JSON answer.
func call[T any](ctx context.Context, server *Server, vm, method string, body any) (T, error) {
	var (
		encoded []byte
		answer  T
	)
	if err := server.Caller.Call(ctx, vm, method, body, &encoded); err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(encoded, &answer)
}
