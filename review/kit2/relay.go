package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
)

// relay forwards the bytes of TCP connections unchanged. While it is cut, it holds them back in
// both directions, also the ends of connections, as a partition does.
type relay struct {
	Address string
	target  string

	mutex sync.Mutex
	cond  *sync.Cond
	isCut bool
}

func newRelay(target string) *relay {
	listener := listen()
	created := &relay{Address: listener.Addr().String(), target: target}
	created.cond = sync.NewCond(&created.mutex)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go created.forward(conn)
		}
	}()
	return created
}

func (relay *relay) setCut(cut bool) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.isCut = cut
	relay.cond.Broadcast()
}

func (relay *relay) awaitPath() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for relay.isCut {
		relay.cond.Wait()
	}
}

func (relay *relay) forward(accepted net.Conn) {
	relay.awaitPath()
	dialed, err := net.Dial("tcp", relay.target)
	if err != nil {
		_ = accepted.(*net.TCPConn).SetLinger(0)
		_ = accepted.Close()
		return
	}
	go relay.pipe(accepted, dialed)
	relay.pipe(dialed, accepted)
}

func (relay *relay) pipe(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		relay.awaitPath()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// network has a path from each machine to the store and to each other machine. All processes
// share one loopback interface, so the paths between them are relays: each machine reads the
// addresses of its own relays from the store in place of those of the others.
type network struct {
	store *store
	paths map[string]map[string]*relay // by machine and by the address of the other end

	mutex sync.Mutex
	names map[string]string // machines by address of their links
}

func newNetwork(store *store) *network {
	return &network{store: store, paths: map[string]map[string]*relay{}, names: map[string]string{}}
}

// storeAddress returns the address of the store for a machine.
func (network *network) storeAddress(machine string) string {
	listener := listen()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			network.store.serve(writer, request, func(kind string, found object) object { return network.rewrite(machine, kind, found) })
		}))
	}()
	path := newRelay(listener.Addr().String())
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.paths[machine] == nil {
		network.paths[machine] = map[string]*relay{}
	}
	network.paths[machine]["store"] = path
	return path.Address
}

// rewrite puts the addresses of a machine's relays into the entries of other machines.
func (network *network) rewrite(machine, kind string, found object) object {
	if kind != "cuminstream-vms" || found.Metadata.Name == machine {
		return found
	}
	var entry struct {
		Address string `json:"address"`
	}
	if json.Unmarshal(found.Spec, &entry) != nil || entry.Address == "" {
		return found
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.names[entry.Address] = found.Metadata.Name
	path := network.paths[machine][entry.Address]
	if path == nil {
		path = newRelay(entry.Address)
		network.paths[machine][entry.Address] = path
	}
	found.Spec = json.RawMessage(strings.Replace(string(found.Spec), entry.Address, path.Address, 1))
	return found
}

// cutOff cuts a machine off from the store and from all other machines, in both directions, or
// heals that. Clients and servers still reach it, and it them.
func (network *network) cutOff(machine string, cut bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for from, paths := range network.paths {
		for address, path := range paths {
			if from == machine || network.names[address] == machine {
				path.setCut(cut)
			}
		}
	}
}
