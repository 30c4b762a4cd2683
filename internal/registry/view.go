package registry

import (
	"slices"
	"time"
)

// View merges the lists of upstreams of several control hosts. An upstream is silent only if
// every control host that lists it reports it as silent, because an upstream sends its
// announcements to one control host at a time.
type View struct {
	byID map[string]*viewEntry
	// revoked holds, by ID, the StartedAt value of the latest incarnation that was found to
	// have lost its address to another one.
	revoked map[string]int64
	// gone lists the IDs of the upstreams that are gone, the first to leave first.
	gone []string
	// mergeCount is the number of calls of Merge.
	mergeCount uint64
}

// maxGone is how many gone upstreams are kept, so that a delayed announcement does not bring
// one back. It covers several hours of replacements at the target fleet size.
const maxGone = 4096

// viewEntry is the merged record of one upstream.
type viewEntry struct {
	Upstream
	replacement
	// silentBy holds, for each connected control host, whether it last reported the upstream
	// as silent.
	silentBy map[string]bool
	// isInGone is set if the ID is in View.gone.
	isInGone bool
	// firstMerge is the number of the Merge call that first contained the incarnation.
	firstMerge uint64
	// toldBy is the control host whose list contained the incarnation last, and toldAt when that was.
	toldBy string
	toldAt time.Duration
}

// NewView returns an empty View.
func NewView() *View {
	return &View{byID: make(map[string]*viewEntry), revoked: make(map[string]int64)}
}

// Merge applies a list of upstreams from a control host. It reports whether anything changed. The
// error is ErrAmbiguous if an upstream in the list has left but may not be the known incarnation;
// the rest of the list is applied all the same.
func (v *View) Merge(source string, all []Upstream, now time.Duration) (changed bool, err error) {
	v.mergeCount++
	for _, u := range all {
		s := v.byID[u.ID]
		if s != nil && s.StartedAt != 0 && u.IsLeaveWithoutStart() {
			if s.isAmbiguous(now) {
				err = ErrAmbiguous
				continue
			}
			u = Upstream{ID: s.ID, StartedAt: s.StartedAt, State: Gone}
		}
		if s == nil {
			s = &viewEntry{Upstream: u, silentBy: make(map[string]bool), firstMerge: v.mergeCount}
			s.IsSilent = false
			s.receiveColdTime(now)
			v.byID[u.ID] = s
			changed = true
		} else {
			born := s.StartedAt
			changed = s.merge(u, true, now) || changed
			if s.StartedAt != born {
				s.recordReplacement(now)
				v.resetIncarnation(s)
			}
		}
		v.recordGone(s)
		if u.StartedAt == s.StartedAt {
			s.silentBy[source] = u.IsSilent
			s.toldBy, s.toldAt = source, now
		}
		changed = s.updateSilence() || changed
	}
	return changed, err
}

// Contradicted returns the IDs of the upstreams that a list has as ready, although the View knows that
// the same incarnation is gone. The control host that sent the list has not heard of the departure.
// Draining upstreams are left out: a host can know that from a response before any control host does.
func (v *View) Contradicted(all []Upstream) []string {
	var out []string
	for _, u := range all {
		s := v.byID[u.ID]
		if s != nil && u.State == Ready && s.State == Gone && u.StartedAt == s.StartedAt {
			out = append(out, u.ID)
		}
	}
	return out
}

// Report is what a View knows of the state of an upstream, and from whom.
type Report struct {
	State State
	// ToldBy is the control host whose list contained the incarnation last, and Age how long ago that
	// was. A control host tells only what has changed, so a high age is normal.
	ToldBy string
	Age    time.Duration
}

// LastReport returns what was last told of an incarnation; the zero Report if it is not known.
func (v *View) LastReport(id string, startedAt int64, now time.Duration) Report {
	s := v.byID[id]
	if s == nil || s.StartedAt != startedAt {
		return Report{}
	}
	return Report{State: s.State, ToldBy: s.toldBy, Age: now - s.toldAt}
}

// ReadyAmong returns those of the upstreams with these IDs that the View has as ready.
func (v *View) ReadyAmong(ids []string) []Upstream {
	var out []Upstream
	for _, id := range ids {
		if s := v.byID[id]; s != nil && s.State == Ready {
			out = append(out, s.Upstream)
		}
	}
	return out
}

// MergeDepartures applies the departures of which a control host does not know the incarnation. They
// end incarnations that state no start time. It reports whether anything changed.
func (v *View) MergeDepartures(all []Departure) bool {
	changed := false
	for _, d := range all {
		s := v.byID[d.ID]
		if s == nil {
			s = &viewEntry{Upstream: d.Upstream(), silentBy: make(map[string]bool), firstMerge: v.mergeCount}
			v.byID[d.ID] = s
		}
		if s.StartedAt == d.StartedAt && s.State < d.State {
			s.State = d.State
			changed = true
		}
		v.recordGone(s)
	}
	return changed
}

