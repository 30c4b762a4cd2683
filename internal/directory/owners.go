// Package directory holds the soft state about the upstreams of one data centre.
//
// Agents announce to a few entry hosts, the owners of their name, chosen by
// rendezvous hashing over the entry hosts of the data centre. An owner keeps the
// record in its Table and sends what changes to all entry hosts, which merge
// the owners' words in a View. No host holds a list of upstreams, and nothing
// here outlives the processes.
//
// Table and View are pure: the time is an argument, measured from any fixed point
// of the host's own monotonic clock.
package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host is one entry host of the data centre, from the settings.
type Host struct {
	Name string
	// Address is the peer listener, "ip:port".
	Address string
}

// Owners returns all hosts in the order in which they own the upstream: an agent
// announces to the first ones that it can reach.
func Owners(hosts []Host, upstream string) []Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		byWeight := cmp.Compare(weight(b.Name, upstream), weight(a.Name, upstream))
		return cmp.Or(byWeight, cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

func weight(host, upstream string) uint64 {
	return xxhash.Sum64String(host + "\x00" + upstream)
}
