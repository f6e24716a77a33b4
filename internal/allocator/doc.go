// Package allocator assigns upstream slots to requests. Each service has one VM as
// its broker, from which all VMs acquire slots. A claim in the platform's store
// records the broker. The broker of a keyed service also grants the keys to upstreams.
//
// A VM that cannot reach a service's broker assigns slots itself, from its local view.
// Upstreams may then get more requests than they have slots and shed some of them, but
// no guarantee depends on the broker. When a broker is lost, another VM replaces it
// with a conditional write of the claim. A broker writes its claim again after a restore
// of the store from an old copy.
package allocator
