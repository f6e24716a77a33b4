// Package queuer decides which waiting request runs next. It keeps one queue
// for each rank, serves the most urgent rank first, guarantees each rank a
// minimum share of the slot time, and refuses work whose expected wait passes
// its deadline.
package queuer
