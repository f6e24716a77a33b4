package configurer

import (
	"context"
	"fmt"
	"sync"

	"github.com/cuminstream/cuminstream/internal/platformer"
)

// bodyCache caches section bodies by the name of their object. Bodies never
// change, so that no entry goes stale. The zero value is ready for use.
type bodyCache struct {
	mutex  sync.Mutex
	bodies map[string][]byte
	size   int // bytes of all bodies
}

// get returns the body with the name, from the cache or else from the platform.
// It returns an error if the body does not match the hash in its name.
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
		return nil, fmt.Errorf("value of %s does not match the hash in its name", name)
	}
	cache.put(name, object.Value)
	return object.Value, nil
}

// put adds the body. It first empties a cache that would exceed
// maxCachedBytes.
func (cache *bodyCache) put(name string, body []byte) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if _, ok := cache.bodies[name]; ok {
		return
	}
	if cache.bodies == nil || cache.size+len(body) > maxCachedBytes {
		cache.bodies, cache.size = map[string][]byte{}, 0
	}
	cache.bodies[name] = body
	cache.size += len(body)
}
