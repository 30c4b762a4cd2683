package schedule

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// freshLoad is how old an engine's load may be to count.
	freshLoad = 700 * time.Millisecond
	// darkLoad is how old an engine's load may be while those of most others are younger:
	// four reports missed in a row. The host beside it is then frozen or cut off, and what
	// is sent there is not read.
	darkLoad = 400 * time.Millisecond
	// loadLag is how old a load is when it comes: half an interval of the agent that reads
	// it, half of the control host's that passes it on.
	loadLag = 100 * time.Millisecond
)

// load is what is known of an upstream's engine.
type load struct {
	isKnown bool
	isOpen  bool
	// isStanding tells that the engine's group makes no step although it has work.
	isStanding bool
	epoch      uint64
	// total is the requests there, when the report was made.
	total int
	at    time.Duration
	// inflight is this host's part of total: the attempts in flight there when the report
	// before came, which is about when this one was made.
	inflight, next int
	// pace is the engine's time for a step over its usual one, 0 if not known.
	pace float64
}

// isFresh reports whether the load counts.
func (l *load) isFresh(now time.Duration) bool { return l.isKnown && now-l.at <= freshLoad }

// group is a set of ranks that serve together or not at all.
type group struct {
	name  string
	epoch uint64
	// isClosed tells that it does not serve, as one of its ranks says; isStanding that it makes
	// no step, since standingSince, which is 0 while it does.
	isClosed, isStanding bool
	standingSince        time.Duration
	// heard is when a rank was heard last.
	heard time.Duration
	// ranks counts those whose load counts; running is how many requests one of them has, on
	// the mean, and places how many it should have.
	ranks           int
	running, places float64
	passes          passes
	// opened is when the group began to serve, and dealt how many of its free places have
	// been dealt since; wasClosed and openEpoch tell a group that opens.
	opened    time.Duration
	dealt     float64
	wasClosed bool
	openEpoch uint64
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
		sv.regroup()
		sv.countRunning()
		sv.followPasses(now)
		sv.noteOutage(now)
	}
	s.dealPlaces(all, now)
	for _, sv := range s.services {
		stalled = s.stalled(stalled, sv, now)
		if len(sv.waiters) > 0 {
			results = s.pump(results, sv, len(sv.waiters), now)
			results = s.sweep(results, sv, now)
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
		isKnown: true, isOpen: l.IsOpen, isStanding: l.IsStanding, epoch: l.Epoch, total: l.Running + l.Waiting, at: now,
		inflight: u.load.next, next: u.inflight, pace: l.Pace,
	}
	u.group.heard = now
	sv.heard, sv.wasHeard = now, true
}

func (sv *service) group(name string) *group {
	g := sv.groups[name]
	if g == nil {
		g = &group{name: name}
		sv.groups[name] = g
	}
	return g
}

// regroup derives the states of the groups from what their ranks said last: in its newest
// epoch a group serves once no rank says otherwise, since a rank that breaks or stands
// still stops them all. What ranks said of an earlier epoch no longer counts.
func (sv *service) regroup() {
	for name, g := range sv.groups {
		g.isClosed, g.isStanding, g.epoch = false, false, 0
		if !sv.hasRank(g) {
			delete(sv.groups, name)
		}
	}
	for _, u := range sv.all {
		if u.group != nil && u.load.isKnown {
			u.group.epoch = max(u.group.epoch, u.load.epoch)
		}
	}
	for _, u := range sv.all {
		g := u.group
		if g == nil || !u.load.isKnown || u.load.epoch != g.epoch || g.heard-u.load.at > freshLoad {
			continue
		}
		g.isClosed = g.isClosed || !u.load.isOpen
		g.isStanding = g.isStanding || u.load.isStanding
	}
	for _, g := range sv.groups {
		g.noteOpening()
		g.noteStanding()
	}
}

// noteStanding keeps since when the group stands still.
func (g *group) noteStanding() {
	switch {
	case !g.isStanding:
		g.standingSince = 0
	case g.standingSince == 0:
		g.standingSince = g.heard
	}
}

// noteOpening keeps when the group began to serve.
func (g *group) noteOpening() {
	if !g.isClosed && (g.wasClosed || g.openEpoch != g.epoch) {
		g.opened, g.openEpoch, g.dealt = g.heard, g.epoch, 0
	}
	g.wasClosed = g.isClosed
}

// standingPatience is for how long a group that stands still may go on at any moment: ranks
// hold for some tenths of a second at most while a change of map comes into force. One that
// stands longer waits for a rank that is lost.
const standingPatience = 600 * time.Millisecond

// isPausing reports whether no group of the service serves now, but one only stands still
// since a moment ago.
func (sv *service) isPausing(now time.Duration) bool {
	for _, g := range sv.groups {
		if g.isStanding && !g.isClosed && now-g.heard <= freshLoad && now-g.standingSince < standingPatience {
			return true
		}
	}
	return false
}

func (sv *service) hasRank(g *group) bool {
	for _, u := range sv.all {
		if u.group == g {
			return true
		}
	}
	return false
}

// serves reports whether an upstream can serve, as far as is known of its group: nothing
// is sent into one that is broken, nor into one of which nothing is heard while others are.
func (sv *service) serves(u *upstream, now time.Duration) bool {
	if !sv.isHeard(now) {
		return true
	}
	if u.group == nil {
		return !sv.hasGroups()
	}
	return !u.group.isClosed && !u.group.isStanding && now-u.group.heard <= freshLoad
}

// hasGroups reports whether the service's engines are ranks of groups.
func (sv *service) hasGroups() bool { return sv.shape != nil && sv.shape.Experts.Sets > 0 }

// isHeard reports whether loads come at all.
func (sv *service) isHeard(now time.Duration) bool { return sv.wasHeard && now-sv.heard <= freshLoad }

// isOut reports whether no upstream of a service with engines serves.
func (sv *service) isOut(now time.Duration) bool {
	for _, u := range sv.all {
		if sv.serves(u, now) {
			return false
		}
	}
	return true
}

// longOutage is how old an outage is that is taken to last. It is much longer than a request
// waits for a place, so that its end is not expected within that.
const longOutage = 8 * MaxQueueWait

// noteOutage keeps since when the service is out.
func (sv *service) noteOutage(now time.Duration) {
	switch {
	case !sv.isOut(now):
		sv.outSince = 0
	case sv.outSince == 0:
		sv.outSince = now
	}
}

// isOutForLong reports whether the service is in an outage that lasts.
func (sv *service) isOutForLong(now time.Duration) bool {
	return sv.outSince > 0 && now-sv.outSince >= longOutage
}

// darkest returns from which age of its load on an upstream of the service counts as dark.
// Where most are not heard, the reports are what is missing, and none does.
func (sv *service) darkest(now time.Duration) time.Duration {
	fresh, serving := 0, 0
	for _, u := range sv.all {
		if !sv.serves(u, now) {
			continue
		}
		serving++
		if u.load.isKnown && now-u.load.at < darkLoad {
			fresh++
		}
	}
	if 2*fresh <= serving {
		return math.MaxInt64
	}
	return darkLoad
}

// taken estimates the requests at an upstream from the last report and what this host
// has done since, or from this host's own alone.
func (s *Scheduler) taken(u *upstream, now time.Duration) float64 {
	if !u.load.isFresh(now) {
		// The other hosts are thought to have as many as this one, evenly spread.
		mean := float64(u.service.inflight) / float64(max(len(u.service.all), 1))
		return float64(u.inflight) + float64(s.hosts-1)*mean
	}
	return max(float64(u.load.total+u.inflight-u.load.inflight), float64(u.inflight))
}
