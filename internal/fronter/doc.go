// Package fronter is an HTTP/1.1 server for callers' connections. It keeps
// reading a connection while requests are in progress, so that it detects at
// once when a caller disconnects. Pipelined requests are served concurrently;
// their responses are written in request order.
package fronter
