package group

import (
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/peer"
)

// sessionWatch holds one session, so that a silent end is noticed within seconds. Reports are
// not answered: without it they would go on into a connection that is dead.
type sessionWatch struct {
	// mu guards the fields below.
	mu        sync.Mutex
	session   *peer.Session
	isStopped bool
}

// set holds s instead of the session before.
func (w *sessionWatch) set(s *peer.Session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped || w.session == s {
		return
	}
	w.release()
	s.Hold()
	w.session = s
}

// stop holds none any more, nor later.
func (w *sessionWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	w.release()
}

// release lets the session go. The caller holds mu.
func (w *sessionWatch) release() {
	if w.session != nil {
		w.session.Release()
	}
	w.session = nil
}
