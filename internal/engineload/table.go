// Package engineload passes the loads of engines on in few bytes.
//
// A sender's [Table] gives each engine a number and tells the whole record of one only when
// something else than its load has changed; otherwise an engine costs about four bytes. A
// receiver's [View] makes whole records of that again. Both are pure and are not safe for
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
	// forgetTimeout is how long an engine is remembered that is not heard any more.
	forgetTimeout = time.Minute
	// maxSnapshotAge is how old a record may be to be told to who has just come.
	maxSnapshotAge = 2 * time.Second
	// codesPerDoubling is how many codes a doubling of an engine's pace has: one is 2 in 100.
	codesPerDoubling = 32
	// codeOfOne is the code of the usual pace; 0 is an unknown one.
	codeOfOne = 64
)

// engine is what is known of one.
type engine struct {
	number uint64
	load   wire.EngineLoad
	// agentAddress is the peer listener of its agent.
	agentAddress string
	// isUpdated tells that it was heard since the last message, isChanged that its record is not
	// known to receivers.
	isUpdated, needsFullRecord bool
	updatedAt                  time.Duration
}

// Table is what a sender knows of engines. The zero value is ready.
type Table struct {
	engines    map[string]*engine
	lastNumber uint64
}

// Update takes in what the agent with the peer listener host says of its engine. Now is a
// monotonic clock of the caller's.
func (t *Table) Update(l wire.EngineLoad, host string, now time.Duration) {
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
	// Who came while it was silent was not told its record.
	e.needsFullRecord = e.needsFullRecord || withoutLoad(l) != withoutLoad(e.load) || now-e.updatedAt > maxSnapshotAge
	e.load, e.agentAddress, e.isUpdated, e.updatedAt = l, host, true, now
}

// withoutLoad is a record without what is told briefly.
func withoutLoad(l wire.EngineLoad) wire.EngineLoad {
	l.Running, l.Waiting, l.Pace = 0, 0, 0
	return l
}

// Flush returns what has been heard since the last call, and forgets engines that were not
// heard for long. It returns nil where there is nothing.
func (t *Table) Flush(now time.Duration) *wire.EngineLoads {
	m := &wire.EngineLoads{}
	last := uint64(0)
	for _, e := range t.sortedByNumber() {
		switch {
		case e.isUpdated && e.needsFullRecord:
			m.All = append(m.All, e.load)
		case e.isUpdated:
			m.Brief = appendCompact(m.Brief, e, last)
			last = e.number
		case now-e.updatedAt > forgetTimeout:
			delete(t.engines, e.load.Address)
		}
		e.isUpdated, e.needsFullRecord = false, false
	}
	if len(m.All) == 0 && len(m.Brief) == 0 {
		return nil
	}
	return m
}

// All returns the whole records of the engines that were heard lately, for who has just
// come; nil where there are none.
func (t *Table) All(now time.Duration) *wire.EngineLoads {
	m := &wire.EngineLoads{}
	for _, e := range t.sortedByNumber() {
		if now-e.updatedAt <= maxSnapshotAge {
			m.All = append(m.All, e.load)
		}
	}
	if len(m.All) == 0 {
		return nil
	}
	return m
}

// Members returns the hosts of a group's ranks that were heard lately, in the group's epoch.
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

// sortedByNumber returns the engines by their numbers.
func (t *Table) sortedByNumber() []*engine {
	out := make([]*engine, 0, len(t.engines))
	for _, e := range t.engines {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *engine) int { return cmp.Compare(a.number, b.number) })
	return out
}

// appendCompact writes an engine's load: its number as the distance from the one before, the
// requests that run and wait, and the pace.
func appendCompact(b []byte, e *engine, last uint64) []byte {
	b = binary.AppendUvarint(b, e.number-last)
	b = binary.AppendUvarint(b, uint64(max(e.load.Running, 0)))
	b = binary.AppendUvarint(b, uint64(max(e.load.Waiting, 0)))
	return append(b, encodeStepRatio(e.load.Pace))
}

func encodeStepRatio(pace float64) byte {
	if pace <= 0 {
		return 0
	}
	code := math.Round(codeOfOne + codesPerDoubling*math.Log2(pace))
	return byte(min(max(code, 1), math.MaxUint8))
}

func decodeStepRatio(code byte) float64 {
	if code == 0 {
		return 0
	}
	return math.Exp2((float64(code) - codeOfOne) / codesPerDoubling)
}
