package control

import (
	"slices"
	"sync"
)

// Book holds the peer addresses of control hosts. It grows as hosts are heard of, so
// that hosts which replace others are found.
type Book struct {
	// mu guards the fields below.
	mu   sync.Mutex
	list []string
	// grown is closed and replaced when an address comes.
	grown chan struct{}
}

// NewBook returns a Book with these addresses.
func NewBook(addresses ...string) *Book {
	return &Book{list: slices.Clone(addresses), grown: make(chan struct{})}
}

// Add takes in addresses and reports whether one of them is new.
func (b *Book) Add(addresses ...string) bool {
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
		close(b.grown)
		b.grown = make(chan struct{})
	}
	return isNew
}

// List returns the addresses.
func (b *Book) List() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.list)
}

// Grown returns a channel that is closed when the next address comes. Call it before
// List, so that none is missed.
func (b *Book) Grown() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grown
}

// Book returns the addresses of the other control hosts that this host knows.
func (h *Host) Book() *Book { return h.book }
