package placement

import (
	"math"
	"slices"
)

// SetParams bound a change of one set of layers.
type SetParams struct {
	// Slots is how many experts a rank holds at most.
	Slots int
	// Spare is how many experts of a set may be new to a rank in one change, RankSpare
	// how many of all sets together; no bound if zero.
	Spare, RankSpare int
	// LeastGain is the part of a rank's mean load by which a step has to lower the most
	// loaded rank's to be worth its copy, without unit.
	LeastGain float64
	// Pace is each rank's time over its usual one; nil is 1 for all. A rank that is slow
	// gets less to do.
	Pace []float64
}

// maxSteps bounds the search in a set; each step adds a copy or exchanges two.
const maxSteps = 400

// Balance changes which experts the ranks hold in one set of layers so that the most
// loaded rank has less to do: the ranks wait for it in every pass. Held lists the
// experts by rank, load the tokens by expert. Each expert stays on at least one rank.
// An expert's tokens are split evenly among the ranks that hold it.
func Balance(held [][]uint16, load []float64, p SetParams) [][]uint16 {
	return BalanceSets([][][]uint16{held}, [][]float64{load}, p)[0]
}

// BalanceSets is Balance for several sets with the same ranks, listed first to last. What
// a rank may take in all is spent where it relieves a set most.
func BalanceSets(held [][][]uint16, load [][]float64, p SetParams) [][][]uint16 {
	if len(held) == 0 {
		return nil
	}
	budget := newBudget(len(held[0]), p.RankSpare)
	sets := make([]*balancer, len(held))
	for i := range held {
		sets[i] = newBalancer(held[i], load[i], p)
		sets[i].budget = budget
		sets[i].look()
	}
	for range maxSteps * len(sets) {
		b := best(sets)
		if b == nil {
			break
		}
		b.make(b.next)
		b.look()
		for _, other := range sets {
			if other.found && !other.isAllowed(other.next) {
				other.look()
			}
		}
	}
	out := make([][][]uint16, len(sets))
	for i := range sets {
		out[i] = sets[i].held
	}
	return out
}

// best returns the set whose next move gains most, nil if none has one.
func best(sets []*balancer) *balancer {
	var top *balancer
	for _, b := range sets {
		if b.found && (top == nil || b.next.gain > top.next.gain) {
			top = b
		}
	}
	return top
}

// budget counts the experts that are new to each rank, in all sets.
type budget struct {
	most  int
	fresh []int
}

func newBudget(ranks, most int) *budget {
	if most == 0 {
		most = math.MaxInt
	}
	return &budget{most: most, fresh: make([]int, ranks)}
}

// SetTimes returns each rank's time, in tokens of a rank at its usual pace.
func SetTimes(held [][]uint16, load, pace []float64) []float64 {
	return newBalancer(held, load, SetParams{Pace: pace}).times
}

// balancer is a set under change.
type balancer struct {
	p    SetParams
	load []float64
	held [][]uint16
	// before tells which experts a rank held at first, by rank and expert.
	before [][]bool
	// fresh counts a rank's experts that it did not hold at first.
	fresh []int
	// copies counts the ranks that hold an expert.
	copies []int
	times  []float64
	mean   float64
	// budget bounds what is new to a rank in all sets.
	budget *budget
	// next is the best move, if one was found.
	next  move
	found bool
}

func newBalancer(held [][]uint16, load []float64, p SetParams) *balancer {
	b := &balancer{
		p: p, load: load, fresh: make([]int, len(held)), copies: make([]int, len(load)),
		times: make([]float64, len(held)), budget: newBudget(len(held), 0),
	}
	for _, list := range held {
		has := make([]bool, len(load))
		for _, e := range list {
			has[e] = true
			b.copies[e]++
		}
		b.before = append(b.before, has)
		b.held = append(b.held, slices.Clone(list))
	}
	b.measure()
	for _, time := range b.times {
		b.mean += time / float64(len(held))
	}
	return b
}

// measure derives the ranks' times from what they hold.
func (b *balancer) measure() {
	for r, list := range b.held {
		tokens := 0.0
		for _, e := range list {
			tokens += b.share(e)
		}
		b.times[r] = tokens * b.pace(r)
	}
}

// pace returns a rank's time over its usual one.
func (b *balancer) pace(r int) float64 {
	if r < len(b.p.Pace) && b.p.Pace[r] > 0 {
		return b.p.Pace[r]
	}
	return 1
}

// share is a holder's part of an expert's tokens.
func (b *balancer) share(e uint16) float64 { return b.load[e] / float64(b.copies[e]) }

// shareOf is the part with another number of copies.
func (b *balancer) shareOf(e uint16, copies int) float64 { return b.load[e] / float64(copies) }

