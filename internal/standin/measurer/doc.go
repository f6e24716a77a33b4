// Package measurer measures the decisions of the running system: entry VMs and
// upstreams' stand-ins as processes on loopback, with an open-loop sender. Each
// scenario runs twice with the same seed, through the system and through a
// naive policy (consistent hashing, first in first out, no admission), and
// prints one line of JSON for each quantity.
package measurer
