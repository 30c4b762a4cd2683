package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// crash is when an upstream of a service ended, as the first host to tell of it has it.
type crash struct {
	Incarnation
	service string
	at      time.Duration
}

func (e crash) compare(o crash) int {
	return cmp.Or(cmp.Compare(e.at, o.at), e.Incarnation.compare(o.Incarnation))
}

// suspectsByCrash are the requests that an end speaks against, by end.
type suspectsByCrash map[Incarnation][]Fingerprint

// evaluation is what verdicts are derived from.
type evaluation struct {
	table *Table
	// crashes are all that are known, the first one first; of is which one an end is.
	crashes  []crash
	crashOf  map[Incarnation]crash
	suspects suspectsByCrash
	// candidates are the requests that more speaks against than one upstream that ended, or two at
	// once: the runs under which upstreams ended.
	candidates map[Fingerprint][]execution
}

// execution is what ended under one run of a request, or under copies of it that ran at once.
type execution []crash

// updateVerdicts derives the verdicts from all that is known. It is a function of the set of
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
func (t *Table) updateVerdicts() {
	j := &evaluation{table: t, crashOf: t.crashes(), suspects: t.suspects(), candidates: make(map[Fingerprint][]execution)}
	j.crashes = slices.SortedFunc(maps.Values(j.crashOf), crash.compare)
	for f, r := range t.records {
		r.isQuarantined = false
		if runs := j.executions(r); len(runs) >= minExecutions || r.countUncleared() >= minCrashes {
			j.candidates[f] = runs
		}
	}
	for _, e := range j.crashes {
		// Who is held first explains what ended until then.
		for next := j.nextToQuarantine(e.at); len(next) > 0; next = j.nextToQuarantine(e.at) {
			j.quarantine(next)
		}
	}
	for f, r := range t.records {
		r.isSuspect = false
		for end := range r.crashes {
			r.isSuspect = r.isSuspect || slices.Contains(j.suspects[end], f)
		}
	}
}

// crashes returns when each upstream ended.
func (t *Table) crashes() map[Incarnation]crash {
	out := map[Incarnation]crash{}
	for _, r := range t.records {
		for end, s := range r.crashes {
			if first, ok := out[end]; !ok || s.at < first.at {
				out[end] = crash{end, s.service, s.at}
			}
		}
	}
	return out
}

// suspects returns the requests that each end speaks against.
func (t *Table) suspects() suspectsByCrash {
	out := suspectsByCrash{}
	for f, r := range t.records {
		for end, s := range r.crashes {
			if !s.isCleared {
				out[end] = append(out[end], f)
			}
		}
	}
	return out
}

// executions divides the ends that speak against a request: those of copies that ran at once stand
// together.
func (j *evaluation) executions(r *record) []execution {
	var all execution
	for end, s := range r.crashes {
		if !s.isCleared {
			all = append(all, j.crashOf[end])
		}
	}
	slices.SortFunc(all, crash.compare)
	var out []execution
	for _, e := range all {
		began := e.at - r.crashes[e.Incarnation].ran
		if len(out) == 0 || began > out[len(out)-1][0].at+crashTimeTolerance {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], e)
	}
	return out
}

// nextToQuarantine returns the requests that are held next by what had ended until then, given those that
// are: first the one that no other could stand for, and of these the one with most ends, since
// it explains what speaks against others.
func (j *evaluation) nextToQuarantine(until time.Duration) []Fingerprint {
	var alone, others []Fingerprint
	most := 0
	for f, runs := range j.candidates {
		if j.table.records[f].isQuarantined {
			continue
		}
		c := j.evidenceAgainst(f, runs, until)
		switch {
		case !c.isCertain() && !c.isLikely():
		case !j.hasRival(f):
			if c.crashes > most {
				alone, most = alone[:0], c.crashes
			}
			if c.crashes == most {
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

// evidence is what speaks against a request.
type evidence struct {
	executions, crashes int
	// isExplained tells that all that ended beside is explained, isQuiet that all is that
	// ended lately.
	isExplained, isRecentExplained bool
}

func (w evidence) isCertain() bool { return w.executions >= minExecutions && w.crashes >= minCrashes }

func (w evidence) isLikely() bool {
	return w.isExplained && (w.crashes >= minCrashes || w.executions >= minExecutions && w.isRecentExplained)
}

// evidenceAgainst counts what had ended under a request until then.
func (j *evaluation) evidenceAgainst(f Fingerprint, runs []execution, until time.Duration) evidence {
	w := evidence{isExplained: true, isRecentExplained: j.isExplained(f, runs[0][0].service, until-recentWindow, until)}
	for _, run := range runs {
		n := 0
		for _, e := range run {
			if e.at <= until && slices.Contains(j.suspects[e.Incarnation], f) {
				n++
			}
		}
		if n == 0 {
			continue
		}
		w.executions++
		w.crashes += n
		w.isExplained = w.isExplained && j.isExplained(f, run[0].service, run[0].at-sharedCauseWindow, run[len(run)-1].at+sharedCauseWindow)
	}
	return w
}

// isExplained reports whether all upstreams of a service that ended in a span ended under this
// request, or under others of which as much is known.
func (j *evaluation) isExplained(f Fingerprint, service string, from, to time.Duration) bool {
	first, _ := slices.BinarySearchFunc(j.crashes, from, func(e crash, t time.Duration) int { return cmp.Compare(e.at, t) })
	for _, e := range j.crashes[first:] {
		if e.at > to {
			break
		}
		if e.service == service && !slices.ContainsFunc(j.suspects[e.Incarnation], func(g Fingerprint) bool { return g == f || j.candidates[g] != nil }) {
			return false
		}
	}
	return true
}

// hasRival reports whether each end that speaks against a request speaks as well against
// another one of which as much is known, and that is not held.
func (j *evaluation) hasRival(f Fingerprint) bool {
	isRival := func(g Fingerprint) bool { return g != f && j.candidates[g] != nil && !j.table.records[g].isQuarantined }
	for end := range j.table.records[f].crashes {
		if all := j.suspects[end]; slices.Contains(all, f) && !slices.ContainsFunc(all, isRival) {
			return false
		}
	}
	return true
}

// quarantine holds requests. What ended under them speaks against nobody else from now on.
func (j *evaluation) quarantine(all []Fingerprint) {
	explained := suspectsByCrash{}
	for _, f := range all {
		r := j.table.records[f]
		r.isQuarantined, r.until = true, r.lastCrash()+quarantineTime(r.countUncleared())
		for end, s := range r.crashes {
			if !s.isCleared {
				explained[end] = append(explained[end], f)
			}
		}
	}
	maps.Copy(j.suspects, explained)
}
