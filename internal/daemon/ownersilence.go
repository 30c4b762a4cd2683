package daemon

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/admission"
	"github.com/sassafraspost/sassafraspost/internal/peer"
)

// ownerSilence holds the owners of workspaces, by name, that have not answered a demand yet. Owners answer
// at once, so one that has not done so for a lease may be frozen or cut off.
type ownerSilence map[string]*unansweredDemand

// minUnanswered is how many demands a silent owner has left unanswered. After a standstill of this host the
// first one is old, and the answer to it may not have been read yet.
const minUnanswered = int(admission.LeaseDuration / admission.DemandInterval)

// unansweredDemand is the first demand that an owner has not answered.
type unansweredDemand struct {
	// session is the one on which it was sent. A later one with the same owner starts anew.
	session *peer.Session
	sentAt  time.Duration
	// count is the number of demands that were sent since, this one included.
	count int
	// isReported is set once the silence was logged.
	isReported bool
}

// asked records that a demand was sent to an owner.
func (o ownerSilence) asked(owner string, s *peer.Session, now time.Duration) {
	if d := o[owner]; d == nil || d.session != s {
		o[owner] = &unansweredDemand{session: s, sentAt: now}
	}
	o[owner].count++
}

// answered records the answer of an owner. It reports whether the owner's silence was reported.
func (o ownerSilence) answered(owner string) (wasReported bool) {
	d := o[owner]
	delete(o, owner)
	return d != nil && d.isReported
}

// isSilent reports whether an owner with the given session has left a demand unanswered for one lease. All
// grants that it has given to this host have ended then, since a lease counts from the demand.
func (o ownerSilence) isSilent(owner string, s *peer.Session, now time.Duration) bool {
	d := o[owner]
	return d != nil && d.session == s && d.count >= minUnanswered && now-d.sentAt >= admission.LeaseDuration
}

// takeReports returns the owners that have become silent since the last call, on sessions that live.
func (o ownerSilence) takeReports(now time.Duration) []string {
	var names []string
	for name, d := range o {
		if !d.isReported && d.session.Alive() && o.isSilent(name, d.session, now) {
			d.isReported = true
			names = append(names, name)
		}
	}
	return names
}
