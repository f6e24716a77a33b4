// Package replicator replicates the state of a group to the VMs that are its
// candidates. It elects the holder of the group with a majority lease, replicates
// the holder's decisions to a majority before they take effect, and passes the
// merged state to the next holder.
//
// The state of every holder contains all entries that were acknowledged before.
// These rules ensure it:
//
//   - An entry is acknowledged once a majority of each candidate list of the
//     record has stored it. A new holder reads enough candidates of each list to
//     include one of every majority. A candidate that was read by a new holder, or
//     that has promised it the term, refuses entries of lower terms from then on.
//   - A candidate counts only while it is synchronized, which means that it has
//     received the whole state, from a holder or from the VM that formed the
//     group, and has not restarted since. The messages that transfer the state
//     name the process that they are meant for.
//   - Each control call carries the record. A candidate refuses a sender with an
//     older record, so that a replaced list cannot elect a holder once a majority
//     of it knows the next record. The previous list is cleared only then.
//   - A VM is invited before it joins. It receives the state and gives promises
//     before the record names it, and receives the state a second time before the
//     previous list is cleared.
//
// Group is one group on one VM. Manager manages all groups of a VM and their
// records on the platform.
package replicator
