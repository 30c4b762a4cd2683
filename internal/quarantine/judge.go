package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ending is when an upstream of a service ended, as the first host to tell of it has it.
type ending struct {
	Incarnation
	service string
	at      time.Duration
}

func (e ending) compare(o ending) int {
	return cmp.Or(cmp.Compare(e.at, o.at), e.Incarnation.compare(o.Incarnation))
}

// suspects are the requests that an end speaks against, by end.
type suspects map[Incarnation][]Fingerprint

// judgement is what verdicts are derived from.
type judgement struct {
	table *Table
	// endings are all that are known, the first one first; of is which one an end is.
	endings []ending
	of      map[Incarnation]ending
	by      suspects
	// strong are the requests that more speaks against than one upstream that ended, or two at
	// once: the runs under which upstreams ended.
	strong map[Fingerprint][]run
}

// run is what ended under one run of a request, or under copies of it that ran at once.
type run []ending

// judge derives the verdicts from all that is known. It is a function of the set of
// suspicions, so hosts that know the same judge the same.
//
// A request is held
//   - after two runs under which upstreams ended, as long as what ended of the service about
//     then is explained, and nothing ended lately that is not;
//   - after three upstreams that ended under one run, where that is explained;
//   - after three upstreams and two runs, whatever else ended.
//
// An end is explained by the request itself, or by another one of which as much is known. The
// first two rules hold nobody where others ran on just the same upstreams. What ended under a
// request that is held speaks against nobody else.
func (t *Table) judge() {
	j := &judgement{table: t, of: t.endings(), by: t.suspects(), strong: make(map[Fingerprint][]run)}
	j.endings = slices.SortedFunc(maps.Values(j.of), ending.compare)
	for f, r := range t.records {
		r.isHeld = false
		if runs := j.runs(r); len(runs) >= enoughRuns || r.counted() >= enoughEnds {
			j.strong[f] = runs
		}
	}
	for _, e := range j.endings {
		// Who is held first explains what ended until then.
		for next := j.next(e.at); len(next) > 0; next = j.next(e.at) {
			j.hold(next)
		}
	}
	for f, r := range t.records {
		r.isSuspect = false
		for end := range r.ends {
			r.isSuspect = r.isSuspect || slices.Contains(j.by[end], f)
		}
	}
}

// endings returns when each upstream ended.
func (t *Table) endings() map[Incarnation]ending {
	out := map[Incarnation]ending{}
	for _, r := range t.records {
		for end, s := range r.ends {
			if first, ok := out[end]; !ok || s.at < first.at {
				out[end] = ending{end, s.service, s.at}
			}
		}
	}
	return out
}

// suspects returns the requests that each end speaks against.
func (t *Table) suspects() suspects {
	out := suspects{}
	for f, r := range t.records {
		for end, s := range r.ends {
			if !s.isCleared {
				out[end] = append(out[end], f)
			}
		}
	}
	return out
}

// runs divides the ends that speak against a request: those of copies that ran at once stand
// together.
func (j *judgement) runs(r *record) []run {
	var all run
	for end, s := range r.ends {
		if !s.isCleared {
			all = append(all, j.of[end])
		}
	}
	slices.SortFunc(all, ending.compare)
	var out []run
	for _, e := range all {
		began := e.at - r.ends[e.Incarnation].ran
		if len(out) == 0 || began > out[len(out)-1][0].at+slack {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], e)
	}
	return out
}

// next returns the requests that are held next by what had ended until then, given those that
// are: first the one that no other could stand for, and of these the one with most ends, since
// it explains what speaks against others.
func (j *judgement) next(until time.Duration) []Fingerprint {
	var alone, others []Fingerprint
	most := 0
	for f, runs := range j.strong {
		if j.table.records[f].isHeld {
			continue
		}
		c := j.weigh(f, runs, until)
		switch {
		case !c.isCertain() && !c.isLikely():
		case !j.hasRival(f):
			if c.ends > most {
				alone, most = alone[:0], c.ends
			}
			if c.ends == most {
				alone = append(alone, f)
			}
		case c.isCertain():
			others = append(others, f)
		}
	}
	if len(alone) > 0 {
		return alone
	}
	return others
}

// weight is what speaks against a request.
type weight struct {
	runs, ends int
	// isExplained tells that all that ended beside is explained, isQuiet that all is that
	// ended lately.
	isExplained, isQuiet bool
}

func (w weight) isCertain() bool { return w.runs >= enoughRuns && w.ends >= enoughEnds }

func (w weight) isLikely() bool {
	return w.isExplained && (w.ends >= enoughEnds || w.runs >= enoughRuns && w.isQuiet)
}

// weigh counts what had ended under a request until then.
func (j *judgement) weigh(f Fingerprint, runs []run, until time.Duration) weight {
	w := weight{isExplained: true, isQuiet: j.isExplained(f, runs[0][0].service, until-lately, until)}
	for _, run := range runs {
		n := 0
		for _, e := range run {
			if e.at <= until && slices.Contains(j.by[e.Incarnation], f) {
				n++
			}
		}
		if n == 0 {
			continue
		}
		w.runs++
		w.ends += n
		w.isExplained = w.isExplained && j.isExplained(f, run[0].service, run[0].at-together, run[len(run)-1].at+together)
	}
	return w
}

// isExplained reports whether all upstreams of a service that ended in a span ended under this
// request, or under others of which as much is known.
func (j *judgement) isExplained(f Fingerprint, service string, from, to time.Duration) bool {
	first, _ := slices.BinarySearchFunc(j.endings, from, func(e ending, t time.Duration) int { return cmp.Compare(e.at, t) })
	for _, e := range j.endings[first:] {
		if e.at > to {
			break
		}
		if e.service == service && !slices.ContainsFunc(j.by[e.Incarnation], func(g Fingerprint) bool { return g == f || j.strong[g] != nil }) {
			return false
		}
	}
	return true
}

// hasRival reports whether each end that speaks against a request speaks as well against
// another one of which as much is known, and that is not held.
func (j *judgement) hasRival(f Fingerprint) bool {
	isRival := func(g Fingerprint) bool { return g != f && j.strong[g] != nil && !j.table.records[g].isHeld }
	for end := range j.table.records[f].ends {
		if all := j.by[end]; slices.Contains(all, f) && !slices.ContainsFunc(all, isRival) {
			return false
		}
	}
	return true
}

// hold holds requests. What ended under them speaks against nobody else from now on.
func (j *judgement) hold(all []Fingerprint) {
	explained := suspects{}
	for _, f := range all {
		r := j.table.records[f]
		r.isHeld, r.until = true, r.last()+holdFor(r.counted())
		for end, s := range r.ends {
			if !s.isCleared {
				explained[end] = append(explained[end], f)
			}
		}
	}
	maps.Copy(j.by, explained)
}
