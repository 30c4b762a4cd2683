package placement

import (
	"math"
	"slices"
)

// SetParams limit a change of one set of layers. The layers of a set share one assignment of
// experts to ranks.
type SetParams struct {
	// Slots is how many experts of the set a rank holds at most.
	Slots int
	// MaxNewPerSet is how many experts of one set may be new to a rank in one change.
	// MaxNewPerRank is how many of all sets together may be; 0 means no limit.
	MaxNewPerSet, MaxNewPerRank int
	// MinGain is the least gain for which a move is worth its copy of an expert: the
	// reduction of the highest load of a rank, as a fraction of the mean load of the ranks.
	MinGain float64
	// Slowdown is each rank's step time divided by its usual step time; nil means 1 for all.
	// A slow rank is assigned less load.
	Slowdown []float64
}

// maxMovesPerSet bounds the search. Each move adds, drops or replaces a replica, or exchanges two.
const maxMovesPerSet = 400

// Balance reassigns the experts of one set of layers to reduce the load of the most loaded
// rank, since all ranks wait for it in every forward pass. The parameter load lists the tokens by
// expert. Each expert stays on at least one rank. An expert's tokens are split evenly among the
// ranks that hold it.
func Balance(expertsByRank [][]uint16, load []float64, p SetParams) [][]uint16 {
	return BalanceSets([][][]uint16{expertsByRank}, [][]float64{load}, p)[0]
}

// BalanceSets is Balance for several sets of layers on the same ranks. The limit of
// MaxNewPerRank is spent on the moves with the highest gain in any set.
func BalanceSets(expertsBySet [][][]uint16, load [][]float64, p SetParams) [][][]uint16 {
	if len(expertsBySet) == 0 {
		return nil
	}
	budget := newBudget(len(expertsBySet[0]), p.MaxNewPerRank)
	sets := make([]*balancer, len(expertsBySet))
	for i := range expertsBySet {
		sets[i] = newBalancer(expertsBySet[i], load[i], p)
		sets[i].budget = budget
		sets[i].listHolders()
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
		out[i] = sets[i].expertsByRank
	}
	return out
}

// bestSet returns the set whose best move has the highest gain, or nil if no set has a move.
func bestSet(sets []*balancer) *balancer {
	var top *balancer
	for _, b := range sets {
		if b.hasMove && (top == nil || b.bestMove.gain > top.bestMove.gain) {
			top = b
		}
	}
	return top
}

// budget counts the experts of all sets that are new to each rank, and limits their number.
type budget struct {
	max   int
	added []int
}

func newBudget(ranks, limit int) *budget {
	if limit == 0 {
		limit = math.MaxInt
	}
	return &budget{max: limit, added: make([]int, ranks)}
}

// SetTimes returns each rank's time for a set of layers. The unit is the time that a rank
// takes for one token at its usual speed.
func SetTimes(expertsByRank [][]uint16, load, slowdown []float64) []float64 {
	return newBalancer(expertsByRank, load, SetParams{Slowdown: slowdown}).times
}

// balancer is the working state while one set of layers is balanced.
type balancer struct {
	params        SetParams
	load          []float64
	expertsByRank [][]uint16
	// initial tells, by rank and expert, what the ranks held before the change.
	initial [][]bool
	// has tells, by rank and expert, what the ranks hold now.
	has [][]bool
	// added counts the experts of each rank that it did not hold before the change.
	added []int
	// replicas counts the ranks that hold each expert, and holders lists them, in no order.
	replicas []int
	holders  [][]int
	times    []float64
	mean     float64
	// budget limits the experts that are new to a rank, over all sets.
	budget *budget
	// bestMove is the move with the highest gain. It is valid if hasMove is set.
	bestMove move
	hasMove  bool
}

