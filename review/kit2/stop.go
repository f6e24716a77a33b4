package main

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stop: a machine gets SIGTERM while clients with open connections send uploads, of which
// some wait for a slot until the grace period is nearly over.
func stop(repository, temporary string) {
	const (
		uploads = 16
		work    = time.Second
		limit   = 8 * time.Second
		timeout = 4 * time.Second // timeout-s
	)
	store := newStore()
	putConfig(store, 3, []route{{"manifests", "/manifests/", "upload", "manifest-svc", 8, 4, 2, 1}}, map[string]bool{"manifest-svc": false})
	var servers []*server
	for _, zone := range []string{"zone-a", "zone-b"} {
		started := startServer(store, "i-"+zone, "manifest-svc", zone, 2, false)
		started.Work = func(*http.Request) time.Duration { return work }
		servers = append(servers, started)
	}
	vms := small(repository, temporary, store, terms{GraceS: 6, DrainS: 2, ConfigS: 2})
	awaitReady(vms, 15*time.Second)
	time.Sleep(3 * time.Second)
	upload := request{method: "POST", path: "/manifests/2f", host: host, body: strings.Repeat("parcel,", 2000), limit: limit}
	for range 4 { // the system learns how long the work takes
		got := send(vms[0].Front, upload)
		record("%s before: %d %v in %v", got.id, got.status, got.err, got.got.Sub(got.sent))
	}
	var conns []net.Conn
	var readers []*bufio.Reader
	for range uploads {
		conn, err := net.Dial("tcp", vms[0].Front)
		if err != nil {
			fail("%v", err)
		}
		conns, readers = append(conns, conn), append(readers, bufio.NewReader(conn))
	}
	for i := range uploads { // each connection is kept after an answer
		got := exchange(conns[i], readers[i], request{method: "GET", path: "/nothing/", host: host, limit: limit})
		if got.status != 404 {
			record("unexpected first answer %d %v", got.status, got.err)
		}
	}
	term := time.Now()
	if trouble() {
		vms[0].signal(syscall.SIGTERM)
		record("SIGTERM of %s", vms[0].Name)
	}
	time.Sleep(time.Until(term.Add(2500 * time.Millisecond)))
	answers := make([]answer, uploads)
	var group sync.WaitGroup
	for i := range uploads {
		group.Go(func() { answers[i] = exchange(conns[i], readers[i], upload) })
		time.Sleep(3 * time.Millisecond)
	}
	group.Wait()
	lost := 0
	for _, got := range answers {
		runs := runsOf(servers, got.id)
		begun := "never passed on to a server"
		if len(runs) > 0 {
			begun = "work begun " + runs[0].begun.Sub(term).String() + " after the SIGTERM"
		}
		record("%s sent %v after the SIGTERM, ended %v after it: status %d, error %v, %s", got.id, got.sent.Sub(term), got.got.Sub(term), got.status, got.err, begun)
		if got.status == 0 && len(runs) == 0 && got.got.Sub(got.sent) < timeout && got.got.Sub(got.sent) > 200*time.Millisecond {
			lost++
		}
	}
	verdict(lost > 0, "%d of %d uploads were read, not passed on to a server, and their connections ended without an answer", lost, uploads)
}
