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
	epoch   uint64
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
	// isClosed tells that it does not serve, as one of its ranks says.
	isClosed bool
	// heard is when a rank was heard last.
	heard time.Duration
	// ranks counts those whose load counts; running is how many requests one of them has, on
	// the mean, and places how many it should have.
	ranks           int
	running, places float64
	passes          passes
}

// SetLoads takes in the loads of engines. It returns what becomes of requests that wait,
// and the attempts that are to end since their group does not serve.
func (s *Scheduler) SetLoads(all []wire.EngineLoad, now time.Duration) ([]Result, []Stalled) {
	for i := range all {
		s.setLoad(&all[i], now)
	}
	var results []Result
	var stalled []Stalled
	for _, sv := range s.services {
		sv.regroup()
		sv.countRunning()
		sv.followPasses(now)
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
		isKnown: true, isOpen: l.IsOpen, epoch: l.Epoch, total: l.Running + l.Waiting, at: now,
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
		g.isClosed, g.epoch = false, 0
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
		if g := u.group; g != nil && u.load.isKnown && u.load.epoch == g.epoch && !u.load.isOpen && g.heard-u.load.at <= freshLoad {
			g.isClosed = true
		}
	}
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
	return !u.group.isClosed && now-u.group.heard <= freshLoad
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

// leastPace is the pace of the fastest engine of a service that is heard, 0 where none tells
// it.
func (sv *service) leastPace(now time.Duration) float64 {
	least := 0.0
	for _, u := range sv.all {
		if u.load.isFresh(now) && u.load.pace > 0 && (least == 0 || u.load.pace < least) {
			least = u.load.pace
		}
	}
	return least
}

// placesAt returns how many requests an engine should work on at once, fewer where it is
// slower than the fastest.
func (sv *service) placesAt(u *upstream, least float64, now time.Duration) int {
	places := sv.places
	if u.group != nil && u.group.places > 0 {
		places = int(u.group.places + u.spread)
	}
	if !u.load.isFresh(now) || least == 0 {
		return places
	}
	return PlacesAt(sv.shape, places, u.load.pace/least)
}

// room counts the places of a service that serve, and those of them that are free.
func (s *Scheduler) room(sv *service, now time.Duration) (places, free float64) {
	least := sv.leastPace(now)
	for _, u := range sv.all {
		if !sv.serves(u, now) {
			continue
		}
		n := float64(sv.placesAt(u, least, now))
		places += n
		free += max(n-s.taken(u, now), 0)
	}
	return places, free
}

// dealPlaces draws how many of the places that engines have just reported free are this
// host's to take: its part, and what it has not used of the parts before, up to one place
// or one part. All hosts see the same places: when a full group of 63 ranks showed one
// free, the hosts sent 20 to 39 requests there before they knew better. Ranks then worked
// on twice the requests that let passes be on time, answers took longer, and more were on
// their way than before: the overload fed itself for 20 s after its cause had gone.
// Where all slots count as places, an engine lets no more in than its passes bear, and its
// own queue wastes no time between two requests; nothing is dealt there.
func (s *Scheduler) dealPlaces(reported []wire.EngineLoad, now time.Duration) {
	for _, sv := range s.services {
		if sv.shape == nil || sv.places >= sv.shape.Slots {
			sv.isDealt, sv.dealt = false, flow{}
			continue
		}
		least, free := sv.leastPace(now), 0.0
		for i := range reported {
			if u := s.byAddress[reported[i].Address]; u != nil && u.service == sv && u.load.at == now && sv.serves(u, now) {
				free += max(float64(sv.placesAt(u, least, now))-s.taken(u, now), 0)
			}
		}
		sv.dealt.add(free/float64(s.hosts), now)
		most := max(1, int(math.Ceil(free/float64(s.hosts))))
		sv.isDealt, sv.mine = true, min(sv.mine+s.part(free), most)
	}
}

// part returns this host's part of something that all hosts share, in whole numbers that
// are right on the mean.
func (s *Scheduler) part(all float64) int {
	part := all / float64(s.hosts)
	n := int(part)
	if s.cfg.Random.Float64() < part-float64(n) {
		n++
	}
	return n
}

// share returns how many of a service's free places this host may take at once: all
// hosts see the same ones.
func (s *Scheduler) share(sv *service, now time.Duration) int {
	_, free := s.room(sv, now)
	return s.part(free)
}
