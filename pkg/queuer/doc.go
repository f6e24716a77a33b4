// Package queuer decides which waiting request runs next on one upstream. It
// keeps one line for each rank and serves the most urgent rank first. Three
// rules keep that order from harming anybody for long:
//
//   - A rank that is owed slot time of its minimum share goes first once its
//     first item has waited a tenth of the rank's target. Slot time is accounted
//     as a credit, so that a long run is paid back before the next one.
//   - Uploads leave at least one slot free where there are two or more, because a
//     run that has begun is not stopped. While urgent ranks are in use, uploads
//     take no more slots at a time than their minimum share amounts to; while
//     uploads are being refused, they receive their minimum share and no more.
//   - Admission refuses an item whose expected wait passes its deadline or the
//     target of its rank, so that the caller hears at once that it did not run.
//
// Time passing alone can allow an item to run or make it expire. The owner of a
// queue therefore calls Next and Expired about every 100 ms while items wait,
// besides after each Offer and Done.
//
// docs/decisions.md compares these rules with others.
package queuer
