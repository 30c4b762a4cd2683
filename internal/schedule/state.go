package schedule

import "time"

// State is what a host knows of a service, for logs: the grounds of a decision.
type State struct {
	// Upstreams serve by what they say; Heard are those whose load counts, the oldest of
	// them OldestLoad old; Serving are in groups that serve.
	Upstreams, Heard, Serving int
	OldestLoad                time.Duration
	// Groups are known, Closed of them do not serve.
	Groups, Closed int
	// Places are those of the engines that serve, Taken the requests there.
	Places, Taken float64
	// Waiting are the requests that wait here, Late this host's attempts that were late when
	// they got their place, Need the places that those on time keep taken.
	Waiting, Late int
	Need          float64
}

// State returns what is known of a service.
func (s *Scheduler) State(name string, now time.Duration) State {
	sv := s.service(name)
	out := State{
		Upstreams: len(sv.all), Groups: len(sv.groups), Waiting: len(sv.waiters), Late: sv.late,
	}
	for _, g := range sv.groups {
		if g.isClosed {
			out.Closed++
		}
	}
	for _, u := range sv.all {
		if u.load.isFresh(now) {
			out.Heard++
			out.OldestLoad = max(out.OldestLoad, now-u.load.at)
		}
		if sv.serves(u, now) {
			out.Serving++
			out.Taken += s.taken(u, now)
		}
	}
	if sv.shape != nil {
		out.Places, _ = s.room(sv, now)
		out.Need = sv.demand.need(sv.usualStay(), now)
	}
	return out
}
