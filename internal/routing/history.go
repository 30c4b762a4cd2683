package routing

import (
	"container/list"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// PrefixIndex remembers which prompt prefixes an upstream should have in its cache:
// from the requests that this host sent there, corrected by the cache events,
// which come late and with gaps. It holds a bounded number of prefixes by least
// recent use and is not safe for concurrent use.
type PrefixIndex struct {
	limit int
	order *list.List
	where map[uint64]*list.Element
	// last is the sequence number of the last cache event by upstream.
	last map[string]uint64
}

type prefix struct {
	hash uint64
	// at holds the upstreams that have the prefix.
	at map[string]bool
}

// NewPrefixIndex returns a History of at most limit prefixes.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{
		limit: limit,
		order: list.New(),
		where: make(map[uint64]*list.Element),
		last:  make(map[string]uint64),
	}
}

// RecordSent notes that a prompt with these prefixes went to the upstream.
func (h *PrefixIndex) RecordSent(upstream string, prefixes []uint64) {
	for _, p := range prefixes {
		h.store(upstream, p)
	}
}

// ApplyEvent corrects the history. An event that is older than one already taken is
// ignored: what it says may have been undone since.
func (h *PrefixIndex) ApplyEvent(upstream string, e wire.CacheEvent) {
	if e.Seq <= h.last[upstream] {
		return
	}
	h.last[upstream] = e.Seq
	if e.Stored {
		h.store(upstream, e.Prefix)
		return
	}
	if el := h.where[e.Prefix]; el != nil {
		delete(el.Value.(*prefix).at, upstream)
	}
}

// Forget drops all that is known of an upstream, after a restart of its engine.
func (h *PrefixIndex) Forget(upstream string) {
	delete(h.last, upstream)
	for el := h.order.Front(); el != nil; el = el.Next() {
		delete(el.Value.(*prefix).at, upstream)
	}
}

// CachedFraction returns the share of the prompt's leading blocks that the upstream
// should have, 0 to 1.
func (h *PrefixIndex) CachedFraction(upstream string, prefixes []uint64) float64 {
	if len(prefixes) == 0 {
		return 0
	}
	n := 0
	for _, p := range prefixes {
		el := h.where[p]
		if el == nil || !el.Value.(*prefix).at[upstream] {
			break
		}
		n++
	}
	return float64(n) / float64(len(prefixes))
}

func (h *PrefixIndex) store(upstream string, hash uint64) {
	if el := h.where[hash]; el != nil {
		el.Value.(*prefix).at[upstream] = true
		h.order.MoveToFront(el)
		return
	}
	h.where[hash] = h.order.PushFront(&prefix{hash: hash, at: map[string]bool{upstream: true}})
	if h.order.Len() > h.limit {
		oldest := h.order.Back()
		h.order.Remove(oldest)
		delete(h.where, oldest.Value.(*prefix).hash)
	}
}
