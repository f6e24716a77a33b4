// Package syncer holds the newest versions of the platform's objects that the
// system needs on every VM: the routing document, groups, homes and
// assignments. They come from the platform's watch, which only some VMs hold,
// and from peers. What is known is served while the platform is down, and an
// object never goes back to a lower revision.
package syncer
