package schedule

import (
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// peakSpan is for how long passes are remembered. Popularity that jumps now and then has to
	// be borne at its next jump too, and ten jumps tell that one better than three.
	peakSpan = 20 * time.Second
	// peakPart is how long a part of it is, a few passes; peakParts is how many there are.
	peakPart  = 250 * time.Millisecond
	peakParts = int64(peakSpan / peakPart)
	// leastSeen is for how long passes have to be seen before they count.
	leastSeen = 8 * time.Second
	// leastPauses is how many pauses of streams tell how long the passes of a part were. Their
	// median counts, so that a few answers that are held up on their way do not. mostPauses
	// bounds what is kept of a part.
	leastPauses, mostPauses = 5, 48
	// passPart is the part of the gap that passes may take: the next ones may be longer, and
	// an answer's way to its caller varies.
	passPart = 0.9
)

// passes is what this host sees of how much longer the passes of a group take than they
// would with the work spread evenly over its ranks: the stretch, without unit. All ranks
// execute each pass together, and a stream has an event a pass, so every host with a few
// streams sees the passes of the whole group in the pauses between events. The zero value is
// ready.
type passes struct {
	// pauses are those of the part with the number part, and of the ones before it if they
	// had too few.
	pauses []time.Duration
	part   int64
	// stretch is that of each part, 0 where nothing is known.
	stretch [peakParts]float64
	// began is when the first pause came.
	began   time.Duration
	isBegun bool
	// chosen is the number of places chosen last: for engines of that shape, while the part
	// chosenPart ran.
	chosen     float64
	chosenPart int64
	shape      *routetable.Engine
}

// add takes in a pause between two events of a stream. Even is how long a pass would take
// with the work that the ranks have spread evenly.
func (p *passes) add(pause, even, now time.Duration) {
	if !p.isBegun {
		p.isBegun, p.began = true, now
	}
	p.advance(even, now)
	if len(p.pauses) < mostPauses {
		p.pauses = append(p.pauses, pause)
	}
}

// advance closes the part that is over.
func (p *passes) advance(even, now time.Duration) {
	at := int64(now / peakPart)
	if at == p.part {
		return
	}
	for n := max(p.part+1, at-peakParts+1); n <= at; n++ {
		p.stretch[n%peakParts] = 0
	}
	if len(p.pauses) >= leastPauses && even > 0 {
		slices.Sort(p.pauses)
		p.stretch[p.part%peakParts] = float64(p.pauses[len(p.pauses)/2]) / float64(even)
		p.pauses = p.pauses[:0]
	}
	p.part = at
}

// evenPass is how long a pass takes where each rank writes for n requests.
func evenPass(e *routetable.Engine, n float64) time.Duration {
	return time.Duration(float64(max(e.Stride, 1)) * (float64(e.StepTime) + n*float64(e.StepTimePerRequest)))
}

// RecordEventGap tells how long the stream of an attempt paused between two events.
func (s *Scheduler) RecordEventGap(t *Ticket, took, now time.Duration) {
	sv, g := t.service, t.up.group
	if g == nil || sv.shape == nil || sv.gap <= 0 {
		return
	}
	g.passes.add(took, evenPass(sv.shape, g.running), now)
}

// bound derives how many requests the engines of a service should work on at once. Gap is
// the longest pause between events that is on time.
func (sv *service) bound(e *routetable.Engine, gap, now time.Duration) {
	if sv.shape == e && sv.gap == gap {
		return
	}
	sv.shape, sv.gap, sv.places = e, gap, ConcurrencyLimit(e, gap)
	sv.followPasses(now)
}

// followPasses bounds the ranks of each group by what was seen of its passes.
func (sv *service) followPasses(now time.Duration) {
	if sv.shape == nil {
		return
	}
	for _, g := range sv.groups {
		g.places = g.passes.places(sv.shape, sv.gap, now)
	}
}

// countRunning derives how many requests the ranks of each group have, on the mean.
func (sv *service) countRunning() {
	for _, g := range sv.groups {
		g.running, g.ranks = 0, 0
	}
	for _, u := range sv.all {
		if g := u.group; g != nil && u.load.isKnown && u.load.epoch == g.epoch {
			g.running += float64(min(u.load.total, max(u.Slots, 1)))
			g.ranks++
		}
	}
	for _, g := range sv.groups {
		g.running /= float64(max(g.ranks, 1))
	}
}
