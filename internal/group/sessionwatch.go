package group

import (
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/peer"
)

// sessionWatch marks one session with peer.Session.Hold, so a dead connection is detected
// within seconds. Reports get no answer, so without the mark they could be sent into a dead
// connection for a long time.
type sessionWatch struct {
	// mu guards the fields below.
	mu        sync.Mutex
	session   *peer.Session
	isStopped bool
}

// set watches s instead of the previous session.
func (w *sessionWatch) set(s *peer.Session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped || w.session == s {
		return
	}
	w.release()
	s.StartProbing()
	w.session = s
}

// stop ends the watch. Later calls of set have no effect.
func (w *sessionWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	w.release()
}

// release stops watching the current session. The caller must hold mu.
func (w *sessionWatch) release() {
	if w.session != nil {
		w.session.StopProbing()
	}
	w.session = nil
}
