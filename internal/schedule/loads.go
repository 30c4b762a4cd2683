package schedule

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// maxReportAge is the age above which an engine's load report is ignored.
	maxReportAge = 700 * time.Millisecond
	// maxTrustedAge is the age of an engine's load report from which the engine is not trusted
	// while most others have a younger one. At that age four reports in a row are missing, so
	// the host of the engine is probably frozen or cut off and does not read what is sent to
	// it.
	maxTrustedAge = 400 * time.Millisecond
	// meanReportDelay is the average age of a load report on arrival: half the interval at
	// which the agent reads the load plus half the interval at which the control host forwards
	// it.
	meanReportDelay = 100 * time.Millisecond
)

// load is the latest load report of an upstream's engine.
type load struct {
	isKnown bool
	isOpen  bool
	// isStalled reports that the engine's group makes no progress although it has work.
	isStalled bool
	epoch     uint64
	// requests is the number of requests running or waiting at the engine when the report was
	// made.
	requests   int
	receivedAt time.Duration
	// inflight is how many of those requests came from this host. It is the number of this
	// host's attempts in flight when the previous report arrived, which is about when this
	// report was made. nextInflight is the number when this report arrived, for use with the
	// next one.
	inflight, nextInflight int
	// stepTimeRatio is the engine's time for a decode step relative to its usual time, 0 if
	// unknown.
	stepTimeRatio float64
}

// isFresh reports whether the report is recent enough to be used.
func (l *load) isFresh(now time.Duration) bool { return l.isKnown && now-l.receivedAt <= maxReportAge }

// group is a set of ranks: engines that execute each pass together, and so can serve requests
// only together.
type group struct {
	name  string
	epoch uint64
	// isClosed reports that the group does not serve, according to at least one of its ranks.
	// isStalled reports that it makes no progress; stalledSince is when that began, 0 while it
	// makes progress.
	isClosed, isStalled bool
	stalledSince        time.Duration
	// lastReport is when the last load report from any of the group's ranks arrived.
	lastReport time.Duration
	// ranks is the number of ranks with a load report of the current epoch, meanLoad the mean
	// number of requests at each of them, and limit the number that each should run at once.
	ranks           int
	meanLoad, limit float64
	passTimes       passHistory
	// openedAt is when the group began to serve, and allocated how many of its free slots have
	// been allocated to hosts since. wasClosed and openedEpoch are used to detect that the
	// group has opened.
	openedAt    time.Duration
	allocated   float64
	wasClosed   bool
	openedEpoch uint64
}

// SetLoads records load reports of engines. It returns the decisions on queued requests, and
// the attempts to end because their group does not serve.
func (s *Scheduler) SetLoads(all []wire.EngineLoad, now time.Duration) ([]Result, []StalledAttempt) {
	s.expireCold(now)
	for i := range all {
		s.setLoad(&all[i], now)
	}
	var results []Result
	var stalled []StalledAttempt
	for _, sv := range s.services {
		sv.left = 0
		sv.updateGroups()
		sv.updateMeanLoads()
		sv.updateLimits(s.shareOf(sv, now), now)
		sv.updateOutage(now)
	}
	s.updateQuotas(all, now)
	for _, sv := range s.services {
		stalled = s.stalledAttempts(stalled, sv, now)
		if len(sv.waiters) > 0 {
			results = s.admitWaiters(results, sv, len(sv.waiters), now)
			results = s.refuseWaiters(results, sv, now)
		}
	}
	return results, stalled
}

func (s *Scheduler) setLoad(l *wire.EngineLoad, now time.Duration) {
	u := s.byAddress[l.Address]
	if u == nil || l.StartedAt != 0 && l.StartedAt < u.StartedAt {
		return
	}
	sv := u.service
	if u.group == nil || u.group.name != l.Group {
		u.group = sv.group(l.Group)
	}
	u.load = load{
		isKnown: true, isOpen: l.IsOpen, isStalled: l.IsStalled, epoch: l.Epoch, requests: l.Running + l.Waiting, receivedAt: now,
		inflight: u.load.nextInflight, nextInflight: u.inflight, stepTimeRatio: l.Slowdown,
	}
	u.group.lastReport = now
	sv.lastReport, sv.hasReported = now, true
}

func (sv *service) group(name string) *group {
	g := sv.groups[name]
	if g == nil {
		g = &group{name: name}
		sv.groups[name] = g
	}
	return g
}

// updateGroups derives the state of each group from the latest reports of its ranks in its
// newest epoch. The group serves if no rank reports otherwise, because one broken or stalled
// rank stops all of them. Reports from earlier epochs are ignored.
func (sv *service) updateGroups() {
	for name, g := range sv.groups {
		g.isClosed, g.isStalled, g.epoch = false, false, 0
		if !sv.hasRank(g) {
			delete(sv.groups, name)
		}
	}
	for _, u := range sv.active {
		if u.group != nil && u.load.isKnown {
			u.group.epoch = max(u.group.epoch, u.load.epoch)
		}
	}
	for _, u := range sv.active {
		g := u.group
		if g == nil || !u.load.isKnown || u.load.epoch != g.epoch || g.lastReport-u.load.receivedAt > maxReportAge {
			continue
		}
		g.isClosed = g.isClosed || !u.load.isOpen
		g.isStalled = g.isStalled || u.load.isStalled
	}
	for _, g := range sv.groups {
		g.recordOpening()
		g.updateStalledSince()
	}
}

