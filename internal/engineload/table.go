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
	// forgetAfter is how long an engine is remembered that is not heard any more.
	forgetAfter = time.Minute
	// currentSpan is how old a record may be to be told to who has just come.
	currentSpan = 2 * time.Second
	// paceSteps is how many codes a doubling of an engine's pace has: one is 2 in 100.
	paceSteps = 32
	// paceOne is the code of the usual pace; 0 is an unknown one.
	paceOne = 64
)

// engine is what is known of one.
type engine struct {
	number uint64
	load   wire.EngineLoad
	// host is the peer listener of its agent.
	host string
	// isNew tells that it was heard since the last message, isChanged that its record is not
	// known to receivers.
	isNew, isChanged bool
	heard            time.Duration
}

// Table is what a sender knows of engines. The zero value is ready.
type Table struct {
	engines map[string]*engine
	last    uint64
}

// Update takes in what the agent with the peer listener host says of its engine. Now is a
// monotonic clock of the caller's.
func (t *Table) Update(l wire.EngineLoad, host string, now time.Duration) {
	e := t.engines[l.Address]
	if e == nil {
		if t.engines == nil {
			t.engines = make(map[string]*engine)
		}
		t.last++
		e = &engine{number: t.last, isChanged: true}
		t.engines[l.Address] = e
	}
	l.Number = e.number
	// Who came while it was silent was not told its record.
	e.isChanged = e.isChanged || identity(l) != identity(e.load) || now-e.heard > currentSpan
	e.load, e.host, e.isNew, e.heard = l, host, true, now
}

// identity is a record without what is told briefly.
func identity(l wire.EngineLoad) wire.EngineLoad {
	l.Running, l.Waiting, l.Pace = 0, 0, 0
	return l
}

// Flush returns what has been heard since the last call, and forgets engines that were not
// heard for long. It returns nil where there is nothing.
func (t *Table) Flush(now time.Duration) *wire.EngineLoads {
	m := &wire.EngineLoads{}
	last := uint64(0)
	for _, e := range t.inOrder() {
		switch {
		case e.isNew && e.isChanged:
			m.All = append(m.All, e.load)
		case e.isNew:
			m.Brief = appendBrief(m.Brief, e, last)
			last = e.number
		case now-e.heard > forgetAfter:
			delete(t.engines, e.load.Address)
		}
		e.isNew, e.isChanged = false, false
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
	for _, e := range t.inOrder() {
		if now-e.heard <= currentSpan {
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
		if e.load.Group == group && e.load.Epoch == epoch && now-e.heard <= currentSpan {
			out = append(out, wire.GroupMember{Address: e.host, FirstRank: e.load.Rank, Ranks: 1})
		}
	}
	slices.SortFunc(out, func(a, b wire.GroupMember) int { return cmp.Compare(a.FirstRank, b.FirstRank) })
	return out
}

// inOrder returns the engines by their numbers.
func (t *Table) inOrder() []*engine {
	out := make([]*engine, 0, len(t.engines))
	for _, e := range t.engines {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *engine) int { return cmp.Compare(a.number, b.number) })
	return out
}

// appendBrief writes an engine's load: its number as the distance from the one before, the
// requests that run and wait, and the pace.
func appendBrief(b []byte, e *engine, last uint64) []byte {
	b = binary.AppendUvarint(b, e.number-last)
	b = binary.AppendUvarint(b, uint64(max(e.load.Running, 0)))
	b = binary.AppendUvarint(b, uint64(max(e.load.Waiting, 0)))
	return append(b, paceCode(e.load.Pace))
}

func paceCode(pace float64) byte {
	if pace <= 0 {
		return 0
	}
	code := math.Round(paceOne + paceSteps*math.Log2(pace))
	return byte(min(max(code, 1), math.MaxUint8))
}

func paceOf(code byte) float64 {
	if code == 0 {
		return 0
	}
	return math.Exp2((float64(code) - paceOne) / paceSteps)
}
