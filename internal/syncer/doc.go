// Package syncer holds the newest versions of the platform's objects that every VM
// needs: the routing document, groups, homes and assignments. A store receives
// them from the platform's watch, which only some VMs run, and from peers. It
// serves the objects that it holds while the platform is down, and never replaces
// an object by one with a lower revision.
package syncer
