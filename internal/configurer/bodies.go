package configurer

import (
	"context"
	"fmt"
	"sync"

	"github.com/cuminstream/cuminstream/internal/platformer"
)

// bodyCache keeps section bodies, which never change. The zero value is ready
// for use.
type bodyCache struct {
	mutex  sync.Mutex
	bodies map[string][]byte
	size   int // bytes of all bodies
}

// get returns the body object's value, from the platform if it is not cached.
func (cache *bodyCache) get(ctx context.Context, api platformer.API, name string) ([]byte, error) {
	cache.mutex.Lock()
	body, ok := cache.bodies[name]
	cache.mutex.Unlock()
	if ok {
		return body, nil
	}
	object, err := api.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	if BodyName(object.Value) != name {
		return nil, fmt.Errorf("value of %s does not have the hash of its name", name)
	}
	cache.put(name, object.Value)
	return object.Value, nil
}

func (cache *bodyCache) put(name string, body []byte) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if _, ok := cache.bodies[name]; ok {
		return
	}
	if cache.bodies == nil || cache.size+len(body) > cachedBytes {
		cache.bodies, cache.size = map[string][]byte{}, 0
	}
	cache.bodies[name] = body
	cache.size += len(body)
}
