package linker

import (
	"net"
	"time"
)

// newDialer returns a dialer whose keep-alive probes detect a lost peer on an idle
// connection within 8 s.
func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3},
	}
}
