package expertmap

import (
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// change runs ballots of one coordinator without faults until a proposal is in
// force, and returns the number of rounds.
func (w *world) change(h *fakeHost) (Version, int) {
	base := Version{}
	w.propose(h, base)
	for n := range 200 {
		w.round()
		w.sendAll(h, h.coord.Tick())
		switch h.coord.Outcome() {
		case OutcomeRunning:
		case OutcomeChanged:
			return h.coord.Ballot(), n
		default:
			base = h.coord.CurrentMap().Installed.Version
			w.propose(h, base)
		}
	}
	return Version{}, 200
}

// recovered requires that one coordinator brings the group on after the faults.
func (w *world) recovered(t require.TestingT) {
	for _, h := range w.hosts {
		h.coord = nil
		for _, e := range h.engines {
			e.stalled = false
		}
	}
	h := w.hosts[0]
	w.newCoordinator(h, 10)
	v, _ := w.change(h)
	require.False(t, v.IsZero(), "no change after the faults: outcome %d", h.coord.Outcome())
	before := w.engines[0].finished
	for range 10 {
		w.round()
	}
	for i, e := range w.engines {
		require.Equal(t, v, e.status.Active.Version, "rank %d", i)
		require.Greater(t, e.finished, before, "rank %d stands still", i)
	}
	require.NoError(t, w.err)
}

// act does one random action. The weights let a change take some thirty actions
// and a fault come about once in a change.
func (w *world) act(r *rand.Rand, ahead uint64) {
	h := w.hosts[r.IntN(len(w.hosts))]
	switch n := r.IntN(400); {
	case n < 160:
		w.deliverSome(r)
	case n < 260:
		for _, o := range w.hosts {
			w.agentWork(o)
		}
	case n < 300:
		w.agentWork(h)
	case n < 330:
		w.enginesWork(w.engines)
	case n < 345:
		w.enginesWork(h.engines)
	case n < 383:
		w.coordinatorAction(r, ahead)
	case n < 388:
		w.packetFault(r)
	case n < 390:
		w.restartAgent(h)
	case n < 391:
		w.restartEngine(h.engines[r.IntN(len(h.engines))])
	case n < 392:
		h.engines[0].stalled = true
	case n < 396:
		for _, e := range w.engines {
			e.stalled = false
		}
	case len(w.late) > 0:
		w.late[0].engine.do(w.late[0].order)
		w.late = w.late[1:]
	}
}

// deliverSome delivers packets in any order.
func (w *world) deliverSome(r *rand.Rand) {
	for range 1 + r.IntN(2*len(w.hosts)) {
		if len(w.net) == 0 {
			return
		}
		w.deliver(r.IntN(len(w.net)))
	}
}

// packetFault loses or doubles a packet, or loses all on their way.
func (w *world) packetFault(r *rand.Rand) {
	if len(w.net) == 0 {
		return
	}
	i := r.IntN(len(w.net))
	switch r.IntN(5) {
	case 0:
		w.net = nil
	case 1, 2:
		w.net = append(w.net[:i], w.net[i+1:]...)
	default:
		w.net = append(w.net, w.net[i])
	}
}

// coordinatorAction ticks a coordinator, or starts one at one of two hosts.
func (w *world) coordinatorAction(r *rand.Rand, ahead uint64) {
	h := w.hosts[0]
	if r.IntN(10) == 0 {
		h = w.hosts[1]
	}
	dice := r.IntN(30)
	switch {
	case h.coord == nil:
		w.newCoordinator(h, ahead)
	case h.coord.phase != idle && dice == 0:
		h.coord = nil
		return
	case h.coord.phase != idle:
		w.sendAll(h, h.coord.Tick())
		return
	case h.coord.Outcome() == OutcomeSuperseded && dice > 10:
		return
	}
	w.propose(h, w.engines[0].status.Committed().Version)
}

// groupShape draws hosts and ranks per host, mostly few.
func groupShape(t *rapid.T) (hosts, ranks int) {
	shapes := [][2]int{{2, 1}, {3, 1}, {2, 2}, {4, 1}, {5, 1}, {3, 3}, {8, 1}, {16, 8}, {32, 1}, {63, 1}, {128, 1}}
	s := rapid.SampledFrom(shapes).Draw(t, "shape")
	return s[0], s[1]
}

func TestOneMapInEachStepUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(groupShape(t))
		w.newCoordinator(w.hosts[0], 10)
		w.change(w.hosts[0])
		// rapid favours small numbers, which would favour the first actions.
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream")))
		ahead := rapid.Uint64Range(1, 3).Draw(t, "ahead")
		for range rapid.IntRange(100, 1500).Draw(t, "actions") {
			w.act(r, ahead)
			require.NoError(t, w.err)
		}
		w.recovered(t)
	})
}

func TestMessagesSurviveCBOR(t *testing.T) {
	in := Message{Promised: &Promised{
		Ballot:      Ballot{Counter: 3, Coordinator: 9},
		Incarnation: 7,
		Ranks:       []Status{{Step: 5, Armed: &Change{Step: 8, Committed: true}}},
		Maps:        []Map{{SlotsPerRank: 2, Layers: [][]uint16{{1, 2}}}},
	}}
	raw, err := cbor.Marshal(in)
	require.NoError(t, err)
	var out Message
	require.NoError(t, cbor.Unmarshal(raw, &out))
	require.Equal(t, in, out)
}