func newBalancer(expertsByRank [][]uint16, load []float64, p SetParams) *balancer {
	b := &balancer{
		params: p, load: load, added: make([]int, len(expertsByRank)), replicas: make([]int, len(load)),
		times: make([]float64, len(expertsByRank)), budget: newBudget(len(expertsByRank), 0),
	}
	for _, list := range expertsByRank {
		has := make([]bool, len(load))
		for _, e := range list {
			has[e] = true
			b.replicas[e]++
		}
		b.initial = append(b.initial, has)
		b.has = append(b.has, slices.Clone(has))
		b.expertsByRank = append(b.expertsByRank, slices.Clone(list))
	}
	b.updateTimes()
	for _, time := range b.times {
		b.mean += time / float64(len(expertsByRank))
	}
	return b
}

// listHolders fills holders. The search for moves needs it.
func (b *balancer) listHolders() {
	b.holders = make([][]int, len(b.load))
	for e, n := range b.replicas {
		b.holders[e] = make([]int, 0, n+1)
	}
	for r, list := range b.expertsByRank {
		for _, e := range list {
			b.holders[e] = append(b.holders[e], r)
		}
	}
}

// updateTimes computes the ranks' times from the experts that they hold.
func (b *balancer) updateTimes() {
	for r, list := range b.expertsByRank {
		tokens := 0.0
		for _, e := range list {
			tokens += b.share(e)
		}
		b.times[r] = tokens * b.slowdown(r)
	}
}

// slowdown returns a rank's step time divided by its usual step time.
func (b *balancer) slowdown(r int) float64 {
	if r < len(b.params.Slowdown) && b.params.Slowdown[r] > 0 {
		return b.params.Slowdown[r]
	}
	return 1
}

// share returns the tokens of an expert that each of its replicas gets.
func (b *balancer) share(e uint16) float64 { return b.load[e] / float64(b.replicas[e]) }

// shareAmong returns the share for a given number of replicas.
func (b *balancer) shareAmong(e uint16, replicas int) float64 { return b.load[e] / float64(replicas) }

// absent stands for no rank or no expert.
const absent = -1

// move takes load of an expert off the most loaded rank, hot. The target rank gets a replica;
// if target is absent, the other ranks with a replica take over. Displaced is the expert that
// the target drops for it, or absent. With dropsFromHot, hot drops its own replica. With
// isExchange, hot gets the displaced expert in return.
type move struct {
	hot          int
	target       int
	expert       uint16
	displaced    int
	dropsFromHot bool
	isExchange   bool
	// gain is by how much the highest time of the ranks involved decreases.
	gain float64
}

// findMove finds the move with the highest gain for the most loaded rank, if one reaches the
// least gain.
func (b *balancer) findMove() {
	hot := 0
	for r := range b.times {
		if b.times[r] > b.times[hot] {
			hot = r
		}
	}
	b.bestMove, b.hasMove = move{gain: b.params.MinGain * b.mean}, false
	for _, e := range b.expertsByRank[hot] {
		if b.share(e)*b.slowdown(hot) <= b.bestMove.gain {
			// A move of e can't gain more than the time that hot spends on e.
			continue
		}
		b.considerDrop(hot, e)
		for r := range b.expertsByRank {
			if r != hot && !b.has[r][e] {
				b.considerMoves(hot, r, e)
			}
		}
	}
}

// consider keeps a move if it has the highest gain so far.
func (b *balancer) consider(m move) {
	if m.gain > b.bestMove.gain {
		b.bestMove, b.hasMove = m, true
	}
}

// fitsBudget reports whether a move still fits the limits on new experts of the ranks.
func (b *balancer) fitsBudget(m move) bool {
	if m.target == absent {
		return true
	}
	if !b.mayTake(m.target, m.expert, m.displaced) {
		return false
	}
	return !m.isExchange || b.mayTake(m.hot, uint16(m.displaced), int(m.expert))
}

