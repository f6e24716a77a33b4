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

// ObjectName returns the name of the platform's object that holds the shard map of a
// service.
func ObjectName(service string) string { return "homes/" + service }

// Objects is the part of the object store that a Controller uses.
type Objects interface {
	Get(name string) (platformer.Object, bool)
	Put(ctx context.Context, name string, value []byte, version string) (string, error)
}

// Controller creates missing shard maps and moves shards when the groups of a service
// change. Its exported fields must be set before Run is called.
type Controller struct {
	Clock    clocker.Clock
	Objects  Objects
	Document func() *configurer.Document
	// Position returns how many live VMs precede this one in the order of names. VMs wait
	// in this order before they create a shard map, so that they rarely race. If they do,
	// the conditional update decides.
	Position func() int
	Groups   Groups
	Recorder *timeliner.Recorder

	missingSince map[string]time.Time // by service, when its shard map was first found missing
}

const (
	checkInterval = 250 * time.Millisecond
	// creationStagger is the delay per position before a VM creates a missing shard map.
	creationStagger = 500 * time.Millisecond
)

// Run checks the shard maps of all services periodically until ctx is done.
func (controller *Controller) Run(ctx context.Context) error {
	controller.missingSince = map[string]time.Time{}
	ticker := controller.Clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		controller.checkServices(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
		}
	}
}

// checkServices creates or rebalances the shard map of each service of the document.
func (controller *Controller) checkServices(ctx context.Context) {
	for _, section := range controller.Document().Sections {
		for _, service := range section.Services {
			if _, ok := controller.Objects.Get(ObjectName(service.Name)); ok {
				delete(controller.missingSince, service.Name)
				controller.rebalance(ctx, service)
				continue
			}
			if controller.creationDue(service.Name) {
				controller.createShardMap(ctx, service)
			}
		}
	}
}

// creationDue reports whether the shard map of the service has been missing for the delay
// of this VM's position.
func (controller *Controller) creationDue(service string) bool {
	now := controller.Clock.Now()
	since, ok := controller.missingSince[service]
	if !ok {
		controller.missingSince[service], since = now, now
	}
	return now.Sub(since) >= time.Duration(controller.Position())*creationStagger
}

func (controller *Controller) createShardMap(ctx context.Context, service configurer.Service) {
	shardMap := InitialShardMap(service)
	shardMap.WriteID = uuid.NewString()
	value, err := json.Marshal(shardMap)
	if err != nil {
		return
	}
	// After an error, the object is absent or was written by this or another VM. The next
	// check reads its state.
	if _, err := controller.Objects.Put(ctx, ObjectName(service.Name), value, ""); err != nil {
		if !errors.Is(err, platformer.ErrConflict) {
			return
		}
	}
	controller.Recorder.Record(timeliner.Event{Kind: "homesCreated", Detail: service.Name})
}

// InitialShardMap returns the first shard map of a service: each group receives shards in
// proportion to the slots of its upstreams.
func InitialShardMap(service configurer.Service) locator.ShardMap {
	specs := service.Groups()
	shardMap := locator.ShardMap{Service: service.Name, Revision: 1}
	weights := make([]float64, len(specs))
	for index, spec := range specs {
		shardMap.Groups = append(shardMap.Groups, spec.ID)
		for _, upstream := range spec.Upstreams {
			weights[index] += float64(upstream.Slots)
		}
	}
	shardMap.Shards = sharder.Distribute(service.Shards, weights)
	return shardMap
}
