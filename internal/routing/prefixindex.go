package routing

import (
	"container/list"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// PrefixIndex estimates which prompt prefixes each upstream has in its prefix cache. It
// assumes that an upstream caches the prompts which this host sent there, and is corrected by
// the upstreams' cache events, which are delayed and can be missing. It keeps a bounded
// number of prefixes and evicts the least recently used. It is not safe for concurrent use.
type PrefixIndex struct {
	limit int
	// lru has the most recently used *prefixEntry in front.
	lru    *list.List
	byHash map[uint64]*list.Element
	// lastSeq is the highest sequence number of the cache events of each upstream.
	lastSeq map[string]uint64
}

type prefixEntry struct {
	hash uint64
	// upstreams are the names of the upstreams that should have the prefix.
	upstreams map[string]bool
}

// NewPrefixIndex returns a PrefixIndex of at most limit prefixes.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{
		limit:   limit,
		lru:     list.New(),
		byHash:  make(map[uint64]*list.Element),
		lastSeq: make(map[string]uint64),
	}
}

// RecordSent records that a prompt with these prefixes was sent to the upstream.
func (h *PrefixIndex) RecordSent(upstream string, prefixes []uint64) {
	for _, hash := range prefixes {
		h.store(upstream, hash)
	}
}

// ApplyEvent applies a cache event. An event older than one already applied is ignored,
// because the cache may have changed again since.
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

// Forget removes an upstream from the index, for example because its engine has restarted
// with an empty cache.
func (h *PrefixIndex) Forget(upstream string) {
	delete(h.lastSeq, upstream)
	for el := h.lru.Front(); el != nil; el = el.Next() {
		delete(el.Value.(*prefixEntry).upstreams, upstream)
	}
}

// CachedFraction returns the fraction, 0 to 1, of the prompt's blocks that the upstream
// should have in its cache. Only blocks before the first missing one count.
func (h *PrefixIndex) CachedFraction(upstream string, prefixes []uint64) float64 {
	if len(prefixes) == 0 {
		return 0
	}
	cached := 0
	for _, hash := range prefixes {
		el := h.byHash[hash]
		if el == nil || !el.Value.(*prefixEntry).upstreams[upstream] {
			break
		}
		cached++
	}
	return float64(cached) / float64(len(prefixes))
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
