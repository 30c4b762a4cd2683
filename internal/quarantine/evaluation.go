package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// crash is a crash of an upstream. Its time is the earliest that any host reported.
type crash struct {
	Incarnation
	service string
	at      time.Duration
}

func (c crash) compare(o crash) int {
	return cmp.Or(cmp.Compare(c.at, o.at), c.Incarnation.compare(o.Incarnation))
}

// suspectsByCrash lists the requests or parts to which a crash is attributed, by the incarnation that
// crashed.
type suspectsByCrash map[Incarnation][]Fingerprint

// evaluation is the working state while the verdicts on requests, or those on parts of prompts, are
// derived. The two are independent: a request and its parts both explain the crashes under it.
type evaluation struct {
	// records are those of the requests, or those of the parts.
	records map[Fingerprint]*record
	// allCrashes are all known crashes, sorted by time. crashOf finds one by its incarnation.
	allCrashes []crash
	crashOf    map[Incarnation]crash
	suspectsOf suspectsByCrash
	// candidates are the records with enough crashes to be quarantined, with the executions
	// under which upstreams crashed. One crash is not enough, and neither are two crashes
	// under concurrent copies of a request.
	candidates map[Fingerprint][]execution
}

// execution lists the crashes under one execution of a request, or under copies of it that ran
// concurrently.
type execution []crash

// updateVerdicts derives all verdicts. They depend on the set of suspicions only, so hosts with
// the same suspicions reach the same verdicts.
//
// What is said of requests here holds for parts too, each among its own kind. A crash is explained
// for a request if the request itself, or another candidate, is among the requests to which the crash
// is attributed. A crash that is not explained hints at a cause outside of the requests. A request is
// quarantined
//   - after crashes under two executions, if all crashes of the service about the time of
//     each, and all in the last recentWindow, are explained;
//   - after three crashes under one execution, four for a part, if all crashes of the service
//     about that time are explained;
//   - after three crashes under two executions, whatever else crashed.
//
// The first two rules quarantine no request that has a rival (see hasRival). Crashes under a
// quarantined request are no longer attributed to other requests. A part is not quarantined while one
// request alone explains all crashes under it.
func (t *Table) updateVerdicts() {
	crashOf := t.allCrashes()
	sorted := slices.SortedFunc(maps.Values(crashOf), crash.compare)
	for _, isOfParts := range []bool{false, true} {
		v := &evaluation{
			records: t.recordsOf(isOfParts), crashOf: crashOf, allCrashes: sorted,
			suspectsOf: suspectsByCrash{}, candidates: make(map[Fingerprint][]execution),
		}
		v.updateVerdicts()
	}
}

// recordsOf returns the records of parts, or those of requests.
func (t *Table) recordsOf(isOfParts bool) map[Fingerprint]*record {
	out := make(map[Fingerprint]*record)
	for f, r := range t.records {
		if r.quota.isOfParts == isOfParts {
			out[f] = r
		}
	}
	return out
}

// updateVerdicts derives the verdicts on the records of the evaluation.
func (v *evaluation) updateVerdicts() {
	for f, r := range v.records {
		r.isQuarantined = false
		for incarnation, s := range r.crashes {
			if !s.isCleared {
				v.suspectsOf[incarnation] = append(v.suspectsOf[incarnation], f)
			}
		}
		if executions := v.executions(r); len(executions) >= minExecutions || r.countUncleared() >= minCrashes {
			v.candidates[f] = executions
		}
	}
	for _, c := range v.allCrashes {
		// A request that is quarantined takes over the crashes so far, which can change the
		// evidence against the others.
		for next := v.nextToQuarantine(c.at); len(next) > 0; next = v.nextToQuarantine(c.at) {
			v.quarantine(next)
		}
	}
	for f, r := range v.records {
		r.isSuspect = false
		for incarnation := range r.crashes {
			r.isSuspect = r.isSuspect || slices.Contains(v.suspectsOf[incarnation], f)
		}
	}
}

// allCrashes returns all known crashes by incarnation.
func (t *Table) allCrashes() map[Incarnation]crash {
	out := map[Incarnation]crash{}
	for _, r := range t.records {
		for incarnation, s := range r.crashes {
			if first, ok := out[incarnation]; !ok || s.at < first.at {
				out[incarnation] = crash{incarnation, s.service, s.at}
			}
		}
	}
	return out
}

// executions groups the uncleared crashes of a request by execution. Crashes of copies that
// ran concurrently form one group.
func (v *evaluation) executions(r *record) []execution {
	var all execution
	for incarnation, s := range r.crashes {
		if !s.isCleared {
			all = append(all, v.crashOf[incarnation])
		}
	}
	slices.SortFunc(all, crash.compare)
	var out []execution
	for _, c := range all {
		began := c.at - r.crashes[c.Incarnation].ran
		if len(out) == 0 || began > out[len(out)-1][0].at+crashTimeTolerance {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], c)
	}
	return out
}

// nextToQuarantine returns the requests to quarantine next by the crashes up to a time, given
// those already in quarantine. Requests without a rival come first. Among these the one with
// the most crashes comes first, since it may explain crashes that are attributed to others.
// Requests with a rival follow only if the evidence against them is certain.
func (v *evaluation) nextToQuarantine(until time.Duration) []Fingerprint {
	var unrivalled, rivalled []Fingerprint
	most := 0
	for f, executions := range v.candidates {
		if v.records[f].isQuarantined {
			continue
		}
		ev := v.evidenceAgainst(f, executions, until)
		switch {
		case !ev.isCertain() && !ev.isLikely() || ev.isOfOneCarrier:
		case !v.hasRival(f):
			if ev.crashes > most {
				unrivalled, most = unrivalled[:0], ev.crashes
			}
			if ev.crashes == most {
				unrivalled = append(unrivalled, f)
			}
		case ev.isCertain():
			rivalled = append(rivalled, f)
		}
	}
	if len(unrivalled) > 0 {
		return unrivalled
	}
	return v.withFewestCarriers(rivalled)
}

