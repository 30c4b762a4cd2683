package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// redialPolicy is an exponential backoff with jitter for dialling control hosts. The delay
// is random within a span that doubles from minSpan to maxSpan with each failed dial, so
// that hosts which started or were disconnected together do not dial at the same time.
type redialPolicy struct {
	minSpan, maxSpan time.Duration
}

var (
	// controlHostRedial is for control hosts, which are few and need sessions with each other
	// to elect a leader.
	controlHostRedial = redialPolicy{minSpan: 50 * time.Millisecond, maxSpan: 200 * time.Millisecond}
	// followerRedial is for all other hosts.
	followerRedial = redialPolicy{minSpan: 100 * time.Millisecond, maxSpan: 800 * time.Millisecond}
)

// nextDelay returns the next delay, and the span to be passed to the next call. random is
// in [0, 1).
func (r redialPolicy) nextDelay(span time.Duration, random float64) (delay, next time.Duration) {
	span = min(max(span, r.minSpan), r.maxSpan)
	return time.Duration(random * float64(span)), 2 * span
}

// Transport carries consensus messages over the sessions between control hosts. Each host
// sends its replica ID when a session begins. The ID contains that of the disk, so a host
// with a new disk gets no messages that are meant for its old replica.
type Transport struct {
	dropped  metrics.Counter
	counters *messageCounters

	// mu guards the fields below.
	mu sync.Mutex
	// sessions contains the sessions with each replica, the latest last. Two hosts that dial each
	// other at the same time have two, and either can be the one that ends or works in one
	// direction only.
	sessions map[consensus.ReplicaID][]*peer.Session
	// sendingChunks holds the chunked message that is being sent to each replica.
	sendingChunks map[consensus.ReplicaID]*chunkedSend
	// lastMessage is the number of the last chunked message.
	lastMessage uint64
	// assemblies holds the incomplete message from each replica.
	assemblies map[consensus.ReplicaID]*assembly
	// snapshotLost is called for the replica of a snapshot that may not arrive; nil if nobody listens.
	snapshotLost func(consensus.ReplicaID)
}

// NewTransport returns a Transport without sessions.
func NewTransport(reg metrics.Registry) *Transport {
	return &Transport{
		dropped:       metrics.GetOrRegisterCounter("consensus.messages.dropped", reg),
		counters:      newMessageCounters(reg),
		sessions:      make(map[consensus.ReplicaID][]*peer.Session),
		sendingChunks: make(map[consensus.ReplicaID]*chunkedSend),
		assemblies:    make(map[consensus.ReplicaID]*assembly),
	}
}

// SessionUp registers a new session if it is with a control host. Both ends probe it: the end that doesn't
// keep it would send on a dead session until that counts as dead without probes.
func (t *Transport) SessionUp(s *peer.Session) {
	id := consensus.ReplicaID(s.Remote().Replica)
	if id == "" {
		return
	}
	s.StartProbing()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeEnded(id)
	t.sessions[id] = append(t.sessions[id], s)
}

// removeEnded removes the sessions with a replica that have ended. The caller holds mu.
func (t *Transport) removeEnded(id consensus.ReplicaID) {
	live := slices.DeleteFunc(t.sessions[id], func(s *peer.Session) bool { return !s.Alive() })
	if len(live) == 0 {
		delete(t.sessions, id)
		return
	}
	t.sessions[id] = live
}

// Sessions returns the session on which to send for each replica that has one.
func (t *Transport) Sessions() []*peer.Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peer.Session
	for id := range t.sessions {
		if s := t.preferred(id); s != nil {
			out = append(out, s)
		}
	}
	return out
}

// Send implements replica.Transport. It never blocks. A message that can't be queued is
// dropped, which consensus tolerates.
func (t *Transport) Send(to consensus.ReplicaID, m consensus.Message) {
	isSnapshot := m.Type == consensus.MessageSnapshot
	s := t.session(to)
	if s == nil {
		t.drop(to, isSnapshot)
		return
	}
	data, err := wire.Marshal(m)
	if err == nil && len(data) > chunkBytes {
		t.sendChunked(s, to, data, isSnapshot)
		return
	}
	if err == nil {
		err = s.Post(&wire.Consensus{To: string(to), Data: data})
	}
	if err != nil {
		t.drop(to, isSnapshot)
		return
	}
	t.counters.of(to).sent.Inc(1)
	if isSnapshot {
		go t.watchSnapshot(s, to)
	}
}

// session returns the live session with a replica on which to send, or nil.
func (t *Transport) session(id consensus.ReplicaID) *peer.Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.preferred(id)
}

// preferred is session for callers that hold mu.
func (t *Transport) preferred(id consensus.ReplicaID) *peer.Session {
	t.removeEnded(id)
	return peer.LatestAnswering(t.sessions[id])
}

// address returns the peer address of a replica's host, or an empty string if there is no
// session with it.
func (t *Transport) address(id consensus.ReplicaID) string {
	if s := t.session(id); s != nil {
		return s.Remote().Address
	}
	return ""
}

// dataCentre returns the data centre of a replica's host, or an empty string if there is no
// session with it.
func (t *Transport) dataCentre(id consensus.ReplicaID) string {
	if s := t.session(id); s != nil {
		return s.Remote().DataCentre
	}
	return ""
}

// replicas returns the replicas with a live session.
func (t *Transport) replicas() []consensus.ReplicaID {
	var out []consensus.ReplicaID
	for _, s := range t.Sessions() {
		out = append(out, consensus.ReplicaID(s.Remote().Replica))
	}
	return out
}

// KeepConnected maintains sessions between a control host and all other control hosts in the
// address book until ctx ends.
func KeepConnected(ctx context.Context, pool *peer.Pool, addressBook *AddressBook) {
	keepConnected(ctx, addressBook, func(address string) { keepSession(ctx, pool, address, controlHostRedial) })
}

// KeepFollowerConnected is KeepConnected for hosts that are not control hosts. Since there
// are many, each first dials the known control hosts one after the other in random order.
func KeepFollowerConnected(ctx context.Context, pool *peer.Pool, addressBook *AddressBook) {
	shuffled := addressBook.List()
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	for _, address := range shuffled {
		_, _ = pool.Get(ctx, address)
	}
	keepConnected(ctx, addressBook, func(address string) { keepSession(ctx, pool, address, followerRedial) })
}

// keepConnected calls keep on a new goroutine for each address in the address book, and for
// those that are added later.
func keepConnected(ctx context.Context, addressBook *AddressBook, keep func(address string)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	started := make(map[string]bool)
	for {
		changed := addressBook.Changed()
		for _, address := range addressBook.List() {
			if started[address] {
				continue
			}
			started[address] = true
			wg.Go(func() { keep(address) })
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// keepSession maintains a session with the host at address until ctx ends.
func keepSession(ctx context.Context, pool *peer.Pool, address string, redial redialPolicy) {
	var delay, span time.Duration
	for ctx.Err() == nil {
		if s, err := pool.Get(ctx, address); err == nil {
			s.StartProbing()
			select {
			case <-s.Done():
			case <-ctx.Done():
			}
			span = 0
		}
		delay, span = redial.nextDelay(span, rand.Float64())
		pause.For(ctx, delay)
	}
}
