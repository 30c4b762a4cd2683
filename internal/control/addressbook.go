package control

import (
	"slices"
	"sync"
)

// AddressBook holds the peer addresses of control hosts. Addresses received from other hosts
// are added to it, so that hosts that replace others are found.
type AddressBook struct {
	// mu guards the fields below.
	mu   sync.Mutex
	list []string
	// changed is closed and replaced when an address is added.
	changed chan struct{}
}

// NewAddressBook returns an AddressBook with these addresses.
func NewAddressBook(addresses ...string) *AddressBook {
	return &AddressBook{list: slices.Clone(addresses), changed: make(chan struct{})}
}

// Add adds addresses and reports whether any of them is new.
func (b *AddressBook) Add(addresses ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isNew := false
	for _, a := range addresses {
		if a != "" && !slices.Contains(b.list, a) {
			b.list = append(b.list, a)
			isNew = true
		}
	}
	if isNew {
		close(b.changed)
		b.changed = make(chan struct{})
	}
	return isNew
}

// List returns the addresses.
func (b *AddressBook) List() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.list)
}

// Changed returns a channel that is closed when the next address is added. Call it before
// List, so that no address is missed.
func (b *AddressBook) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// AddressBook returns the addresses of the other control hosts.
func (h *Host) AddressBook() *AddressBook { return h.addressBook }
