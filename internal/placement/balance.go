package placement

import (
	"math"
	"slices"
)

// SetParams bound a change of one set of layers.
type SetParams struct {
	// SlotsPerRank is how many experts a rank holds at most.
	SlotsPerRank int
	// MaxNewPerSet is how many experts of a set may be new to a rank in one change, RankSpare
	// how many of all sets together; no bound if zero.
	MaxNewPerSet, MaxNewPerRank int
	// MinGain is the part of a rank's mean load by which a step has to lower the most
	// loaded rank's to be worth its copy, without unit.
	MinGain float64
	// Slowdown is each rank's time over its usual one; nil is 1 for all. A rank that is slow
	// gets less to do.
	Slowdown []float64
}

// maxMovesPerSet bounds the search in a set; each step adds a copy or exchanges two.
const maxMovesPerSet = 400

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
	budget := newBudget(len(held[0]), p.MaxNewPerRank)
	sets := make([]*balancer, len(held))
	for i := range held {
		sets[i] = newBalancer(held[i], load[i], p)
		sets[i].budget = budget
		sets[i].findMove()
	}
	for range maxMovesPerSet * len(sets) {
		b := bestSet(sets)
		if b == nil {
			break
		}
		b.apply(b.bestMove)
		b.findMove()
		for _, other := range sets {
			if other.hasMove && !other.fitsBudget(other.bestMove) {
				other.findMove()
			}
		}
	}
	out := make([][][]uint16, len(sets))
	for i := range sets {
		out[i] = sets[i].held
	}
	return out
}

// bestSet returns the set whose next move gains most, nil if none has one.
func bestSet(sets []*balancer) *balancer {
	var top *balancer
	for _, b := range sets {
		if b.hasMove && (top == nil || b.bestMove.gain > top.bestMove.gain) {
			top = b
		}
	}
	return top
}

// budget counts the experts that are new to each rank, in all sets.
type budget struct {
	max   int
	added []int
}

func newBudget(ranks, most int) *budget {
	if most == 0 {
		most = math.MaxInt
	}
	return &budget{max: most, added: make([]int, ranks)}
}

// SetTimes returns each rank's time, in tokens of a rank at its usual pace.
func SetTimes(held [][]uint16, load, pace []float64) []float64 {
	return newBalancer(held, load, SetParams{Slowdown: pace}).times
}

// balancer is a set under change.
type balancer struct {
	params SetParams
	load   []float64
	held   [][]uint16
	// initial tells which experts a rank held at first, by rank and expert.
	initial [][]bool
	// has tells which they hold now.
	has [][]bool
	// added counts a rank's experts that it did not hold at first.
	added []int
	// copies counts the ranks that hold an expert.
	copies []int
	times  []float64
	mean   float64
	// budget bounds what is new to a rank in all sets.
	budget *budget
	// bestMove is the best move, if one was found.
	bestMove move
	hasMove  bool
}

func newBalancer(held [][]uint16, load []float64, p SetParams) *balancer {
	b := &balancer{
		params: p, load: load, added: make([]int, len(held)), copies: make([]int, len(load)),
		times: make([]float64, len(held)), budget: newBudget(len(held), 0),
	}
	for _, list := range held {
		has := make([]bool, len(load))
		for _, e := range list {
			has[e] = true
			b.copies[e]++
		}
		b.initial = append(b.initial, has)
		b.has = append(b.has, slices.Clone(has))
		b.held = append(b.held, slices.Clone(list))
	}
	b.updateTimes()
	for _, time := range b.times {
		b.mean += time / float64(len(held))
	}
	return b
}

// updateTimes derives the ranks' times from what they hold.
func (b *balancer) updateTimes() {
	for r, list := range b.held {
		tokens := 0.0
		for _, e := range list {
			tokens += b.share(e)
		}
		b.times[r] = tokens * b.slowdown(r)
	}
}

// slowdown returns a rank's time over its usual one.
func (b *balancer) slowdown(r int) float64 {
	if r < len(b.params.Slowdown) && b.params.Slowdown[r] > 0 {
		return b.params.Slowdown[r]
	}
	return 1
}

// share is a holder's part of an expert's tokens.
func (b *balancer) share(e uint16) float64 { return b.load[e] / float64(b.copies[e]) }

// shareAmong is the part with another number of copies.
func (b *balancer) shareAmong(e uint16, copies int) float64 { return b.load[e] / float64(copies) }

// absent stands for no expert.
const absent = -1

// move relieves the most loaded rank, hot, of an expert: another rank takes it, or, where
// rank is none, those that hold it already do. Gives is the expert that makes room there,
// or none. Leaves tells that hot gives up its own copy, back that it gets the expert that
// made room for it.
type move struct {
	hot          int
	target       int
	expert       uint16
	displaced    int
	dropsFromHot bool
	isExchange   bool
	// gain is by how much the higher of the ranks concerned falls.
	gain float64
}

// findMove finds the best move for the most loaded rank that is worth it.
func (b *balancer) findMove() {
	hot := 0
	for r := range b.times {
		if b.times[r] > b.times[hot] {
			hot = r
		}
	}
	b.bestMove, b.hasMove = move{gain: b.params.MinGain * b.mean}, false
	for _, e := range b.held[hot] {
		if b.share(e)*b.slowdown(hot) <= b.bestMove.gain {
			// No move of it relieves hot by more than that.
			continue
		}
		b.considerDrop(hot, e)
		for r := range b.held {
			if r != hot && !b.has[r][e] {
				b.considerMoves(hot, r, e)
			}
		}
	}
}

