package control

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// redialFirst is how long a host waits to dial a control host anew for the first time,
	// redialMost at most; it doubles in between. Hosts that start together listen within
	// some 50 ms of each other.
	redialFirst = 50 * time.Millisecond
	redialMost  = 200 * time.Millisecond
)

// Transport carries consensus messages over the sessions between control hosts. A
// replica is found by what its host says of itself when a session begins: a host
// whose disk is new is another replica, and gets no message meant for the old one.
type Transport struct {
	dropped metrics.Counter

	// mu guards the fields below.
	mu       sync.Mutex
	sessions map[consensus.ReplicaID]*peer.Session
	// dividing holds the replicas to which a divided message is on its way.
	dividing map[consensus.ReplicaID]bool
	divided  uint64
	parts    map[consensus.ReplicaID]*assembly
}

// NewTransport returns a Transport without sessions.
func NewTransport(reg metrics.Registry) *Transport {
	return &Transport{
		dropped:  metrics.GetOrRegisterCounter("consensus.messages.dropped", reg),
		sessions: make(map[consensus.ReplicaID]*peer.Session),
		dividing: make(map[consensus.ReplicaID]bool),
		parts:    make(map[consensus.ReplicaID]*assembly),
	}
}

// SessionUp takes a session that has begun, if it is with a control host.
func (t *Transport) SessionUp(s *peer.Session) {
	id := consensus.ReplicaID(s.Remote().Replica)
	if id == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sessions[id] = s
}

// Sessions returns the live sessions with replicas.
func (t *Transport) Sessions() []*peer.Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peer.Session
	for _, s := range t.sessions {
		if s.Alive() {
			out = append(out, s)
		}
	}
	return out
}

// Send implements replica.Transport. It never waits; what can't be queued is lost,
// which consensus allows for.
func (t *Transport) Send(to consensus.ReplicaID, m consensus.Message) {
	s := t.session(to)
	if s == nil {
		t.dropped.Inc(1)
		return
	}
	data, err := wire.Marshal(m)
	if err == nil && len(data) > partBytes {
		t.divide(s, to, data)
		return
	}
	if err == nil {
		err = s.Post(&wire.Consensus{To: string(to), Data: data})
	}
	if err != nil {
		t.dropped.Inc(1)
	}
}

// session returns the live session with a replica, or nil.
func (t *Transport) session(id consensus.ReplicaID) *peer.Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[id]
	if s != nil && !s.Alive() {
		delete(t.sessions, id)
		return nil
	}
	return s
}

// address returns where the host of a replica is reached, empty if not known.
func (t *Transport) address(id consensus.ReplicaID) string {
	if s := t.session(id); s != nil {
		return s.Remote().Address
	}
	return ""
}

// KeepDialled holds a session with each control host of the book until ctx ends.
func KeepDialled(ctx context.Context, pool *peer.Pool, book *Book) {
	var wg sync.WaitGroup
	defer wg.Wait()
	dialled := make(map[string]bool)
	for {
		grown := book.Grown()
		for _, address := range book.List() {
			if dialled[address] {
				continue
			}
			dialled[address] = true
			wg.Go(func() { keepSession(ctx, pool, address) })
		}
		select {
		case <-ctx.Done():
			return
		case <-grown:
		}
	}
}

// keepSession holds a session with the host at address until ctx ends.
func keepSession(ctx context.Context, pool *peer.Pool, address string) {
	delay := redialFirst
	for ctx.Err() == nil {
		if s, err := pool.Get(ctx, address); err == nil {
			s.Hold()
			select {
			case <-s.Done():
			case <-ctx.Done():
			}
			delay = redialFirst
		}
		pause.For(ctx, delay)
		delay = min(2*delay, redialMost)
	}
}
