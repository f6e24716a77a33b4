// Package replicator keeps the state of a group on its candidates. It elects
// the group's holder by a majority lease, copies the holder's decisions to a
// majority before they take effect, and hands the merged state to the next
// holder.
package replicator
