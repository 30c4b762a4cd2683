package control

import (
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/catalog"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// confirmInterval is how often watchers are told that this host is up to date.
const confirmInterval = time.Second

// watchers sends documents to the hosts that have sent a wire.Watch.
type watchers struct {
	store *catalog.Store
	// evacuations returns the evacuated data centres, nil if there never was one.
	evacuations func() *wire.Evacuations

	// mu guards the fields below. While it is held, messages are sent only by Session.Post,
	// which does not block.
	mu sync.Mutex
	// sentRevision holds the revision up to which all documents were sent to a watcher.
	sentRevision map[*peer.Session]uint64
}

func newWatchers(store *catalog.Store, evacuations func() *wire.Evacuations) *watchers {
	return &watchers{store: store, evacuations: evacuations, sentRevision: make(map[*peer.Session]uint64)}
}

func (w *watchers) add(s *peer.Session, m *wire.Watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentRevision[s] = m.Since
	w.sendTo(s, false)
}

// hasWatchers reports whether any host watches.
func (w *watchers) hasWatchers() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.sentRevision) > 0
}

// sendAll sends every watcher the documents that it lacks. isCurrent tells that a quorum has
// confirmed that this host is up to date.
func (w *watchers) sendAll(isCurrent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.sentRevision {
		if !s.Alive() {
			delete(w.sentRevision, s)
			continue
		}
		w.sendTo(s, isCurrent)
	}
}

// sendTo sends one watcher the documents above its sentRevision, which increases only if
// the message was queued. The caller holds mu.
func (w *watchers) sendTo(s *peer.Session, isCurrent bool) {
	for isComplete := false; !isComplete; {
		var c *wire.Changes
		c, isComplete = w.store.Since(w.sentRevision[s])
		c.Linearizable = isCurrent && isComplete
		c.Evacuations = w.evacuations()
		if len(c.Documents) == 0 && !c.Linearizable {
			return
		}
		if s.Post(c) != nil {
			return
		}
		w.sentRevision[s] = c.Revision
	}
}
