package registry

import "slices"

// View merges what several control hosts say of the upstreams. An upstream is silent
// only where every control host that speaks of it says so: its announcements reach one
// of them at a time.
type View struct {
	byID map[string]*viewEntry
	// revoked holds the incarnations found to have lost their address to another one, by
	// id: when they were born.
	revoked map[string]int64
	// gone lists the incarnations that have left, the first to leave first.
	gone []string
	// mergeCount counts the calls of Merge.
	mergeCount uint64
}

// maxGone is how many incarnations that have left are remembered, so that a late
// announcement does not bring one back: hours of replacements at the target's size.
const maxGone = 4096

type viewEntry struct {
	Upstream
	// silentBy holds what each control host that is in touch said last.
	silentBy map[string]bool
	// isInGone tells that it stands in View.gone.
	isInGone bool
	// firstMerge is the Merge in which the incarnation was first heard of.
	firstMerge uint64
}

// NewView returns an empty View.
func NewView() *View {
	return &View{byID: make(map[string]*viewEntry), revoked: make(map[string]int64)}
}

// Merge takes what a control host says. It reports whether anything has changed.
func (v *View) Merge(source string, all []Upstream) bool {
	changed := false
	v.mergeCount++
	for _, u := range all {
		s := v.byID[u.ID]
		if s == nil {
			s = &viewEntry{Upstream: u, silentBy: make(map[string]bool), firstMerge: v.mergeCount}
			s.IsSilent = false
			v.byID[u.ID] = s
			changed = true
		} else {
			born := s.Born
			changed = s.merge(u) || changed
			if s.Born != born {
				v.resetIncarnation(s)
			}
		}
		v.recordGone(s)
		if u.Born == s.Born {
			s.silentBy[source] = u.IsSilent
		}
		changed = s.updateSilence() || changed
	}
	return changed
}

// resetIncarnation lets an incarnation start without what was known of the one before.
func (v *View) resetIncarnation(s *viewEntry) {
	s.IsSilent, s.firstMerge = false, v.mergeCount
	clear(s.silentBy)
	if s.isInGone {
		s.isInGone = false
		v.gone = slices.DeleteFunc(v.gone, func(id string) bool { return id == s.ID })
	}
}

// recordGone remembers an incarnation that has left, and forgets the oldest such ones.
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

// Lose forgets what a control host said of silence, since it can't be asked any more.
func (v *View) Lose(source string) bool {
	changed := false
	for _, s := range v.byID {
		delete(s.silentBy, source)
		changed = s.updateSilence() || changed
	}
	return changed
}

// updateSilence derives IsSilent and reports whether it changed. With nobody to ask, the last
// judgement stands.
func (s *viewEntry) updateSilence() bool {
	if len(s.silentBy) == 0 {
		return false
	}
	silent := true
	for _, says := range s.silentBy {
		silent = silent && says
	}
	changed := silent != s.IsSilent
	s.IsSilent = silent
	return changed
}

// Revoke drops an incarnation whose address was found to be another one's.
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
	return ok && u.Born <= born
}

// Serving returns the upstreams that may get new work, by service, in the order of
// their ids. Of several at one address only the newest can be there: after a loss of power
// upstreams are back under new ids before the old ones count as silent. One that is wrongly
// taken for the newest, by a word of its that came late, is revoked with the first request.
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

// IsLeaving reports whether an incarnation has said that it leaves, or has left.
func (v *View) IsLeaving(id string, born int64) bool {
	s := v.byID[id]
	return s != nil && s.Born == born && s.State != Ready
}

func (v *View) mayServe(s *viewEntry) bool {
	return s.State == Ready && !v.isRevoked(&s.Upstream) && s.Address != ""
}

// isNewerThan reports whether an incarnation is newer than another at its address, as far as
// can be told.
func (s *viewEntry) isNewerThan(o *viewEntry) bool {
	if s.Born != o.Born {
		return s.Born > o.Born
	}
	return s.firstMerge > o.firstMerge
}

// All returns every upstream known, those that have left included.
func (v *View) All() []Upstream {
	out := make([]Upstream, 0, len(v.byID))
	for _, s := range v.byID {
		out = append(out, s.Upstream)
	}
	sortByID(out)
	return out
}
