// Package directory lets the entry hosts of a data centre know its upstreams.
//
// The agent of an upstream announces it to a few entry hosts, its owners. They are chosen by
// rendezvous hashing of the upstream's name over the entry hosts of the data centre. An owner
// keeps the upstream's record in its Table and sends changes to all entry hosts, which merge
// the records of all owners in a View. Upstreams are not listed in any settings, and the
// directory exists in memory only.
//
// Table and View read no clock. Times are passed in from the caller's monotonic clock.
package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host is an entry host of the data centre, as given in the settings.
type Host struct {
	Name string
	// Address is the peer listener, "ip:port".
	Address string
}

// Owners returns all hosts, ranked by rendezvous hashing for the upstream. Its owners are the
// first OwnersPerUpstream of them that its agent can reach.
func Owners(hosts []Host, upstream string) []Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		byWeight := cmp.Compare(weight(b.Name, upstream), weight(a.Name, upstream))
		return cmp.Or(byWeight, cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// weight is the rendezvous hash of a host for an upstream. The host with the highest weight
// comes first.
func weight(host, upstream string) uint64 {
	return xxhash.Sum64String(host + "\x00" + upstream)
}
