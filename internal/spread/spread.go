// Package spread decides through which hosts a message for all hosts goes, so that what one host
// sends does not grow with their number: the sender sends it to the receivers of its own data
// centre and to one relay in each other data centre, which forwards it to the receivers there.
//
// It is pure: which hosts are usable as relays is an argument. Relays are chosen by rendezvous
// hashing, so that the loss of a relay changes nothing in other data centres.
package spread

import "github.com/cespare/xxhash/v2"

// Host is a relay or a receiver.
type Host struct {
	Address    string
	DataCentre string
}

// Routes tells to whom a sender sends a message. Every receiver is either in Direct or in a data
// centre with a relay.
type Routes struct {
	// Direct holds the indexes of the receivers that the sender sends to itself.
	Direct []int
	// Relays holds the index of the relay of each other data centre that has receivers.
	Relays map[string]int
}

// Config tells how a sender spreads messages.
type Config struct {
	// DataCentre is that of the sender; empty if it is not known, and then nothing is relayed.
	DataCentre string
	// MaxDirect is the number of receivers in other data centres up to which the sender sends to
	// all of them itself, which is sooner there than through a relay.
	MaxDirect int
}

// Route returns the routes to the receivers by way of the usable relays. A data centre without a
// relay is served by the sender itself.
func (c Config) Route(relays, receivers []Host) Routes {
	r := Routes{Relays: c.chooseRelays(relays, receivers)}
	for i, receiver := range receivers {
		if _, isRelayed := r.Relays[receiver.DataCentre]; !isRelayed {
			r.Direct = append(r.Direct, i)
		}
	}
	return r
}

// chooseRelays returns the relay of each data centre that needs one and has one.
func (c Config) chooseRelays(relays, receivers []Host) map[string]int {
	remote := make(map[string]int)
	total := 0
	for _, receiver := range receivers {
		if receiver.DataCentre != c.DataCentre && receiver.DataCentre != "" {
			remote[receiver.DataCentre]++
			total++
		}
	}
	if c.DataCentre == "" || total <= c.MaxDirect {
		return nil
	}
	chosen := make(map[string]int)
	for i, relay := range relays {
		if remote[relay.DataCentre] == 0 {
			continue
		}
		best, ok := chosen[relay.DataCentre]
		if !ok || precedes(relay, relays[best]) {
			chosen[relay.DataCentre] = i
		}
	}
	return chosen
}

// precedes reports whether a is chosen before b as the relay of their data centre.
func precedes(a, b Host) bool {
	weightA, weightB := weight(a), weight(b)
	if weightA != weightB {
		return weightA > weightB
	}
	return a.Address < b.Address
}

// weight is the rendezvous hash of a relay for its data centre.
func weight(h Host) uint64 { return xxhash.Sum64String(h.DataCentre + "\x00" + h.Address) }
