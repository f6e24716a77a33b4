// Package queuer schedules the requests that wait for one upstream. It keeps one FIFO
// queue for each rank and serves the most urgent rank first. Three rules prevent
// starvation and overload:
//
//   - A rank that has received less slot time than its minimum share is served first once
//     its oldest item has waited a tenth of the rank's target. Slot time is accounted as a
//     credit, so that the cost of a long run is recovered before the rank's next run.
//   - Uploads leave at least one slot free if there are two or more, because a run is
//     never preempted. While more urgent ranks use slots, uploads run in no more slots
//     than their minimum share amounts to, and at least one. While, in addition, uploads
//     are being refused, they receive no more than their minimum share.
//   - Admission refuses an item whose expected wait exceeds its deadline or the target of
//     its rank, so that the caller learns at once that the request did not run.
//
// The passing of time alone can allow an item to run or make it expire. Besides after each
// Offer and Done, the user of a queue therefore calls Next and Expired about every 100 ms
// while items wait.
//
// docs/decisions.md compares these rules with alternatives.
package queuer
