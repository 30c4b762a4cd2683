package schedule

import "time"

// RefuseEvacuated refuses all queued requests of a service whose upstreams are all in evacuated data
// centres.
func (s *Scheduler) RefuseEvacuated(name string, now time.Duration) []Result {
	return s.refuseWhere(nil, s.service(name), Evacuated, now, func(*Waiter) bool { return true })
}

// DataCentre returns the data centre of the upstream.
func (t *Ticket) DataCentre() string { return t.upstream.DataCentre }

// IsGroupKnown reports whether the state of the upstream's group is still known. It is not once none
// of the group's ranks may get requests, since load reports of other upstreams are ignored.
func (t *Ticket) IsGroupKnown() bool {
	g := t.upstream.group
	return g != nil && t.service.groups[g.name] == g
}
