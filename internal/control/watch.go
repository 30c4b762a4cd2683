package control

import (
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/catalog"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// confirmInterval is how often watchers are told that this host is current.
const confirmInterval = time.Second

// watchers passes documents on to the hosts that watch this one.
type watchers struct {
	store *catalog.Store

	// mu guards the fields below. Nothing is sent under it but by Session.Post,
	// which does not wait.
	mu sync.Mutex
	// sentRevision holds the revision up to which each watcher has been sent everything.
	sentRevision map[*peer.Session]uint64
}

func newWatchers(store *catalog.Store) *watchers {
	return &watchers{store: store, sentRevision: make(map[*peer.Session]uint64)}
}

func (w *watchers) add(s *peer.Session, m *wire.Watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentRevision[s] = m.Since
	w.sendTo(s, false)
}

// hasWatchers reports whether somebody watches.
func (w *watchers) hasWatchers() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.sentRevision) > 0
}

// sendAll gives every watcher what it lacks. isCurrent tells that this host asked a
// quorum since the last change that it knows.
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

// sendTo posts the documents above the watcher's revision; the revision moves
// only where the session took the message. The caller holds mu.
func (w *watchers) sendTo(s *peer.Session, isCurrent bool) {
	for isAll := false; !isAll; {
		var c *wire.Changes
		c, isAll = w.store.Since(w.sentRevision[s])
		c.Linearizable = isCurrent && isAll
		if len(c.Documents) == 0 && !c.Linearizable {
			return
		}
		if s.Post(c) != nil {
			return
		}
		w.sentRevision[s] = c.Revision
	}
}
