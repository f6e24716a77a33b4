// Package linker connects the processes of the system over WebSocket links that
// carry CBOR messages. A control link carries concurrent calls between two VMs.
// A request link carries one forwarded request at a time, so that TCP provides
// its flow control and closing the link cancels the request.
//
// The connecting side must prove that it knows the shared key before any other
// message is accepted. The size of messages is bounded.
package linker
