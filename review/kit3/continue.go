package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// interimResponse sends a safe request before the answer to an earlier one has ended, on the
// same connection. It has a body, which waits for "100 Continue".
func interimResponse(lab *lab) bool {
	const (
		pieces      = 20
		pieceBytes  = 30_000
		repetitions = 10
	)
	record, store := lab.record, lab.store
	whole := bytes.Repeat([]byte("0123456789"), pieces*pieceBytes/10)
	work := func(server *Server, writer http.ResponseWriter, request *http.Request, body []byte) {
		server.Seal(writer)
		record.Add("server %s runs %s %s with a body of %d bytes", server.ID, request.Method, request.URL.Path, len(body))
		if request.Method != http.MethodGet {
			_, _ = writer.Write([]byte("found"))
			return
		}
		writer.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		for start := 0; start < len(whole); start += pieceBytes {
			_, _ = writer.Write(whole[start : start+pieceBytes])
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(30 * time.Millisecond)
		}
	}
	for index := range 3 {
		server := &Server{Store: store, Record: record, Service: "report", Zone: "z" + strconv.Itoa(index%3), Slots: 4, Heartbeat: 870 * time.Millisecond, Work: work}
		server.Start()
		defer server.Crash()
	}
	store.Put("config", "main", config(3,
		[][]any{{"report", "shop.example", "/report/", "safe", 8.0, 2.0, 1, nil, 2, "report"}, {"search", "shop.example", "/search/", "safe", 8.0, 2.0, 1, nil, 2, "report"}},
		[][]any{{"report", "/health", 110, "h1", false, nil, nil, nil}}))
	for index := range 3 {
		lab.add(fmt.Sprintf("edge-z%d-1", index), fmt.Sprintf("z%d", index)).Start(true)
	}
	lab.awaitReady(lab.edges, 20*time.Second)
	time.Sleep(3 * time.Second)
	held := true
	for repetition := range repetitions {
		held = exchangeOnce(lab, lab.edges[repetition%3], whole) && held
	}
	return held
}

// exchangeOnce makes the two requests and reports whether the client got the whole body.
func exchangeOnce(lab *lab, edge *Edge, whole []byte) bool {
	conn, err := net.Dial("tcp", edge.Front)
	must(err)
	defer conn.Close()
	must(conn.SetDeadline(time.Now().Add(8 * time.Second)))
	reader := bufio.NewReader(conn)
	fmt.Fprintf(conn, "GET /report/1 HTTP/1.1\r\nHost: shop.example\r\nCuminstream-Request-Id: %s\r\nCuminstream-Deadline-Ms: 8000\r\n\r\n", newID(""))
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	must(err)
	got := make([]byte, len(whole))
	search := func() {
		fmt.Fprintf(conn, "POST /search/1 HTTP/1.1\r\nHost: shop.example\r\nCuminstream-Request-Id: %s\r\nCuminstream-Deadline-Ms: 8000\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n", newID(""))
	}
	read, err := io.ReadFull(response.Body, got[:len(whole)/4])
	must(err)
	if lab.trouble {
		search() // before the first answer has ended
	}
	rest, err := io.ReadFull(response.Body, got[read:])
	if !lab.trouble {
		search()
	}
	status, sealed := response.StatusCode, response.Header.Get("Cuminstream-Response-Seal") != ""
	if bytes.Equal(got, whole) {
		lab.record.Say("GET via %s: status %d, sealed %v, the whole body of %d bytes", edge.Name, status, sealed, read+rest)
		return true
	}
	first := 0
	for first < len(whole) && got[first] == whole[first] {
		first++
	}
	lab.record.Say("GET via %s: status %d, sealed %v, %d of %d bytes, error %v; other bytes from %d on: %q", edge.Name, status, sealed, read+rest, len(whole), err, first, got[first:min(first+40, len(got))])
	return read+rest < len(whole)
}
