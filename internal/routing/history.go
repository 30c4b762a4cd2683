package routing

import (
	"container/list"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// History remembers which prompt prefixes an upstream should have in its cache:
// from the requests that this host sent there, corrected by the cache events,
// which come late and with gaps. It holds a bounded number of prefixes by least
// recent use and is not safe for concurrent use.
type History struct {
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

// NewHistory returns a History of at most limit prefixes.
func NewHistory(limit int) *History {
	return &History{
		limit: limit,
		order: list.New(),
		where: make(map[uint64]*list.Element),
		last:  make(map[string]uint64),
	}
}

// Sent notes that a prompt with these prefixes went to the upstream.
func (h *History) Sent(upstream string, prefixes []uint64) {
	for _, p := range prefixes {
		h.store(upstream, p)
	}
}

// Event corrects the history. An event that is older than one already taken is
// ignored: what it says may have been undone since.
func (h *History) Event(upstream string, e wire.CacheEvent) {
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
func (h *History) Forget(upstream string) {
	delete(h.last, upstream)
	for el := h.order.Front(); el != nil; el = el.Next() {
		delete(el.Value.(*prefix).at, upstream)
	}
}

// Cached returns the share of the prompt's leading blocks that the upstream
// should have, 0 to 1.
func (h *History) Cached(upstream string, prefixes []uint64) float64 {
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

func (h *History) store(upstream string, hash uint64) {
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
