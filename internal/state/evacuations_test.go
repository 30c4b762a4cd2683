package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// order applies an order of which the proposer knew the last one before it.
func (l *testLog) order(dataCentre string, isEvacuated bool, lastOrder uint64) EvacuationResult {
	return l.apply(SetEvacuation{
		DataCentre: dataCentre, IsEvacuated: isEvacuated, LastOrder: lastOrder, Author: "ann", At: 7,
	}).(EvacuationResult)
}

// Guards against a repeated order that fails or changes the table, and against an end without a
// start that is refused.
func TestEvacuationOrdersAreIdempotent(t *testing.T) {
	l := newLog(t, smallOptions)
	changed := l.machine.EvacuationsChanged()
	require.Equal(t, EvacuationResult{Outcome: EvacuationUnchanged, LastOrder: 1}, l.order("east", false, 0))
	require.Equal(t, EvacuationResult{Outcome: EvacuationChanged, LastOrder: 2, Index: 2, Evacuated: []string{"east"}}, l.order("east", true, 1))
	<-changed
	changed = l.machine.EvacuationsChanged()
	require.Equal(t, EvacuationResult{Outcome: EvacuationUnchanged, LastOrder: 3, Index: 2, Evacuated: []string{"east"}}, l.order("east", true, 0))
	select {
	case <-changed:
		t.Fatal("an order without effect counts as a change")
	default:
	}
	require.Equal(t, EvacuationResult{Outcome: EvacuationChanged, LastOrder: 4, Index: 4, Evacuated: []string{"east", "west"}}, l.order("west", true, 0))
	require.Equal(t, EvacuationResult{Outcome: EvacuationChanged, LastOrder: 5, Index: 5, Evacuated: []string{"west"}}, l.order("east", false, 3))
	require.Equal(t, Evacuation{DataCentre: "east", Ordered: 5, Changed: 5}, l.machine.Evacuations().Of("east"))
	require.Equal(t, Evacuation{DataCentre: "north"}, l.machine.Evacuations().Of("north"))
	page := l.machine.History(0, 9, nil)
	require.Len(t, page.Records, 3, "only changes are recorded")
	require.Equal(t, AuditRecord{
		Index: 5, At: 7, Author: "ann", Action: ActionEvacuationEnd, Subject: "east", Outcome: "accepted",
	}, page.Records[0])
	require.Equal(t, ActionEvacuationStart, page.Records[1].Action)
}

// Guards against a delayed proposal that reverts an order which was acknowledged after it was made,
// also if that order changed nothing when it was applied.
func TestDelayedEvacuationOrderHasNoEffect(t *testing.T) {
	l := newLog(t, smallOptions)
	require.Equal(t, EvacuationChanged, l.order("east", true, 0).Outcome)
	require.Equal(t, EvacuationChanged, l.order("east", false, 1).Outcome)
	require.Equal(t, EvacuationResult{Outcome: EvacuationStale, LastOrder: 2, Index: 2}, l.order("east", true, 0))
	require.Empty(t, l.machine.Evacuations().Evacuated())
	require.Equal(t, EvacuationUnchanged, l.order("east", false, 2).Outcome)
	require.Equal(t, EvacuationStale, l.order("east", true, 2).Outcome, "an end that changed nothing was acknowledged since")
	require.Equal(t, EvacuationUnchanged, l.order("west", false, 0).Outcome)
	require.Equal(t, EvacuationStale, l.order("west", true, 0).Outcome, "an end of an evacuation that never began was acknowledged since")
	require.Equal(t, EvacuationChanged, l.order("west", true, 6).Outcome, "proposed again with the newer index")
}

func TestInvalidEvacuationOrdersAreRejected(t *testing.T) {
	l := newLog(t, smallOptions)
	for _, name := range []string{"", strings.Repeat("x", MaxNameBytes+1)} {
		require.Equal(t, Rejected{ReasonInvalidName}, l.apply(SetEvacuation{DataCentre: name, IsEvacuated: true}))
	}
	for i := range MaxDataCentres {
		l.order(fmt.Sprint(i), true, 0)
	}
	require.Equal(t, Rejected{ReasonTooManyDataCentres}, l.apply(SetEvacuation{DataCentre: "one more", IsEvacuated: true}))
	require.Equal(t, EvacuationChanged, l.order("0", false, 3).Outcome, "known data centres can be changed when the table is full")
}

// Guards against evacuations that are lost with a snapshot, and against a replica with a snapshot of
// an older build, which lacks the table, that cannot start.
func TestEvacuationsAreKeptInSnapshots(t *testing.T) {
	l := newLog(t, smallOptions)
	old, err := l.machine.Snapshot()
	require.NoError(t, err)
	var fields map[int]any
	require.NoError(t, decoding.Unmarshal(old, &fields))
	require.NotContains(t, fields, 15, "without orders a snapshot is that of an older build")
	l.order("east", true, 0)
	l.order("west", true, 0)
	l.order("west", false, 2)
	snapshot, err := l.machine.Snapshot()
	require.NoError(t, err)
	restored := New(smallOptions)
	changed := restored.EvacuationsChanged()
	require.NoError(t, restored.Restore(old))
	require.Empty(t, restored.Evacuations().All)
	require.NoError(t, restored.Restore(snapshot))
	<-changed
	require.Equal(t, l.machine.Evacuations(), restored.Evacuations())
	require.Equal(t, []string{"east"}, restored.Evacuations().Evacuated())
}

// proposal is an order that was proposed. acknowledged is how many orders for its data centre were
// acknowledged before.
type proposal struct {
	SetEvacuation
	acknowledged int
}

// An acknowledged order must stay in force until a later one is proposed: no proposal that was made
// before it was acknowledged may revert it, however late it is applied. The index of the table must
// rise with every change, because receivers ignore lists with lower indexes.
func TestAcknowledgedEvacuationIsNotRevertedByEarlierProposals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(smallOptions)
		names := []string{"east", "west"}
		isEvacuated, acknowledged := map[string]bool{}, map[string]int{}
		var pending []proposal
		for index := uint64(1); index <= uint64(rapid.IntRange(1, 40).Draw(t, "steps")); index++ {
			name := rapid.SampledFrom(names).Draw(t, "data centre")
			pending = append(pending, proposal{SetEvacuation{
				DataCentre: name, IsEvacuated: rapid.Bool().Draw(t, "evacuated"), LastOrder: m.Evacuations().Of(name).Ordered,
			}, acknowledged[name]})
			// A proposal may be applied several times, because it is sent again.
			p := pending[rapid.IntRange(0, len(pending)-1).Draw(t, "applied")]
			data, err := Encode(p.SetEvacuation)
			require.NoError(t, err)
			before := m.Evacuations().Index
			r := m.Apply(index, data).(EvacuationResult)
			isCurrent := p.acknowledged == acknowledged[p.DataCentre]
			switch r.Outcome {
			case EvacuationChanged:
				require.True(t, isCurrent, "reverted by an earlier proposal")
				require.Equal(t, index, r.Index)
				isEvacuated[p.DataCentre] = p.IsEvacuated
			case EvacuationStale:
				require.False(t, isCurrent, "a proposal with the newest index has no effect")
			}
			if r.Outcome != EvacuationStale {
				require.Equal(t, p.IsEvacuated, isEvacuated[p.DataCentre], "acknowledged but not in force")
				acknowledged[p.DataCentre]++
			}
			for _, n := range names {
				require.Equal(t, isEvacuated[n], m.Evacuations().Of(n).IsEvacuated)
			}
			require.GreaterOrEqual(t, r.Index, before)
		}
	})
}
