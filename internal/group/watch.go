package group

import (
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/peer"
)

// watch holds one session, so that a silent end is noticed within seconds. Reports are
// not answered: without it they would go on into a connection that is dead.
type watch struct {
	// mu guards the fields below.
	mu      sync.Mutex
	session *peer.Session
	isOver  bool
}

// set holds s instead of the session before.
func (w *watch) set(s *peer.Session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isOver || w.session == s {
		return
	}
	w.release()
	s.StartProbing()
	w.session = s
}

// end holds none any more, nor later.
func (w *watch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isOver = true
	w.release()
}

// release lets the session go. The caller holds mu.
func (w *watch) release() {
	if w.session != nil {
		w.session.StopProbing()
	}
	w.session = nil
}
