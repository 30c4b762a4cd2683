package consensus

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// TestSafety drives three or five replicas through loss, duplication, reorder,
// partition, crashes before and after the sync, compaction, and a lost disk that
// is replaced under another ReplicaID. The world checks election safety, log
// matching, leader completeness, state machine safety and read index after each
// step; in the end the replicas must agree on a new entry.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
		steps := rapid.IntRange(1, 2000).Draw(t, "steps") + minSteps
		seed := rapid.Uint64().Draw(t, "seed")
		// A drawn number is biased to small ones; the schedule must not be.
		for i := range uint64(worldsPerCheck) {
			runWorld(t, voters, steps, rand.New(rand.NewPCG(seed, i)))
		}
	})
}

func runWorld(t tester, voters, steps int, rng *rand.Rand) {
	w := newWorld(t, voters)
	w.bootstrap(voters)
	for i := range steps {
		w.randomStep(rng)
		if i%checkLogsEvery == 0 {
			w.checkLogs()
		}
	}
	w.heal()
}

const (
	minSteps       = 500
	worldsPerCheck = 5
	checkLogsEvery = 20
	// reorder is how far behind its turn a message may be taken.
	reorder = 12
)

func (w *world) randomStep(rng *rand.Rand) {
	op := rng.IntN(1000)
	id := w.ids[rng.IntN(len(w.ids))]
	at := 0
	if len(w.net) > 0 {
		at = rng.IntN(min(len(w.net), reorder))
	}
	switch {
	case op < 620:
		w.deliver(at)
	case op < 680:
		w.nodes[id].core.Tick()
	case op < 720:
		w.tickAll()
	case op < 820:
		_, _, _ = w.nodes[id].core.Propose([]byte(strconv.Itoa(len(w.committed) + w.disks)))
	case op < 880:
		w.read(id)
	case op < 900 && len(w.net) > 0:
		w.take(at)
	case op < 920 && len(w.net) > 0:
		w.net = append(w.net, w.net[at])
	case op < 926:
		w.cut[id] = true
	case op < 940:
		clear(w.cut)
	case op < 948:
		w.nodes[id].core.Tick()
		w.crash(id, op%2 == 0)
	case op < 960:
		w.deliverAndCrash(at, op%2 == 0)
	case op < 970:
		w.compact(id)
	case op < 972:
		w.loseDisk(id)
	case op < 995:
		w.repair(id)
	default:
		_ = w.nodes[id].core.TransferLeadership("")
	}
	for _, id := range w.ids {
		w.pump(id)
	}
}

func (w *world) deliver(at int) {
	if len(w.net) > 0 {
		w.step(w.take(at))
	}
}

func (w *world) deliverAndCrash(at int, synced bool) {
	if len(w.net) == 0 {
		return
	}
	m := w.take(at)
	w.step(m)
	if w.nodes[m.To] != nil {
		w.crash(m.To, synced)
	}
}

func (w *world) tickAll() {
	for _, id := range w.ids {
		w.nodes[id].core.Tick()
	}
}

// heal ends all faults, repairs a lost disk and commits at every replica.
func (w *world) heal() {
	clear(w.cut)
	w.until("repair of the lost disk", func() bool {
		if l := w.leader(); l != nil {
			w.repair(l.core.id)
		}
		return w.lost == ""
	})
	w.until("a new entry everywhere", func() bool {
		if l := w.leader(); l != nil {
			_, _, _ = l.core.Propose([]byte("last"))
		}
		return w.appliedLast()
	})
	w.checkLogs()
}

// appliedLast reports whether all replicas applied an entry of the healed world.
func (w *world) appliedLast() bool {
	for _, id := range w.ids {
		n := w.nodes[id]
		if e, ok := w.committed[n.applied]; !ok || string(e.Data) != "last" {
			return false
		}
	}
	return true
}
