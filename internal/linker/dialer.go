package linker

import (
	"net"
	"syscall"
	"time"
)

// newDialer returns a dialer whose connections notice a lost peer: an idle one
// within 8 s, one with unacknowledged data within unackedTimeout.
func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(tuneSocket)
		},
	}
}
