package linker

import (
	"net"
	"time"
)

// newDialer returns a dialer whose idle connections notice a lost peer within
// 8 s.
func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3},
	}
}
