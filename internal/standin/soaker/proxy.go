package soaker

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// fault is what a proxy does to its connections.
type fault int

const (
	none   fault = iota
	slow         // each piece is held up
	silent       // nothing passes, in either direction
	oneWay       // nothing comes back
	reset        // connections are reset
)

// Proxy passes connections on to a target and spoils them.
type Proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	fault fault
	open  map[net.Conn]struct{}
	group *errgroup.Group
}

// slowDelay is the time that a slow proxy holds up each piece.
const slowDelay = 60 * time.Millisecond

func newProxy(target string, group *errgroup.Group) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{listener: listener, target: target, open: map[net.Conn]struct{}{}, group: group}
	group.Go(func() error {
		proxy.accept()
		return nil
	})
	return proxy, nil
}

func (proxy *Proxy) address() string { return proxy.listener.Addr().String() }

// set changes the fault. A reset ends the connections at once.
func (proxy *Proxy) set(fault fault) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.fault = fault
	if fault == reset {
		for conn := range proxy.open {
			end(conn)
		}
	}
}

func (proxy *Proxy) current() fault {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.fault
}

// end resets a connection.
func end(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may have ended
	}
	_ = conn.Close()
}

func (proxy *Proxy) close() {
	_ = proxy.listener.Close()
	proxy.set(reset)
}

func (proxy *Proxy) accept() {
	for {
		conn, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		if proxy.current() == reset {
			end(conn)
			continue
		}
		proxy.group.Go(func() error {
			proxy.serve(conn)
			return nil
		})
	}
}

func (proxy *Proxy) serve(caller net.Conn) {
	target, err := net.DialTimeout("tcp", proxy.target, time.Second)
	if err != nil {
		end(caller)
		return
	}
	proxy.mutex.Lock()
	proxy.open[caller], proxy.open[target] = struct{}{}, struct{}{}
	proxy.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { proxy.pass(caller, target, false) })
	both.Go(func() { proxy.pass(target, caller, true) })
	both.Wait()
	end(caller)
	end(target)
	proxy.mutex.Lock()
	delete(proxy.open, caller)
	delete(proxy.open, target)
	proxy.mutex.Unlock()
}

// pass copies one direction until its end, which it passes on. If the connection breaks, or
// its bytes are lost, both ends are reset.
func (proxy *Proxy) pass(from, to net.Conn, back bool) {
	complete := false
	defer func() {
		if !complete {
			end(from)
			end(to)
		}
	}()
	piece := make([]byte, 16<<10)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			if !proxy.hold(from, back) {
				return
			}
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			closer, ok := to.(interface{ CloseWrite() error })
			complete = err == io.EOF && ok && closer.CloseWrite() == nil
			return
		}
	}
}

// hold waits while bytes do not pass. What is held up is lost when its sender
// resets the connection meanwhile: hold then returns false.
func (proxy *Proxy) hold(from net.Conn, back bool) bool {
	for held := proxy.current(); held == silent || (held == oneWay && back); held = proxy.current() {
		if err := from.SetReadDeadline(time.Now().Add(slowDelay / 4)); err != nil {
			return false
		}
		var next [1]byte
		_, err := from.Read(next[:])
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false // reset, or more than this stand-in can hold
		}
	}
	if err := from.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	if proxy.current() == slow {
		time.Sleep(slowDelay)
	}
	return true
}
