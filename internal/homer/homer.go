package homer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/sharder"
)

// ObjectName returns the name of the platform's object for a service.
func ObjectName(service string) string { return "homes/" + service }

// Objects is the part of the object store that a Homer uses.
type Objects interface {
	Get(name string) (platformer.Object, bool)
	Put(ctx context.Context, name string, value []byte, version string) (string, error)
}

// Controller creates the homes of services that have none, and moves shards when the
// groups of a service change. Its exported fields are set before Run.
type Controller struct {
	Clock    clocker.Clock
	Objects  Objects
	Document func() *configurer.Document
	// Position is this VM's place in the order of live VMs. VMs act one after the
	// other, so that they rarely race; the conditional update decides if they do.
	Position func() int
	Groups   Groups
	Recorder *timeliner.Recorder

	since map[string]time.Time
}

const (
	interval  = 250 * time.Millisecond
	turnDelay = 500 * time.Millisecond
)

// Run checks the services until ctx is done.
func (homer *Controller) Run(ctx context.Context) error {
	homer.since = map[string]time.Time{}
	ticker := homer.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		homer.checkAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
		}
	}
}

func (homer *Controller) checkAll(ctx context.Context) {
	for _, section := range homer.Document().Sections {
		for _, service := range section.Services {
			if _, ok := homer.Objects.Get(ObjectName(service.Name)); ok {
				delete(homer.since, service.Name)
				homer.move(ctx, service)
				continue
			}
			if homer.due(service.Name) {
				homer.create(ctx, service)
			}
		}
	}
}

// due reports whether the service has been without homes long enough for this
// VM's turn.
func (homer *Controller) due(service string) bool {
	now := homer.Clock.Now()
	first, ok := homer.since[service]
	if !ok {
		homer.since[service], first = now, now
	}
	return now.Sub(first) >= time.Duration(homer.Position())*turnDelay
}

func (homer *Controller) create(ctx context.Context, service configurer.Service) {
	homes := InitialShardMap(service)
	homes.WriteID = uuid.NewString()
	value, err := json.Marshal(homes)
	if err != nil {
		return
	}
	// An error leaves the object absent or written by this or another VM; the
	// next check reads what is there.
	if _, err := homer.Objects.Put(ctx, ObjectName(service.Name), value, ""); err != nil {
		if !errors.Is(err, platformer.ErrConflict) {
			return
		}
	}
	homer.Recorder.Record(timeliner.Event{Kind: "homesCreated", Detail: service.Name})
}

// InitialShardMap returns the first homes of a service: each group receives shards in
// proportion to the slots of its upstreams.
func InitialShardMap(service configurer.Service) locator.ShardMap {
	specs := service.Groups()
	homes := locator.ShardMap{Service: service.Name, Revision: 1}
	weights := make([]float64, len(specs))
	for index, spec := range specs {
		homes.Groups = append(homes.Groups, spec.ID)
		for _, upstream := range spec.Upstreams {
			weights[index] += float64(upstream.Slots)
		}
	}
	homes.Shards = sharder.Distribute(service.Shards, weights)
	return homes
}
