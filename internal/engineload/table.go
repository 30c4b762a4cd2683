// Package engineload encodes the loads of many engines compactly, so that a control host can
// send them to entry hosts several times per second.
//
// A sender's [Table] gives each engine a number. It sends the full record of an engine only
// when something other than its load has changed; otherwise an engine takes about four bytes,
// and two for a run of engines whose load is as before. A receiver's [Decoder] restores full records from that. Both are pure and are not safe for
// concurrent use.
package engineload

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// forgetTimeout is how long an engine is kept after its last load.
	forgetTimeout = time.Minute
	// maxSnapshotAge is the maximum age of the records that a new receiver gets from
	// FullRecords, and of the engines that Members returns.
	maxSnapshotAge = 2 * time.Second
	// A step-time ratio is an engine's current step time divided by its usual one. It is
	// encoded in one byte on a logarithmic scale. codesPerDoubling is the number of codes per
	// factor of two, so adjacent codes differ by about 2 percent.
	codesPerDoubling = 32
	// codeOfOne is the code of the ratio 1. Code 0 means that the ratio is unknown.
	codeOfOne = 64
)

// engine is the state that a Table keeps for one engine.
type engine struct {
	number uint64
	load   wire.EngineLoad
	// agentAddress is the address of the agent's peer listener.
	agentAddress string
	// isUpdated is set if a load arrived since the last Flush. needsFullRecord is set if the
	// receivers may lack the engine's current record.
	isUpdated, needsFullRecord bool
	updatedAt                  time.Duration
	// flushed is the load in the last message, if it is not the zero value.
	flushed flushedLoad
}

// flushedLoad is a load as a compact load holds it.
type flushedLoad struct {
	isSet            bool
	running, waiting int
	ratio            byte
}

func newFlushedLoad(l wire.EngineLoad) flushedLoad {
	return flushedLoad{isSet: true, running: l.Running, waiting: l.Waiting, ratio: encodeStepRatio(l.Slowdown)}
}

// Table holds the latest load of each engine at the sender. The zero value is ready to use.
type Table struct {
	engines    map[string]*engine
	lastNumber uint64
}

// Update stores a load that an agent reported about its engine. agentAddress is the address of
// the agent's peer listener. now is the caller's monotonic time.
func (t *Table) Update(l wire.EngineLoad, agentAddress string, now time.Duration) {
	e := t.engines[l.Address]
	if e == nil {
		if t.engines == nil {
			t.engines = make(map[string]*engine)
		}
		t.lastNumber++
		e = &engine{number: t.lastNumber, needsFullRecord: true}
		t.engines[l.Address] = e
	}
	l.Number = e.number
	l.Running, l.Waiting = limitRequests(l.Running), limitRequests(l.Waiting)
	// Receivers that attached while the engine was silent have not received its record.
	e.needsFullRecord = e.needsFullRecord || withoutLoad(l) != withoutLoad(e.load) || now-e.updatedAt > maxSnapshotAge
	e.load, e.agentAddress, e.isUpdated, e.updatedAt = l, agentAddress, true, now
}

// limitRequests returns the number of requests nearest to n that receivers accept.
func limitRequests(n int) int { return min(max(n, 0), maxRequests) }

// withoutLoad returns a record without the fields that a compact load contains.
func withoutLoad(l wire.EngineLoad) wire.EngineLoad {
	l.Running, l.Waiting, l.Slowdown = 0, 0, 0
	return l
}

// Flush returns the loads that arrived since the last call, or nil if there are none. It
// drops engines that have been silent for longer than forgetTimeout.
func (t *Table) Flush(now time.Duration) *wire.EngineLoads {
	m := &wire.EngineLoads{}
	previousNumber := uint64(0)
	var unchanged runs
	for _, e := range t.sortedByNumber() {
		next := newFlushedLoad(e.load)
		switch {
		case e.isUpdated && e.needsFullRecord:
			m.FullRecords = append(m.FullRecords, e.load)
		case e.isUpdated && next == e.flushed:
			unchanged.add(e.number)
		case e.isUpdated:
			m.CompactLoads = appendCompact(m.CompactLoads, e.number-previousNumber, next)
			previousNumber = e.number
		case now-e.updatedAt > forgetTimeout:
			delete(t.engines, e.load.Address)
		}
		if e.isUpdated {
			e.flushed = next
		}
		e.isUpdated, e.needsFullRecord = false, false
	}
	m.UnchangedLoads = unchanged.encode()
	if len(m.FullRecords) == 0 && len(m.CompactLoads) == 0 && len(m.UnchangedLoads) == 0 {
		return nil
	}
	return m
}

// FullRecords returns the full records of all engines with a load no older than maxSnapshotAge,
// for a receiver that has just attached. It returns nil if there are none. It must be called
// right after Flush: the next message refers to the loads of the one before.
func (t *Table) FullRecords(now time.Duration) *wire.EngineLoads {
	m := &wire.EngineLoads{}
	for _, e := range t.sortedByNumber() {
		if now-e.updatedAt <= maxSnapshotAge {
			m.FullRecords = append(m.FullRecords, e.load)
		}
	}
	if len(m.FullRecords) == 0 {
		return nil
	}
	return m
}

// Members returns the hosts that run the ranks of a group in the given epoch. It leaves out
// engines whose last load is older than maxSnapshotAge.
func (t *Table) Members(group string, epoch uint64, now time.Duration) []wire.GroupMember {
	var out []wire.GroupMember
	for _, e := range t.engines {
		if e.load.Group == group && e.load.Epoch == epoch && now-e.updatedAt <= maxSnapshotAge {
			out = append(out, wire.GroupMember{Address: e.agentAddress, FirstRank: e.load.Rank, Ranks: 1})
		}
	}
	slices.SortFunc(out, func(a, b wire.GroupMember) int { return cmp.Compare(a.FirstRank, b.FirstRank) })
	return out
}

// sortedByNumber returns the engines in the order of their numbers.
func (t *Table) sortedByNumber() []*engine {
	out := make([]*engine, 0, len(t.engines))
	for _, e := range t.engines {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *engine) int { return cmp.Compare(a.number, b.number) })
	return out
}

// appendCompact appends an engine's load to b: the difference between its number and that of
// the previous engine in the message, its running and waiting requests, and its step-time
// ratio.
func appendCompact(b []byte, difference uint64, l flushedLoad) []byte {
	b = binary.AppendUvarint(b, difference)
	b = binary.AppendUvarint(b, uint64(l.running))
	b = binary.AppendUvarint(b, uint64(l.waiting))
	return append(b, l.ratio)
}

// encodeStepRatio returns the one-byte code of a step-time ratio.
func encodeStepRatio(ratio float64) byte {
	if ratio <= 0 {
		return 0
	}
	code := math.Round(codeOfOne + codesPerDoubling*math.Log2(ratio))
	return byte(min(max(code, 1), math.MaxUint8))
}

// decodeStepRatio returns the step-time ratio of a code, within about 1 percent.
func decodeStepRatio(code byte) float64 {
	if code == 0 {
		return 0
	}
	return math.Exp2((float64(code) - codeOfOne) / codesPerDoubling)
}
