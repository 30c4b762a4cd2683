package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// tester is what testing.T and rapid.T share.
type tester interface {
	Helper()
	Fatalf(format string, args ...any)
}

// node is a replica with its disk; state is the running hash of what it applied.
type node struct {
	core    *Core
	disk    PersistedState
	applied uint64
	state   uint64
}

// world holds replicas, the messages under way, and what must stay true of them.
type world struct {
	t         tester
	ids       []ReplicaID
	nodes     map[ReplicaID]*node
	net       []Message
	cut       map[ReplicaID]bool
	leaders   map[uint64]ReplicaID
	committed map[uint64]Entry
	states    map[uint64]uint64
	highest   uint64
	asked     map[uint64]uint64
	answered  int
	nextRead  uint64
	disks     int
	// lost and fresh name a disk loss that is not repaired yet.
	lost, fresh ReplicaID
}

func newWorld(t tester, voters int) *world {
	w := &world{t: t, nodes: map[ReplicaID]*node{}, cut: map[ReplicaID]bool{}, leaders: map[uint64]ReplicaID{},
		committed: map[uint64]Entry{}, states: map[uint64]uint64{}, asked: map[uint64]uint64{}}
	for range voters {
		w.addNode(fmt.Sprintf("h%d", len(w.ids)))
	}
	return w
}

func (w *world) addNode(host string) ReplicaID {
	w.disks++
	id := NewReplicaID(host, strconv.Itoa(w.disks))
	w.ids = append(w.ids, id)
	w.nodes[id] = &node{}
	w.start(id)
	return id
}

// start opens a replica from its disk, as after a crash.
func (w *world) start(id ReplicaID) {
	n := w.nodes[id]
	cfg := Config{ID: id, ElectionTicks: 4, MaxAppendBytes: 8, MaxInflightAppends: 3, SnapshotRetryTicks: 8, TrailingEntries: 2,
		Rand: rand.New(rand.NewPCG(xxhash.Sum64String(string(id)), n.disk.HardState.Term))}
	core, err := New(cfg, n.disk)
	if err != nil {
		w.t.Fatalf("restart of %s: %v", id, err)
	}
	n.core, n.applied, n.state = core, n.disk.Snapshot.Meta.Index, 0
	if n.applied > 0 {
		n.state = decodeState(n.disk.Snapshot)
	}
}

func decodeState(s Snapshot) uint64 {
	v, _ := strconv.ParseUint(string(s.Data), 10, 64)
	return v
}

func (n *node) persist(rd Ready) {
	if rd.Snapshot != nil {
		n.disk.Snapshot = *rd.Snapshot
		n.disk.Entries = nil
	}
	if rd.HardState != nil {
		n.disk.HardState = *rd.HardState
	}
	if len(rd.Entries) == 0 {
		return
	}
	keep := rd.Entries[0].Index - n.disk.Snapshot.Meta.Index - 1
	n.disk.Entries = append(slices.Clone(n.disk.Entries[:keep]), rd.Entries...)
}

// pump does all the work of a replica and checks what comes out.
func (w *world) pump(id ReplicaID) {
	n := w.nodes[id]
	for n.core.HasReady() {
		rd := n.core.Ready()
		n.persist(rd)
		w.net = append(w.net, rd.Messages...)
		w.apply(id, rd)
		w.checkReads(rd)
		if rd.SoftState != nil && rd.SoftState.Role == Leader {
			w.checkLeader(id, rd.SoftState.Term)
		}
		n.core.Advance()
	}
}

func (w *world) apply(id ReplicaID, rd Ready) {
	n := w.nodes[id]
	if rd.Snapshot != nil {
		n.applied, n.state = rd.Snapshot.Meta.Index, decodeState(*rd.Snapshot)
		if n.state != w.states[n.applied] {
			w.t.Fatalf("state machine safety: %s restored another state at %d", id, n.applied)
		}
	}
	for _, e := range rd.CommittedEntries {
		w.checkCommitted(id, e)
		n.applied = e.Index
		n.state = xxhash.Sum64String(fmt.Sprint(n.state, e.Term, e.Kind, e.Data))
		if known, ok := w.states[e.Index]; ok && known != n.state {
			w.t.Fatalf("state machine safety: %s has another state at %d", id, e.Index)
		}
		w.states[e.Index] = n.state
	}
}

func (w *world) checkCommitted(id ReplicaID, e Entry) {
	if e.Index != w.nodes[id].applied+1 {
		w.t.Fatalf("state machine safety: %s applies %d after %d", id, e.Index, w.nodes[id].applied)
	}
	known, ok := w.committed[e.Index]
	if ok && !sameEntry(known, e) {
		w.t.Fatalf("state machine safety: entry %d is %v at %s and was %v", e.Index, e, id, known)
	}
	w.committed[e.Index] = e
	w.highest = max(w.highest, e.Index)
}

