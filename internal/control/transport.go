package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// redial is how a host dials a control host anew: after a pause that is drawn from a span.
// The span doubles from first to most with each dial that fails, so that hosts which were
// all cut off or started at one moment do not come back at one moment.
type redial struct {
	first, most time.Duration
}

var (
	// among is for control hosts, who are few and wait for each other to elect a leader.
	among = redial{first: 50 * time.Millisecond, most: 200 * time.Millisecond}
	// following is for all others.
	following = redial{first: 100 * time.Millisecond, most: 800 * time.Millisecond}
)

// pause returns the next pause and span. Draw is in [0, 1).
func (r redial) pause(span time.Duration, draw float64) (pause, next time.Duration) {
	span = min(max(span, r.first), r.most)
	return time.Duration(draw * float64(span)), 2 * span
}

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

// KeepDialled holds a session with each control host of the book until ctx ends, for a
// control host.
func KeepDialled(ctx context.Context, pool *peer.Pool, book *Book) {
	keepDialled(ctx, book, func(address string) { keepSession(ctx, pool, address, among) })
}

// FollowDialled is KeepDialled for the other hosts, of which there are many. One that starts
// dials the control hosts in an order of its own, one after the other.
func FollowDialled(ctx context.Context, pool *peer.Pool, book *Book) {
	first := book.List()
	rand.Shuffle(len(first), func(i, j int) { first[i], first[j] = first[j], first[i] })
	for _, address := range first {
		_, _ = pool.Get(ctx, address)
	}
	keepDialled(ctx, book, func(address string) { keepSession(ctx, pool, address, following) })
}

func keepDialled(ctx context.Context, book *Book, keep func(address string)) {
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
			wg.Go(func() { keep(address) })
		}
		select {
		case <-ctx.Done():
			return
		case <-grown:
		}
	}
}

// keepSession holds a session with the host at address until ctx ends.
func keepSession(ctx context.Context, pool *peer.Pool, address string, again redial) {
	var wait, span time.Duration
	for ctx.Err() == nil {
		if s, err := pool.Get(ctx, address); err == nil {
			s.StartProbing()
			select {
			case <-s.Done():
			case <-ctx.Done():
			}
			span = 0
		}
		wait, span = again.pause(span, rand.Float64())
		pause.For(ctx, wait)
	}
}
