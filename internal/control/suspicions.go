package control

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// suspicionDelay is for how long suspicions are gathered before they are passed on: all
// entry hosts that had requests on an upstream tell of its end at once. It is short beside
// the time in which an upstream is back.
const suspicionDelay = 50 * time.Millisecond

// Quarantine is what this host knows of requests under which upstreams ended.
func (h *Host) Quarantine() *quarantine.Keeper { return h.fleet.quarantine }

// queueSuspicions passes news on within suspicionDelay. Each control host passes on only what
// it did not know, so that news come to an end.
func (f *fleet) queueSuspicions(news []quarantine.Suspicion) {
	f.requestSave()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pendingSuspicions) == 0 {
		time.AfterFunc(suspicionDelay, f.sendSuspicions)
	}
	f.pendingSuspicions = append(f.pendingSuspicions, news...)
}

// sendSuspicions tells the attached entry hosts and the other control hosts.
func (f *fleet) sendSuspicions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, err := peer.Prepare(&wire.Suspicions{All: f.pendingSuspicions})
	f.pendingSuspicions = nil
	if err != nil {
		f.h.cfg.Log.Error("suspicions can't be encoded", "error", err.Error())
		return
	}
	for s, role := range f.attached {
		// Whose queue is full attaches anew, and gets all of it then.
		if (role == roleEntry || role == roleCallers) && s.Alive() && s.PostPrepared(m) != nil {
			s.Close()
		}
	}
	for _, s := range f.h.cfg.Transport.Sessions() {
		// What a full queue refuses comes with the next session.
		_ = s.PostPrepared(m)
	}
}