func sameEntry(a, b Entry) bool {
	return a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

func (w *world) checkReads(rd Ready) {
	for _, s := range rd.ReadStates {
		w.answered++
		if s.Index < w.asked[s.Context] {
			w.t.Fatalf("read index: %d was answered but %d was committed before the question", s.Index, w.asked[s.Context])
		}
	}
}

func (w *world) checkLeader(id ReplicaID, term uint64) {
	if other, ok := w.leaders[term]; ok && other != id {
		w.t.Fatalf("election safety: %s and %s lead term %d", other, id, term)
	}
	w.leaders[term] = id
	log := w.nodes[id].core.log
	for i, e := range w.committed {
		if i > log.base && e.Term < term && !log.matches(i, e.Term) {
			w.t.Fatalf("leader completeness: %s leads term %d without entry %d of term %d", id, term, i, e.Term)
		}
	}
}

// checkLogs compares all pairs of logs: one equal place makes all before it equal.
func (w *world) checkLogs() {
	for i, a := range w.ids {
		for _, b := range w.ids[:i] {
			w.checkLogPair(w.nodes[a].core.log, w.nodes[b].core.log)
		}
	}
}

func (w *world) checkLogPair(a, b *raftLog) {
	same := false
	for i := min(a.last(), b.last()); i > max(a.base, b.base); i-- {
		x, y := a.slice(i, i)[0], b.slice(i, i)[0]
		same = same || x.Term == y.Term
		if same && !sameEntry(x, y) {
			w.t.Fatalf("log matching: entry %d is %v and %v below an equal one", i, x, y)
		}
	}
}

func (w *world) step(m Message) {
	n, ok := w.nodes[m.To]
	if !ok || w.cut[m.To] || w.cut[m.From] {
		return
	}
	if err := n.core.Step(m); err != nil {
		w.t.Fatalf("%s: %v", m.To, err)
	}
}

func (w *world) take(i int) Message {
	m := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	return m
}

// crash loses all that is not on the disk; synced tells whether the crash came
// after the write of the outstanding work.
func (w *world) crash(id ReplicaID, synced bool) {
	n := w.nodes[id]
	if synced && n.core.HasReady() {
		n.persist(n.core.Ready())
	}
	w.start(id)
}

func (w *world) read(id ReplicaID) {
	w.nextRead++
	w.asked[w.nextRead] = w.highest
	_ = w.nodes[id].core.ReadIndex(w.nextRead)
}

func (w *world) compact(id ReplicaID) {
	n := w.nodes[id]
	meta, err := n.core.SnapshotMeta(n.applied)
	if err != nil || meta.Index <= n.disk.Snapshot.Meta.Index {
		return
	}
	s := Snapshot{Meta: meta, Data: []byte(strconv.FormatUint(n.state, 10))}
	n.disk.Entries = slices.Clone(n.disk.Entries[meta.Index-n.disk.Snapshot.Meta.Index:])
	n.disk.Snapshot = s
	n.core.Compact(s)
}

// loseDisk takes a replica away for good; its host comes back with a new disk.
func (w *world) loseDisk(id ReplicaID) {
	if w.lost != "" {
		return
	}
	w.lost = id
	w.ids = slices.DeleteFunc(w.ids, func(x ReplicaID) bool { return x == id })
	delete(w.nodes, id)
	w.fresh = w.addNode("new")
}

// repair proposes the next step of replacing the lost disk at one replica.
func (w *world) repair(id ReplicaID) {
	if w.lost == "" {
		return
	}
	c := w.nodes[id].core
	m := c.Membership()
	switch {
	case m.IsVoter(w.lost) && !m.IsLearner(w.fresh):
		m.Learners = append(m.Learners, w.fresh)
	case m.IsVoter(w.lost):
		m.Voters = slices.DeleteFunc(m.Voters, func(x ReplicaID) bool { return x == w.lost })
	case m.IsLearner(w.fresh):
		m.Learners = nil
		m.Voters = append(m.Voters, w.fresh)
	default:
		w.finishRepair(c, m)
		return
	}
	_, _, _ = c.ProposeMembership(m)
}

func (w *world) finishRepair(c *Core, m Membership) {
	if c.role == Leader && m.IsVoter(w.fresh) && c.Status().MembershipCommitted {
		w.lost, w.fresh = "", ""
	}
}

// round ticks all replicas once and delivers all messages in order.
func (w *world) round() {
	for _, id := range w.ids {
		w.nodes[id].core.Tick()
		w.pump(id)
	}
	w.settle()
}

// settle delivers messages in order until none is left.
func (w *world) settle() {
	for _, id := range w.ids {
		w.pump(id)
	}
	for budget := 20000; len(w.net) > 0 && budget > 0; budget-- {
		m := w.take(0)
		w.step(m)
		if w.nodes[m.To] != nil {
			w.pump(m.To)
		}
	}
}

// until runs rounds until the condition holds.
func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	for range 300 {
		if ok() {
			return
		}
		w.round()
	}
	w.t.Fatalf("liveness: %s did not come true", what)
}

func (w *world) leader() *node {
	var best *node
	for _, id := range w.ids {
		n := w.nodes[id]
		if n.core.role == Leader && !w.cut[id] && (best == nil || n.core.hard.Term > best.core.hard.Term) {
			best = n
		}
	}
	return best
}

func (w *world) bootstrap(voters int) {
	w.t.Helper()
	if err := w.nodes[w.ids[0]].core.Bootstrap(Membership{Voters: slices.Clone(w.ids[:voters])}); err != nil {
		w.t.Fatalf("bootstrap: %v", err)
	}
	w.until("a leader that may serve", func() bool { return w.leader() != nil && w.leader().core.committedInTerm() })
}

// commit proposes data at the leader and waits until all live replicas applied it.
func (w *world) commit(data string) uint64 {
	w.t.Helper()
	index, _, err := w.leader().core.Propose([]byte(data))
	if err != nil {
		w.t.Fatalf("propose: %v", err)
	}
	w.until("commit of "+data, func() bool {
		for _, id := range w.ids {
			if !w.cut[id] && w.nodes[id].applied < index {
				return false
			}
		}
		return true
	})
	return index
}