// considerMoves considers the moves that put a replica of e on rank r.
func (b *balancer) considerMoves(hot, r int, e uint16) {
	share, extra := b.share(e), b.shareAmong(e, b.replicas[e]+1)
	relief := share - extra
	if len(b.expertsByRank[r]) < b.params.Slots && b.mayTake(r, e, absent) {
		b.consider(move{hot: hot, target: r, expert: e, displaced: absent, gain: b.gain(hot, r, relief, extra)})
		b.consider(move{hot: hot, target: r, expert: e, displaced: absent, dropsFromHot: true, gain: b.gain(hot, r, share, share)})
	}
	for _, f := range b.expertsByRank[r] {
		if !b.mayTake(r, e, int(f)) {
			continue
		}
		if b.replicas[f] > 1 {
			b.considerReplace(move{hot: hot, target: r, expert: e, displaced: int(f)}, relief, extra)
			b.considerReplace(move{hot: hot, target: r, expert: e, displaced: int(f), dropsFromHot: true}, share, share)
		}
		if !b.has[hot][f] && b.mayTake(hot, f, int(e)) {
			d := share - b.share(f)
			b.consider(move{hot: hot, target: r, expert: e, displaced: int(f), dropsFromHot: true, isExchange: true, gain: b.gain(hot, r, d, d)})
		}
	}
}

// considerReplace considers a move that replaces a replica of another expert on the target
// rank. Relief and added are the tokens that the most loaded rank loses and the target gains
// by the new replica alone.
func (b *balancer) considerReplace(m move, relief, added float64) {
	f := uint16(m.displaced)
	// The remaining replicas of f get more tokens. One of them may be on the most loaded rank.
	extra := b.shareAmong(f, b.replicas[f]-1) - b.share(f)
	if b.has[m.hot][f] {
		relief -= extra
	}
	m.gain = b.gain(m.hot, m.target, relief, added-b.share(f))
	if m.gain > b.bestMove.gain && b.holdersStayBelow(f, m.target, m.hot, extra, relief) {
		b.consider(m)
	}
}

// considerDrop considers the move by which hot drops its replica of e and leaves e to the other
// ranks that hold it. No expert is copied for it.
func (b *balancer) considerDrop(hot int, e uint16) {
	n := b.replicas[e]
	if n < 2 {
		return
	}
	extra, relief := b.shareAmong(e, n-1)-b.share(e), b.share(e)
	top := b.times[hot] - relief*b.slowdown(hot)
	for _, h := range b.holders[e] {
		if h != hot {
			top = max(top, b.times[h]+extra*b.slowdown(h))
		}
	}
	b.consider(move{hot: hot, target: absent, expert: e, displaced: absent, dropsFromHot: true, gain: b.times[hot] - top})
}

// gain returns by how much the higher of two ranks' times decreases if hot loses tokens
// (relief) and r gains tokens (extra).
func (b *balancer) gain(hot, r int, relief, extra float64) float64 {
	return b.times[hot] - max(b.times[hot]-relief*b.slowdown(hot), b.times[r]+extra*b.slowdown(r))
}

// holdersStayBelow reports whether the other ranks with a replica of f, which get extra tokens
// each, stay below the time of hot after the move.
func (b *balancer) holdersStayBelow(f uint16, r, hot int, extra, relief float64) bool {
	for _, h := range b.holders[f] {
		if h != r && h != hot && b.times[h]+extra*b.slowdown(h) > b.times[hot]-relief*b.slowdown(hot) {
			return false
		}
	}
	return true
}

// mayTake reports whether the limits on new experts allow rank r to take e in place of the
// displaced expert.
func (b *balancer) mayTake(r int, e uint16, displaced int) bool {
	extra := 0
	if displaced != absent && !b.initial[r][displaced] {
		extra--
	}
	if !b.initial[r][e] {
		extra++
	}
	return b.added[r]+extra <= b.params.MaxNewPerSet && b.budget.added[r]+extra <= b.budget.max
}

// apply applies a move.
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
	b.expertsByRank[r] = append(b.expertsByRank[r], e)
	b.has[r][e] = true
	b.replicas[e]++
	b.holders[e] = append(b.holders[e], r)
	if !b.initial[r][e] {
		b.added[r]++
		b.budget.added[r]++
	}
}

func (b *balancer) remove(r int, e uint16) {
	i := slices.Index(b.expertsByRank[r], e)
	b.expertsByRank[r] = slices.Delete(b.expertsByRank[r], i, i+1)
	b.has[r][e] = false
	b.replicas[e]--
	h := slices.Index(b.holders[e], r)
	b.holders[e] = slices.Delete(b.holders[e], h, h+1)
	if !b.initial[r][e] {
		b.added[r]--
		b.budget.added[r]--
	}
}
