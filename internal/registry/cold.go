package registry

import "time"

// ColdJitter is by how much the end of a cold time may vary between announcements of the same one.
// Each of them takes a different time to arrive. Of several ends within ColdJitter the first is
// kept, so the cold time may end that much later.
const ColdJitter = 250 * time.Millisecond

// receiveColdTime records that a new incarnation's cold time was received.
func (u *Upstream) receiveColdTime(now time.Duration) {
	u.ColdUntil, u.ColdStatedAt = 0, now
	if u.ColdRemainingMS > 0 {
		u.ColdUntil = now + time.Duration(u.ColdRemainingMS)*time.Millisecond
	}
}

// mergeColdTime applies the cold time of a later announcement of the same incarnation. It reports
// whether its end has changed. The remaining time decreases with each announcement, which is no
// change.
func (u *Upstream) mergeColdTime(next *Upstream, now time.Duration) bool {
	if next.IsColdUnknown {
		return false
	}
	u.ColdRemainingMS, u.IsColdUnknown, u.ColdStatedAt = next.ColdRemainingMS, false, now
	end, before := now+time.Duration(next.ColdRemainingMS)*time.Millisecond, u.ColdUntil
	isCold, wasCold := end > now, before > now
	if !isCold && !wasCold || before > 0 && (end-before).Abs() <= ColdJitter {
		return false
	}
	u.ColdUntil = end
	return true
}

// at returns the upstream with the cold time that remains at the given time.
func (u *Upstream) at(now time.Duration) Upstream {
	out := *u
	out.ColdRemainingMS = max(u.ColdUntil-now, 0).Milliseconds()
	out.ColdUntil, out.ColdStatedAt = 0, 0
	return out
}
