package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// BenchmarkSubmitToFullQueue measures the most expensive case: submitting a request to a
// nearly full queue with many workspaces. The request is refused, or queued and withdrawn.
func BenchmarkSubmitToFullQueue(b *testing.B) {
	const limit, workspaces = 1024, 200
	p := NewPool(limit)
	p.SetCapacity(0, 1)
	add := func(i int) *Ticket {
		t := &Ticket{Workspace: fmt.Sprint(i % workspaces), Weight: 1, Class: 3, Cost: 1, Deadline: time.Hour}
		p.Submit(0, t)
		return t
	}
	for i := 0; p.Queued() < limit*9/10; i++ {
		add(i)
	}
	i := 0
	for b.Loop() {
		i++
		if t := add(i); t.state == stateWaiting {
			p.Withdraw(t)
		}
	}
}

// BenchmarkDemandBytes measures the message bytes per workspace with a demand above its
// floor. Each demandInterval costs one demand and one grant.
func BenchmarkDemandBytes(b *testing.B) {
	const n = 100
	demand, grant := &wire.Demand{Seq: 1}, &wire.Grant{Seq: 1}
	for i := range n {
		key := Key("service", fmt.Sprint(i))
		demand.Items = append(demand.Items, wire.DemandItem{Workspace: key, Limit: limitsToWire(Limits{Requests: 200.5, Tokens: 40_000, Concurrent: 64}),
			Wanted: amountsToWire(Amounts{Requests: 33.3, Tokens: 7777.7, Concurrent: 13}), Running: 7})
		grant.Items = append(grant.Items, wire.GrantItem{Workspace: key, Granted: amountsToWire(Amounts{Requests: 33.3, Tokens: 7777.7, Concurrent: 13})})
	}
	sizes := []int{0, 0}
	for b.Loop() {
		for i, m := range []wire.Message{demand, grant} {
			data, err := wire.Encode(0, false, m)
			require.NoError(b, err)
			sizes[i] = len(data)
		}
	}
	b.ReportMetric(float64(sizes[0])/n, "B/demand")
	b.ReportMetric(float64(sizes[1])/n, "B/grant")
}
