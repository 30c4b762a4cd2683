package control

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// messageCounters count the messages of the consensus by the other host, over all of its replicas. With
// them it can be seen whether one direction between two hosts is dead.
type messageCounters struct {
	registry metrics.Registry
	// mu guards byHost.
	mu     sync.Mutex
	byHost map[string]hostMessageCounters
}

// hostMessageCounters are the counters of one other host. A message that is sent was queued on a session; it
// may still be lost. One that is dropped had no session, or no place in its queue.
type hostMessageCounters struct {
	sent, received, dropped metrics.Counter
}

func newMessageCounters(reg metrics.Registry) *messageCounters {
	return &messageCounters{registry: reg, byHost: make(map[string]hostMessageCounters)}
}

// of returns the counters of a replica's host.
func (m *messageCounters) of(id consensus.ReplicaID) hostMessageCounters {
	host := hostOf(id)
	m.mu.Lock()
	defer m.mu.Unlock()
	c, isKnown := m.byHost[host]
	if !isKnown {
		counter := func(what string) metrics.Counter {
			return metrics.GetOrRegisterCounter("consensus.peer."+host+"."+what, m.registry)
		}
		c = hostMessageCounters{sent: counter("sent"), received: counter("received"), dropped: counter("dropped")}
		m.byHost[host] = c
	}
	return c
}

// countDropped counts a message to a replica that is dropped.
func (t *Transport) countDropped(to consensus.ReplicaID) {
	t.dropped.Inc(1)
	t.counters.of(to).dropped.Inc(1)
}
