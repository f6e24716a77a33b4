package replicator

import (
	"context"

	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

// Register answers the control calls of other VMs for the groups that lookup
// finds.
func Register(registrar linker.Registrar, lookup func(id string) *Group) {
	bodies := map[string]func() any{
		methodPromise: func() any { return &promiseCall{} }, methodCopy: func() any { return &copyCall{} },
		methodSnapshot: func() any { return &snapshotCall{} }, methodRestore: func() any { return &restoreCall{} },
		methodRelease: func() any { return &releaseCall{} }, methodHolder: func() any { return &holderCall{} },
	}
	for method, newBody := range bodies {
		registrar.Handle(method, func(ctx context.Context, from string, decode func(any) error) (any, error) {
			body := newBody()
			if err := decode(body); err != nil {
				return nil, err
			}
			group := lookup(groupOf(body))
			if group == nil {
				return nil, ErrNotMember
			}
			return group.Answer(ctx, from, method, body)
		})
	}
}

func groupOf(body any) string {
	if holder, ok := body.(*holderCall); ok {
		return holder.Group
	}
	return body.(interface{ group() string }).group()
}

// Found brings the first state to the candidates of a new record.
func Found(ctx context.Context, clock clocker.Clock, timing leaser.Timing, caller linker.Caller, record Record) error {
	founder := &founder{clock: clock, timing: timing, caller: caller, record: record}
	return founder.found(ctx, State{})
}
