// Package linker connects the system's own processes: WebSocket links with CBOR
// messages. A control link carries calls between VMs; a request link carries
// one forwarded request at a time, so that TCP does the flow control and a cut
// request is a closed link.
//
// The connecting side must prove knowledge of the shared key before any other
// message is accepted. Messages are bounded in size.
package linker
