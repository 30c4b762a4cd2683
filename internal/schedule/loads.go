package schedule

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// maxReportAge is how old an engine's load may be to count.
	maxReportAge = 700 * time.Millisecond
	// maxTrustedAge is how old an engine's load may be while those of most others are younger:
	// four reports missed in a row. The host beside it is then frozen or cut off, and what
	// is sent there is not read.
	maxTrustedAge = 400 * time.Millisecond
	// meanReportDelay is how old a load is when it comes: half an interval of the agent that reads
	// it, half of the control host's that passes it on.
	meanReportDelay = 100 * time.Millisecond
)

// load is what is known of an upstream's engine.
type load struct {
	isKnown bool
	isOpen  bool
	// isStalled tells that the engine's group makes no step although it has work.
	isStalled bool
	epoch     uint64
	// requests is the requests there, when the report was made.
	requests   int
	receivedAt time.Duration
	// inflight is this host's part of total: the attempts in flight there when the report
	// before came, which is about when this one was made.
	inflight, nextInflight int
	// stepTimeRatio is the engine's time for a step over its usual one, 0 if not known.
	stepTimeRatio float64
}

// isFresh reports whether the load counts.
func (l *load) isFresh(now time.Duration) bool { return l.isKnown && now-l.receivedAt <= maxReportAge }

// group is a set of ranks that serve together or not at all.
type group struct {
	name  string
	epoch uint64
	// isClosed tells that it does not serve, as one of its ranks says; isStanding that it makes
	// no step, since standingSince, which is 0 while it does.
	isClosed, isStalled bool
	stalledSince        time.Duration
	// lastReport is when a rank was heard last.
	lastReport time.Duration
	// ranks counts those whose load counts; running is how many requests one of them has, on
	// the mean, and places how many it should have.
	ranks           int
	meanLoad, limit float64
	passTimes       passHistory
	// openedAt is when the group began to serve, and dealt how many of its free places have
	// been dealt since; wasClosed and openEpoch tell a group that opens.
	openedAt    time.Duration
	allocated   float64
	wasClosed   bool
	openedEpoch uint64
}

// SetLoads takes in the loads of engines. It returns what becomes of requests that wait,
// and the attempts that are to end since their group does not serve.
func (s *Scheduler) SetLoads(all []wire.EngineLoad, now time.Duration) ([]Result, []StalledAttempt) {
	for i := range all {
		s.setLoad(&all[i], now)
	}
	var results []Result
	var stalled []StalledAttempt
	for _, sv := range s.services {
		sv.updateGroups()
		sv.updateMeanLoads()
		sv.updateLimits(now)
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
	if u == nil || l.Born != 0 && l.Born < u.Born {
		return
	}
	sv := u.service
	if u.group == nil || u.group.name != l.Group {
		u.group = sv.group(l.Group)
	}
	u.load = load{
		isKnown: true, isOpen: l.IsOpen, isStalled: l.IsStanding, epoch: l.Epoch, requests: l.Running + l.Waiting, receivedAt: now,
		inflight: u.load.nextInflight, nextInflight: u.inflight, stepTimeRatio: l.Pace,
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

// updateGroups derives the states of the groups from what their ranks said last: in its newest
// epoch a group serves once no rank says otherwise, since a rank that breaks or stands
// still stops them all. What ranks said of an earlier epoch no longer counts.
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

// updateStalledSince keeps since when the group stands still.
func (g *group) updateStalledSince() {
	switch {
	case !g.isStalled:
		g.stalledSince = 0
	case g.stalledSince == 0:
		g.stalledSince = g.lastReport
	}
}

// recordOpening keeps when the group began to serve.
func (g *group) recordOpening() {
	if !g.isClosed && (g.wasClosed || g.openedEpoch != g.epoch) {
		g.openedAt, g.openedEpoch, g.allocated = g.lastReport, g.epoch, 0
	}
	g.wasClosed = g.isClosed
}

// maxBriefStall is for how long a group that stands still may go on at any moment: ranks
// hold for some tenths of a second at most while a change of map comes into force. One that
// stands longer waits for a rank that is lost.
const maxBriefStall = 600 * time.Millisecond

// isBrieflyStalled reports whether no group of the service serves now, but one only stands still
// since a moment ago.
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

// serves reports whether an upstream can serve, as far as is known of its group: nothing
// is sent into one that is broken, nor into one of which nothing is heard while others are.
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
func (sv *service) hasGroups() bool { return sv.engineSpec != nil && sv.engineSpec.Experts.Sets > 0 }

// hasRecentReports reports whether loads come at all.
func (sv *service) hasRecentReports(now time.Duration) bool {
	return sv.hasReported && now-sv.lastReport <= maxReportAge
}

// isDown reports whether no upstream of a service with engines serves.
func (sv *service) isDown(now time.Duration) bool {
	for _, u := range sv.active {
		if sv.serves(u, now) {
			return false
		}
	}
	return true
}

// longOutage is how old an outage is that is taken to last. It is much longer than a request
// waits for a place, so that its end is not expected within that.
const longOutage = 8 * MaxQueueWait

// updateOutage keeps since when the service is out.
func (sv *service) updateOutage(now time.Duration) {
	switch {
	case !sv.isDown(now):
		sv.downSince = 0
	case sv.downSince == 0:
		sv.downSince = now
	}
}

// isDownForLong reports whether the service is in an outage that lasts.
func (sv *service) isDownForLong(now time.Duration) bool {
	return sv.downSince > 0 && now-sv.downSince >= longOutage
}

// trustedAgeLimit returns from which age of its load on an upstream of the service counts as dark.
// Where most are not heard, the reports are what is missing, and none does.
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

// estimatedLoad estimates the requests at an upstream from the last report and what this host
// has done since, or from this host's own alone.
func (s *Scheduler) estimatedLoad(u *upstream, now time.Duration) float64 {
	if !u.load.isFresh(now) {
		// The other hosts are thought to have as many as this one, evenly spread.
		mean := float64(u.service.inflight) / float64(max(len(u.service.active), 1))
		return float64(u.inflight) + float64(s.hosts-1)*mean
	}
	return max(float64(u.load.requests+u.inflight-u.load.inflight), float64(u.inflight))
}