// none stands for no expert.
const none = -1

// move puts an expert of the most loaded rank, hot, on another one. Gives is the expert that
// makes room there, or none; back tells that it goes to the most loaded rank, which
// gives up its own copy.
type move struct {
	hot   int
	rank  int
	takes uint16
	gives int
	back  bool
	// gain is by how much the higher of the ranks concerned falls.
	gain float64
}

// look finds the best move for the most loaded rank that is worth it.
func (b *balancer) look() {
	hot := 0
	for r := range b.times {
		if b.times[r] > b.times[hot] {
			hot = r
		}
	}
	b.next, b.found = move{gain: b.p.LeastGain * b.mean}, false
	for _, e := range b.held[hot] {
		for r := range b.held {
			if r == hot || slices.Contains(b.held[r], e) {
				continue
			}
			for _, m := range b.moves(hot, r, e) {
				if m.gain > b.next.gain {
					b.next, b.found = m, true
				}
			}
		}
	}
}

// isAllowed reports whether the budgets of the ranks still have room for a move.
func (b *balancer) isAllowed(m move) bool {
	if !b.mayTake(m.rank, m.takes, m.gives) {
		return false
	}
	return !m.back || b.mayTake(m.hot, uint16(m.gives), int(m.takes))
}

// moves returns the moves that put e on rank r.
func (b *balancer) moves(hot, r int, e uint16) []move {
	var out []move
	n := b.copies[e]
	relief := b.share(e) - b.shareOf(e, n+1)
	extra := b.shareOf(e, n+1)
	if len(b.held[r]) < b.p.Slots && b.mayTake(r, e, none) {
		out = append(out, move{hot: hot, rank: r, takes: e, gives: none, gain: b.gain(hot, r, relief, extra)})
	}
	for _, f := range b.held[r] {
		if b.copies[f] > 1 && b.mayTake(r, e, int(f)) {
			// The other holders of f get more; the most loaded rank may be one.
			more := b.shareOf(f, b.copies[f]-1) - b.share(f)
			less := relief
			if slices.Contains(b.held[hot], f) {
				less -= more
			}
			if b.holdersStayBelow(f, r, hot, more, less) {
				out = append(out, move{hot: hot, rank: r, takes: e, gives: int(f), gain: b.gain(hot, r, less, extra-b.share(f))})
			}
		}
		if !slices.Contains(b.held[hot], f) && b.mayTake(r, e, int(f)) && b.mayTake(hot, f, int(e)) {
			d := b.share(e) - b.share(f)
			out = append(out, move{hot: hot, rank: r, takes: e, gives: int(f), back: true, gain: b.gain(hot, r, d, d)})
		}
	}
	return out
}

// gain is by how much the higher of two ranks' times falls where hot gets fewer tokens
// and r more.
func (b *balancer) gain(hot, r int, less, more float64) float64 {
	return b.times[hot] - max(b.times[hot]-less*b.pace(hot), b.times[r]+more*b.pace(r))
}

// holdersStayBelow reports whether the other holders of f can take its tokens.
func (b *balancer) holdersStayBelow(f uint16, r, hot int, more, less float64) bool {
	for h := range b.held {
		if h != r && h != hot && slices.Contains(b.held[h], f) && b.times[h]+more*b.pace(h) > b.times[hot]-less*b.pace(hot) {
			return false
		}
	}
	return true
}

// mayTake reports whether rank r may take e in place of gives.
func (b *balancer) mayTake(r int, e uint16, gives int) bool {
	more := 0
	if gives != none && !b.before[r][gives] {
		more--
	}
	if !b.before[r][e] {
		more++
	}
	return b.fresh[r]+more <= b.p.Spare && b.budget.fresh[r]+more <= b.budget.most
}

// make makes a move.
func (b *balancer) make(m move) {
	if m.gives != none {
		b.drop(m.rank, uint16(m.gives))
	}
	if m.back {
		b.drop(m.hot, m.takes)
		b.add(m.hot, uint16(m.gives))
	}
	b.add(m.rank, m.takes)
	b.measure()
}

func (b *balancer) add(r int, e uint16) {
	b.held[r] = append(b.held[r], e)
	b.copies[e]++
	if !b.before[r][e] {
		b.fresh[r]++
		b.budget.fresh[r]++
	}
}

func (b *balancer) drop(r int, e uint16) {
	i := slices.Index(b.held[r], e)
	b.held[r] = slices.Delete(b.held[r], i, i+1)
	b.copies[e]--
	if !b.before[r][e] {
		b.fresh[r]--
		b.budget.fresh[r]--
	}
}