// consider keeps a move that gains more than the best so far.
func (b *balancer) consider(m move) {
	if m.gain > b.bestMove.gain {
		b.bestMove, b.hasMove = m, true
	}
}

// fitsBudget reports whether the budgets of the ranks still have room for a move.
func (b *balancer) fitsBudget(m move) bool {
	if m.target == absent {
		return true
	}
	if !b.mayTake(m.target, m.expert, m.displaced) {
		return false
	}
	return !m.isExchange || b.mayTake(m.hot, uint16(m.displaced), int(m.expert))
}

// considerMoves looks at the moves that put e on rank r.
func (b *balancer) considerMoves(hot, r int, e uint16) {
	share, extra := b.share(e), b.shareAmong(e, b.copies[e]+1)
	relief := share - extra
	if len(b.held[r]) < b.params.SlotsPerRank && b.mayTake(r, e, absent) {
		b.consider(move{hot: hot, target: r, expert: e, displaced: absent, gain: b.gain(hot, r, relief, extra)})
		b.consider(move{hot: hot, target: r, expert: e, displaced: absent, dropsFromHot: true, gain: b.gain(hot, r, share, share)})
	}
	for _, f := range b.held[r] {
		if !b.mayTake(r, e, int(f)) {
			continue
		}
		if b.copies[f] > 1 {
			b.considerReplace(move{hot: hot, target: r, expert: e, displaced: int(f)}, relief, extra)
			b.considerReplace(move{hot: hot, target: r, expert: e, displaced: int(f), dropsFromHot: true}, share, share)
		}
		if !b.has[hot][f] && b.mayTake(hot, f, int(e)) {
			d := share - b.share(f)
			b.consider(move{hot: hot, target: r, expert: e, displaced: int(f), dropsFromHot: true, isExchange: true, gain: b.gain(hot, r, d, d)})
		}
	}
}

// considerReplace looks at a move that takes the place of another copy of an expert, and
// by itself takes less from the most loaded rank and gives extra to the other one.
func (b *balancer) considerReplace(m move, less, extra float64) {
	f := uint16(m.displaced)
	// The other holders of f get more; the most loaded rank may be one.
	more := b.shareAmong(f, b.copies[f]-1) - b.share(f)
	if b.has[m.hot][f] {
		less -= more
	}
	m.gain = b.gain(m.hot, m.target, less, extra-b.share(f))
	if m.gain > b.bestMove.gain && b.holdersStayBelow(f, m.target, m.hot, more, less) {
		b.consider(m)
	}
}

// considerDrop looks at the move by which hot leaves e to the other ranks that hold it,
// which costs no copy.
func (b *balancer) considerDrop(hot int, e uint16) {
	n := b.copies[e]
	if n < 2 {
		return
	}
	more, less := b.shareAmong(e, n-1)-b.share(e), b.share(e)
	top := b.times[hot] - less*b.slowdown(hot)
	for h := range b.held {
		if h != hot && b.has[h][e] {
			top = max(top, b.times[h]+more*b.slowdown(h))
		}
	}
	b.consider(move{hot: hot, target: absent, expert: e, displaced: absent, dropsFromHot: true, gain: b.times[hot] - top})
}

// gain is by how much the higher of two ranks' times falls where hot gets fewer tokens
// and r more.
func (b *balancer) gain(hot, r int, less, more float64) float64 {
	return b.times[hot] - max(b.times[hot]-less*b.slowdown(hot), b.times[r]+more*b.slowdown(r))
}

// holdersStayBelow reports whether the other holders of f can take its tokens.
func (b *balancer) holdersStayBelow(f uint16, r, hot int, more, less float64) bool {
	for h := range b.held {
		if h != r && h != hot && b.has[h][f] && b.times[h]+more*b.slowdown(h) > b.times[hot]-less*b.slowdown(hot) {
			return false
		}
	}
	return true
}

// mayTake reports whether rank r may take e in place of gives.
func (b *balancer) mayTake(r int, e uint16, gives int) bool {
	more := 0
	if gives != absent && !b.initial[r][gives] {
		more--
	}
	if !b.initial[r][e] {
		more++
	}
	return b.added[r]+more <= b.params.MaxNewPerSet && b.budget.added[r]+more <= b.budget.max
}

// apply makes a move.
func (b *balancer) apply(m move) {
	if m.displaced != absent {
		b.remove(m.target, uint16(m.displaced))
	}
	if m.dropsFromHot {
		b.remove(m.hot, m.expert)
	}
	if m.isExchange {
		b.add(m.hot, uint16(m.displaced))
	}
	if m.target != absent {
		b.add(m.target, m.expert)
	}
	b.updateTimes()
}

func (b *balancer) add(r int, e uint16) {
	b.held[r] = append(b.held[r], e)
	b.has[r][e] = true
	b.copies[e]++
	if !b.initial[r][e] {
		b.added[r]++
		b.budget.added[r]++
	}
}

func (b *balancer) remove(r int, e uint16) {
	i := slices.Index(b.held[r], e)
	b.held[r] = slices.Delete(b.held[r], i, i+1)
	b.has[r][e] = false
	b.copies[e]--
	if !b.initial[r][e] {
		b.added[r]--
		b.budget.added[r]--
	}
}
