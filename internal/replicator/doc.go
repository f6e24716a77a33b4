// Package replicator keeps the state of a group on its candidates. It elects
// the group's holder by a majority lease, copies the holder's decisions to a
// majority before they take effect, and hands the merged state to the next
// holder.
//
// Every acknowledged entry is in the state of every later holder, because of
// these rules:
//
//   - A copy is acknowledged by a majority of each candidate list of the record.
//     A new holder reads so many candidates of each list that one of every
//     majority is among them. A candidate that is read or that promises a term
//     refuses copies of lower terms from then on.
//   - A candidate counts only while it is synchronized: it has not restarted
//     since the founder of the record or a holder sent it the whole state. Such
//     a message names the process that it is meant for.
//   - Each call carries the record. A candidate refuses a sender with an older
//     record, so that a replaced list cannot elect a holder once a majority of it
//     knows the next one. The previous list is cleared only then.
//   - A VM that joins is invited first: it receives the state and gives promises
//     before the record names it, and receives the state a second time before
//     the previous list is cleared.
//
// Group is one group on one VM. Manager owns the groups of a VM and keeps their
// records on the platform.
package replicator
