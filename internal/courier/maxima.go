package courier

import (
	"sync"
	"time"
)

// maximumWindow is the time for which the maximum of a route is remembered, at least; at most
// twice as long.
const maximumWindow = 30 * time.Second

// routeMaxima remembers the largest recent value of each route.
type routeMaxima struct {
	mutex  sync.Mutex
	routes map[string]*recentMaximum
}

type recentMaximum struct {
	since             time.Time // begin of the current window
	current, previous int64     // largest of the current and of the previous window
}

// window returns the values of a route after their windows have moved on. The mutex is held.
func (maxima *routeMaxima) window(route string, now time.Time) *recentMaximum {
	if maxima.routes == nil {
		maxima.routes = map[string]*recentMaximum{}
	}
	known := maxima.routes[route]
	if known == nil {
		known = &recentMaximum{since: now}
		maxima.routes[route] = known
	}
	if age := now.Sub(known.since); age >= 2*maximumWindow {
		*known = recentMaximum{since: now}
	} else if age >= maximumWindow {
		*known = recentMaximum{since: now, previous: known.current}
	}
	return known
}

// add records a value.
func (maxima *routeMaxima) add(route string, value int64, now time.Time) {
	maxima.mutex.Lock()
	defer maxima.mutex.Unlock()
	known := maxima.window(route, now)
	known.current = max(known.current, value)
}

// largest returns the largest recent value; 0 if there was none.
func (maxima *routeMaxima) largest(route string, now time.Time) int64 {
	maxima.mutex.Lock()
	defer maxima.mutex.Unlock()
	known := maxima.window(route, now)
	return max(known.current, known.previous)
}