// updateStalledSince records when the group stalled, and clears that time once the group makes
// progress.
func (g *group) updateStalledSince() {
	switch {
	case !g.isStalled:
		g.stalledSince = 0
	case g.stalledSince == 0:
		g.stalledSince = g.lastReport
	}
}

// recordOpening records when the group began to serve.
func (g *group) recordOpening() {
	if !g.isClosed && (g.wasClosed || g.openedEpoch != g.epoch) {
		g.openedAt, g.openedEpoch, g.allocated = g.lastReport, g.epoch, 0
	}
	g.wasClosed = g.isClosed
}

// maxBriefStall is the longest stall after which a group is still expected to continue soon.
// Ranks stop for at most a few tenths of a second while a new expert map is put into force; a
// group that is stalled for longer is waiting for a lost rank.
const maxBriefStall = 600 * time.Millisecond

// isBrieflyStalled reports whether a group of the service is only briefly stalled and is
// therefore expected to serve again soon.
func (sv *service) isBrieflyStalled(now time.Duration) bool {
	for _, g := range sv.groups {
		if g.isStalled && !g.isClosed && now-g.lastReport <= maxReportAge && now-g.stalledSince < maxBriefStall {
			return true
		}
	}
	return false
}

func (sv *service) hasRank(g *group) bool {
	for _, u := range sv.active {
		if u.group == g {
			return true
		}
	}
	return false
}

// serves reports whether an upstream can serve requests, as far as is known of its group.
// Nothing is sent to a group that is broken or stalled, nor to one without recent reports while
// other groups have them.
func (sv *service) serves(u *upstream, now time.Duration) bool {
	if !sv.hasRecentReports(now) {
		return true
	}
	if u.group == nil {
		return !sv.hasGroups()
	}
	return !u.group.isClosed && !u.group.isStalled && now-u.group.lastReport <= maxReportAge
}

// hasGroups reports whether the service's engines are ranks of groups.
func (sv *service) hasGroups() bool {
	return sv.engineSpec != nil && sv.engineSpec.Experts.LayerSetCount > 0
}

// hasRecentReports reports whether a recent load report of any engine of the service has
// arrived.
func (sv *service) hasRecentReports(now time.Duration) bool {
	return sv.hasReported && now-sv.lastReport <= maxReportAge
}

// isDown reports whether none of the service's upstreams serves.
func (sv *service) isDown(now time.Duration) bool {
	for _, u := range sv.active {
		if sv.serves(u, now) {
			return false
		}
	}
	return true
}

// longOutage is the duration from which an outage is assumed to last. It is much longer than a
// request waits for a slot, so the outage is not expected to end within that wait.
const longOutage = 8 * MaxQueueWait

const (
	// minOutage is the shortest outage in which callers are refused so that they return after
	// it. During shorter ones they wait.
	minOutage = time.Second
	// recoveryPeriod is how long after an outage the callers that were refused in it return.
	recoveryPeriod = 4 * time.Second
)

// isRecovering reports whether callers that were refused in an outage are still returning.
func (sv *service) isRecovering(now time.Duration) bool { return now < sv.recoveringUntil }

// updateOutage records when the service stopped serving, and clears that time once the service
// serves again.
func (sv *service) updateOutage(now time.Duration) {
	switch {
	case !sv.isDown(now):
		if sv.downSince > 0 && now-sv.downSince >= minOutage {
			sv.recoveringUntil = now + recoveryPeriod
		}
		sv.downSince = 0
	case sv.downSince == 0:
		sv.downSince = now
	}
}

// isDownForLong reports whether the service is in an outage that is assumed to last.
func (sv *service) isDownForLong(now time.Duration) bool {
	return sv.downSince > 0 && now-sv.downSince >= longOutage
}

// trustedAgeLimit returns the age of its load report from which an upstream is no longer
// trusted. If most upstreams lack a recent report, the reporting itself has failed, and age is
// no reason to distrust an upstream.
func (sv *service) trustedAgeLimit(now time.Duration) time.Duration {
	trusted, serving := 0, 0
	for _, u := range sv.active {
		if !sv.serves(u, now) {
			continue
		}
		serving++
		if u.load.isKnown && now-u.load.receivedAt < maxTrustedAge {
			trusted++
		}
	}
	if 2*trusted <= serving {
		return math.MaxInt64
	}
	return maxTrustedAge
}

// estimatedLoad estimates the number of requests at an upstream from its last load report and
// from what this host has sent and finished since. Without a fresh report it uses only this
// host's own requests.
func (s *Scheduler) estimatedLoad(u *upstream, now time.Duration) float64 {
	if !u.load.isFresh(now) {
		// The other hosts are assumed to have as many requests in flight as this host, evenly
		// spread over the upstreams.
		mean := float64(u.service.inflight) / float64(max(len(u.service.active), 1))
		return float64(u.inflight) + float64(s.hosts-1)*mean
	}
	return max(float64(u.load.requests+u.inflight-u.load.inflight), float64(u.inflight))
}
