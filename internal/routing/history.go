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
	limit  int
	lru    *list.List
	byHash map[uint64]*list.Element
	// lastSeq is the sequence number of the last cache event by upstream.
	lastSeq map[string]uint64
}

type prefixEntry struct {
	hash uint64
	// upstreams holds the upstreams that have the prefix.
	upstreams map[string]bool
}

// NewPrefixIndex returns a History of at most limit prefixes.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{
		limit:   limit,
		lru:     list.New(),
		byHash:  make(map[uint64]*list.Element),
		lastSeq: make(map[string]uint64),
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
	if e.Seq <= h.lastSeq[upstream] {
		return
	}
	h.lastSeq[upstream] = e.Seq
	if e.Stored {
		h.store(upstream, e.Prefix)
		return
	}
	if el := h.byHash[e.Prefix]; el != nil {
		delete(el.Value.(*prefixEntry).upstreams, upstream)
	}
}

// Forget drops all that is known of an upstream, after a restart of its engine.
func (h *PrefixIndex) Forget(upstream string) {
	delete(h.lastSeq, upstream)
	for el := h.lru.Front(); el != nil; el = el.Next() {
		delete(el.Value.(*prefixEntry).upstreams, upstream)
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
		el := h.byHash[p]
		if el == nil || !el.Value.(*prefixEntry).upstreams[upstream] {
			break
		}
		n++
	}
	return float64(n) / float64(len(prefixes))
}

func (h *PrefixIndex) store(upstream string, hash uint64) {
	if el := h.byHash[hash]; el != nil {
		el.Value.(*prefixEntry).upstreams[upstream] = true
		h.lru.MoveToFront(el)
		return
	}
	h.byHash[hash] = h.lru.PushFront(&prefixEntry{hash: hash, upstreams: map[string]bool{upstream: true}})
	if h.lru.Len() > h.limit {
		oldest := h.lru.Back()
		h.lru.Remove(oldest)
		delete(h.byHash, oldest.Value.(*prefixEntry).hash)
	}
}
