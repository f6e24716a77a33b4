// Package flooder plays hostile callers against a real process of the product, and
// measures the memory and the descriptors that the process takes meanwhile. The callers
// stay within the limits of the configuration, or just outside of them, and send what is
// expensive to hold: large heads of very many lines, bodies that stop just short of their
// end, and requests whose responses nobody reads.
package flooder