// withFewestCarriers returns those of the parts that the fewest requests on crashed upstreams had: a
// part that most requests have is on each upstream that crashes. It returns requests unchanged.
func (v *evaluation) withFewestCarriers(all []Fingerprint) []Fingerprint {
	var out []Fingerprint
	fewest := 0
	for _, f := range all {
		n := v.records[f].countCarriers()
		if len(out) == 0 || n < fewest {
			out, fewest = out[:0], n
		}
		if n == fewest {
			out = append(out, f)
		}
	}
	return out
}

// countCarriers returns the number of requests that had the part at its crashes, 0 for a request. A
// request counts once for each crash.
func (r *record) countCarriers() int {
	n := 0
	for _, o := range r.crashes {
		if !o.isCleared {
			n += len(o.carriers)
		}
	}
	return n
}

// evidence is the evidence that a request causes crashes.
type evidence struct {
	executions, crashes int
	// isExplained is set if all crashes about the time of each execution are explained,
	// isRecentExplained if all crashes in the last recentWindow are.
	isExplained, isRecentExplained bool
	// isOfOneCarrier is set for a part if one request had it at all crashes.
	isOfOneCarrier bool
	// minConcurrent is the number of crashes that are enough under one execution.
	minConcurrent int
}

func (ev evidence) isCertain() bool {
	return ev.executions >= minExecutions && ev.crashes >= minCrashes
}

func (ev evidence) isLikely() bool {
	return ev.isExplained && (ev.crashes >= ev.minConcurrent || ev.executions >= minExecutions && ev.isRecentExplained)
}

// evidenceAgainst collects the evidence against a request from the crashes up to a time.
func (v *evaluation) evidenceAgainst(f Fingerprint, executions []execution, until time.Duration) evidence {
	ev := evidence{
		isExplained: true, isRecentExplained: v.isExplained(f, executions[0][0].service, until-recentWindow, until),
		isOfOneCarrier: v.isOfOneCarrier(f, until), minConcurrent: minCrashes,
	}
	if v.records[f].quota.isOfParts {
		ev.minConcurrent = minConcurrentPartCrashes
	}
	for _, execution := range executions {
		n := 0
		for _, c := range execution {
			if c.at <= until && slices.Contains(v.suspectsOf[c.Incarnation], f) {
				n++
			}
		}
		if n == 0 {
			continue
		}
		ev.executions++
		ev.crashes += n
		ev.isExplained = ev.isExplained && v.isExplained(f, execution[0].service, execution[0].at-sharedCauseWindow, execution[len(execution)-1].at+sharedCauseWindow)
	}
	return ev
}

// isOfOneCarrier reports whether one request had a part at all crashes up to a time that are attributed
// to the part. Then the request alone may be the cause. It is false for requests.
func (v *evaluation) isOfOneCarrier(f Fingerprint, until time.Duration) bool {
	if !v.records[f].quota.isOfParts {
		return false
	}
	var common []Fingerprint
	isFirst := true
	for incarnation, o := range v.records[f].crashes {
		if o.isCleared || v.crashOf[incarnation].at > until {
			continue
		}
		if isFirst {
			common, isFirst = slices.Clone(o.carriers), false
			continue
		}
		common = slices.DeleteFunc(common, func(g Fingerprint) bool { return !slices.Contains(o.carriers, g) })
	}
	return len(common) > 0
}

// isExplained reports whether each crash of a service in an interval is attributed to this
// request or to another candidate.
func (v *evaluation) isExplained(f Fingerprint, service string, from, to time.Duration) bool {
	first, _ := slices.BinarySearchFunc(v.allCrashes, from, func(c crash, t time.Duration) int { return cmp.Compare(c.at, t) })
	for _, c := range v.allCrashes[first:] {
		if c.at > to {
			break
		}
		if c.service == service && !slices.ContainsFunc(v.suspectsOf[c.Incarnation], func(g Fingerprint) bool { return g == f || v.candidates[g] != nil }) {
			return false
		}
	}
	return true
}

// hasRival reports whether each crash that is attributed to a request is also attributed to
// another candidate that is not in quarantine. The crashes alone can't tell them apart then.
func (v *evaluation) hasRival(f Fingerprint) bool {
	isRival := func(g Fingerprint) bool { return g != f && v.candidates[g] != nil && !v.records[g].isQuarantined }
	for incarnation := range v.records[f].crashes {
		if all := v.suspectsOf[incarnation]; slices.Contains(all, f) && !slices.ContainsFunc(all, isRival) {
			return false
		}
	}
	return true
}

// quarantine puts requests into quarantine and attributes the crashes under them to no other
// request from now on.
func (v *evaluation) quarantine(all []Fingerprint) {
	explained := suspectsByCrash{}
	for _, f := range all {
		r := v.records[f]
		r.isQuarantined, r.until = true, r.lastCrash()+quarantineTime(r.countUncleared())
		for incarnation, s := range r.crashes {
			if !s.isCleared {
				explained[incarnation] = append(explained[incarnation], f)
			}
		}
	}
	maps.Copy(v.suspectsOf, explained)
}
