package schedule

import "time"

// ReportChange tells that the load reports of an engine have begun to be missing, while those of most
// other engines arrive, or that they arrive again.
type ReportChange struct {
	// Upstream is the id of the engine.
	Upstream  string
	IsMissing bool
	// Age is the age of the engine's last report.
	Age time.Duration
	// Attempts counts this host's attempts at the engine. AwaitingHeader are those of them without a
	// response header that may be ended.
	Attempts, AwaitingHeader int
}

// TakeReportChanges returns the engines whose load reports are missing, or arrive again, since the last
// call.
func (s *Scheduler) TakeReportChanges(now time.Duration) []ReportChange {
	var out []ReportChange
	for _, sv := range s.services {
		if sv.engineSpec == nil {
			continue
		}
		maxAge := sv.trustedAgeLimit(now)
		for _, u := range sv.active {
			isMissing := u.lacksReport(maxAge, now)
			if isMissing == u.isReportMissing {
				continue
			}
			u.isReportMissing = isMissing
			out = append(out, ReportChange{
				Upstream: u.ID, IsMissing: isMissing, Age: now - u.load.receivedAt, Attempts: u.inflight,
				AwaitingHeader: sv.awaitingHeaderAt(u),
			})
		}
	}
	return out
}

// awaitingHeaderAt counts the attempts at an upstream that have no response header and may be ended.
func (sv *service) awaitingHeaderAt(u *upstream) int {
	n := 0
	for t := range sv.awaitingHeader {
		if t.upstream == u {
			n++
		}
	}
	return n
}