// Resolve is Registry.Resolve for the merged lists of all control hosts.
func (v *View) Resolve(id string, now time.Duration) (startedAt int64, err error) {
	s := v.byID[id]
	if s == nil || s.StartedAt == 0 {
		return 0, nil
	}
	if s.isAmbiguous(now) {
		return 0, ErrAmbiguous
	}
	return s.StartedAt, nil
}

// resetIncarnation clears the state that belonged to the previous incarnation.
func (v *View) resetIncarnation(s *viewEntry) {
	s.IsSilent, s.firstMerge = false, v.mergeCount
	clear(s.silentBy)
	if s.isInGone {
		s.isInGone = false
		v.gone = slices.DeleteFunc(v.gone, func(id string) bool { return id == s.ID })
	}
}

// recordGone adds an upstream that is gone to the list, and removes the oldest one from the
// View if there are more than maxGone.
func (v *View) recordGone(s *viewEntry) {
	if s.State != Gone || s.isInGone {
		return
	}
	s.isInGone = true
	v.gone = append(v.gone, s.ID)
	if len(v.gone) > maxGone {
		delete(v.byID, v.gone[0])
		delete(v.revoked, v.gone[0])
		v.gone = v.gone[1:]
	}
}

// DropSource drops what a control host reported about silence, because it is no longer connected.
// It reports whether anything changed.
func (v *View) DropSource(source string) bool {
	changed := false
	for _, s := range v.byID {
		delete(s.silentBy, source)
		changed = s.updateSilence() || changed
	}
	return changed
}

// updateSilence recomputes IsSilent and reports whether it changed. If no control host is
// connected, the last value is kept.
func (s *viewEntry) updateSilence() bool {
	if len(s.silentBy) == 0 {
		return false
	}
	silent := true
	for _, isSilent := range s.silentBy {
		silent = silent && isSilent
	}
	changed := silent != s.IsSilent
	s.IsSilent = silent
	return changed
}

// Revoke excludes an incarnation from Serving because another upstream was found at its
// address. It returns false if this or a later incarnation was already revoked.
func (v *View) Revoke(id string, born int64) bool {
	if before, ok := v.revoked[id]; ok && born <= before {
		return false
	}
	v.revoked[id] = born
	return true
}

// isRevoked reports whether the incarnation, or a later one, was revoked.
func (v *View) isRevoked(u *Upstream) bool {
	born, ok := v.revoked[u.ID]
	return ok && u.StartedAt <= born
}

// Serving returns the upstreams that may get new requests, by service and sorted by ID. Of
// several upstreams with the same address it returns only the newest: after a power failure
// upstreams come back under new IDs before the old ones count as silent. A delayed announcement
// can make an old upstream look like the newest. The first request to it finds the mistake,
// and Revoke then excludes it.
func (v *View) Serving() map[string][]Upstream {
	newest := make(map[string]*viewEntry)
	for _, s := range v.byID {
		if !v.mayServe(s) {
			continue
		}
		if other := newest[s.Address]; other == nil || s.isNewerThan(other) {
			newest[s.Address] = s
		}
	}
	out := make(map[string][]Upstream)
	for _, s := range v.byID {
		if v.mayServe(s) && !newest[s.Address].isNewerThan(s) {
			out[s.Service] = append(out[s.Service], s.Upstream)
		}
	}
	for _, list := range out {
		sortByID(list)
	}
	return out
}

// MarkLeaving records that an incarnation has said, other than by an announcement, that it is
// draining. It reports whether that is new.
func (v *View) MarkLeaving(id string, born int64) bool {
	s := v.byID[id]
	if s == nil || s.StartedAt != born || s.State != Ready {
		return false
	}
	s.State = Draining
	return true
}

// Contains reports whether the View holds an incarnation that is not gone.
func (v *View) Contains(id string, born int64) bool {
	s := v.byID[id]
	return s != nil && s.StartedAt == born && s.State != Gone
}

// IsDraining reports whether an incarnation is draining or gone.
func (v *View) IsDraining(id string, born int64) bool {
	s := v.byID[id]
	return s != nil && s.StartedAt == born && s.State != Ready
}

// mayServe reports whether an upstream can get requests, apart from newer ones at its address.
func (v *View) mayServe(s *viewEntry) bool {
	return s.State == Ready && !v.isRevoked(&s.Upstream) && s.Address != ""
}

// isNewerThan reports whether an incarnation is newer than another one at the same address. It
// compares start times, and if these are equal or missing, when each was first merged. If
// both came with the same Merge, neither is newer.
func (s *viewEntry) isNewerThan(o *viewEntry) bool {
	if s.StartedAt != o.StartedAt {
		return s.StartedAt > o.StartedAt
	}
	return s.firstMerge > o.firstMerge
}

// All returns all known upstreams, including those that are gone, sorted by ID.
func (v *View) All() []Upstream {
	out := make([]Upstream, 0, len(v.byID))
	for _, s := range v.byID {
		out = append(out, s.Upstream)
	}
	sortByID(out)
	return out
}
