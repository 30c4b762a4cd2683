package control

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// suspicionDelay is how long suspicions are collected before they are sent to other hosts,
// because all entry hosts with requests on an upstream report its crash at about the same
// time. The delay is much shorter than the restart of an upstream.
const suspicionDelay = 50 * time.Millisecond

// Quarantine returns the keeper of suspicions: which requests ran on upstreams that
// crashed.
func (h *Host) Quarantine() *quarantine.Keeper { return h.fleet.quarantine }

// queueSuspicions queues new suspicions, which are sent within suspicionDelay. A control host
// forwards only suspicions that are new to it, so that they don't circulate forever.
func (f *fleet) queueSuspicions(added []quarantine.Suspicion) {
	f.requestSave()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pendingSuspicions) == 0 {
		time.AfterFunc(suspicionDelay, f.sendSuspicions)
	}
	f.pendingSuspicions = append(f.pendingSuspicions, added...)
}

// sendSuspicions sends the queued suspicions to the attached entry hosts and to the other
// control hosts.
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
		if (role == roleEntry || role == roleCallers) && s.Alive() {
			s.PostPreparedOrClose(m)
		}
	}
	for _, s := range f.h.cfg.Transport.Sessions() {
		s.PostPreparedOrClose(m)
	}
}
