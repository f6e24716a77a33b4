// Package timeliner records the newest events of a process in memory and merges
// the events of several processes into one time line. An event is a state change
// that an operator may need to reconstruct a failure; successful requests are not
// recorded.
package timeliner
