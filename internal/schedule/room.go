package schedule

import "time"

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
	return SlowRankLimit(sv.shape, places, u.load.pace/least)
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
