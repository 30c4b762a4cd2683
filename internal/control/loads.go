package control

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/engineload"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/spread"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// loadInterval is how often engine loads are forwarded to entry hosts. It is much shorter
	// than the time a request takes at an engine.
	loadInterval = 100 * time.Millisecond
	// maxDirectEntryHosts is the number of entry hosts in other data centres up to which a control
	// host forwards loads to all of them itself.
	maxDirectEntryHosts = 64
	// relayTimeout is how long a control host has to acknowledge loads that it relays. Entry hosts
	// distrust engines whose loads are a few intervals old.
	relayTimeout = 200 * time.Millisecond
	// relayPause is how long a control host that did not acknowledge loads is not used as a relay.
	relayPause = 2 * time.Second
	// refusalLogInterval is the minimum time between two log lines about refused loads.
	refusalLogInterval = time.Minute
)

// loads forwards the loads of engines to the entry hosts. Agents report to one control host. It
// sends the loads to the entry hosts of its data centre and, in a large fleet, to one control host
// in each other data centre, which relays them to the entry hosts there.
type loads struct {
	h *Host
	// now returns the time since the start. entrySessions returns the sessions with the attached
	// entry hosts; it takes the lock of the fleet, so it is not called while mu is held.
	now           func() time.Duration
	entrySessions func() []*peer.Session
	refused       metrics.Counter

	// mu guards the fields below. While it is held, messages are only queued, which does not block.
	// It may be taken while the lock of the fleet is held.
	mu sync.Mutex
	// reported holds the loads that agents reported to this host, and relayed those that it relays.
	reported, relayed loadStream
	// isTimerSet tells that a timer runs that calls send.
	isTimerSet bool
	// pausedRelays holds until when a control host is not used as a relay, by address.
	pausedRelays map[string]time.Duration
	// decoders decode the loads of each control host whose loads this host relays.
	decoders  map[*peer.Session]*engineload.Decoder
	refusedAt time.Time
}

func newLoads(h *Host, now func() time.Duration, entrySessions func() []*peer.Session) *loads {
	return &loads{
		h: h, now: now, entrySessions: entrySessions,
		refused:      metrics.GetOrRegisterCounter("control.loads.refused", h.cfg.Metrics),
		pausedRelays: make(map[string]time.Duration), decoders: make(map[*peer.Session]*engineload.Decoder),
	}
}

// update stores the load that an agent has reported of its engine.
func (l *loads) update(s *peer.Session, m *wire.EngineLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported.table.Update(*m, s.Remote().Address, l.now())
	l.schedule()
}

// entryHostAttached makes sure that an entry host that has just attached gets the loads soon.
func (l *loads) entryHostAttached() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule()
}

// members returns the hosts of the ranks of a group, as their agents reported recently.
func (l *loads) members(group string, epoch uint64) []wire.GroupMember {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reported.table.Members(group, epoch, l.now())
}

// schedule makes sure that send is called within loadInterval. The caller holds mu.
func (l *loads) schedule() {
	if !l.isTimerSet {
		l.isTimerSet = true
		time.AfterFunc(loadInterval, l.send)
	}
}

// send forwards the loads that were reported since its last call.
func (l *loads) send() {
	entries, controls := l.entrySessions(), l.h.cfg.Transport.Sessions()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isTimerSet = false
	usable := controls[:0]
	for _, s := range controls {
		if l.now() >= l.pausedRelays[s.Remote().Address] {
			usable = append(usable, s)
		}
	}
	route := spread.Config{DataCentre: l.h.cfg.DataCentre, MaxDirect: maxDirectEntryHosts}.Route(spreadHosts(usable), spreadHosts(entries))
	var receivers []loadReceiver
	for _, i := range route.Direct {
		receivers = append(receivers, entryReceiver{entries[i]})
	}
	for _, i := range route.Relays {
		receivers = append(receivers, relayReceiver{usable[i], l})
	}
	l.reported.send(receivers, l.now(), l.h)
}

func spreadHosts(sessions []*peer.Session) []spread.Host {
	out := make([]spread.Host, 0, len(sessions))
	for _, s := range sessions {
		out = append(out, spread.Host{Address: s.Remote().Address, DataCentre: s.Remote().DataCentre})
	}
	return out
}

// relay forwards loads from another control host to the entry hosts of this data centre.
func (l *loads) relay(s *peer.Session, call uint64, m *wire.EngineLoads) {
	if s.Remote().Replica == "" {
		l.refuse(s, "not from a control host")
		l.reply(s, call, verdict.New(verdict.NotRun, verdict.CodeConflict, "loads are accepted from control hosts only"))
		return
	}
	var receivers []loadReceiver
	for _, entry := range l.entrySessions() {
		if entry.Remote().DataCentre == l.h.cfg.DataCentre {
			receivers = append(receivers, entryReceiver{entry})
		}
	}
	if l.forward(s, m, receivers) {
		l.reply(s, call, nil)
		return
	}
	l.refuse(s, "full records are missing")
	l.reply(s, call, verdict.New(verdict.NotRun, verdict.CodeConflict, "full records are missing"))
}

// forward decodes loads and sends them to the receivers. It reports whether all could be decoded.
func (l *loads) forward(s *peer.Session, m *wire.EngineLoads, receivers []loadReceiver) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other := range l.decoders {
		if !other.Alive() {
			delete(l.decoders, other)
		}
	}
	decoder := l.decoders[s]
	if decoder == nil {
		decoder = &engineload.Decoder{}
		l.decoders[s] = decoder
	}
	all, unread := decoder.Decode(m)
	for i := range all {
		l.relayed.table.Update(all[i], "", l.now())
	}
	l.relayed.send(receivers, l.now(), l.h)
	return unread == 0
}

func (l *loads) reply(s *peer.Session, call uint64, err error) {
	switch {
	case call == 0:
	case err != nil:
		_ = s.Reply(call, peer.NewFailure(err))
	default:
		_ = s.Reply(call, &wire.Ack{})
	}
}

// refuse counts and logs loads that are not relayed.
func (l *loads) refuse(s *peer.Session, reason string) {
	l.refused.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.refusedAt) < refusalLogInterval {
		return
	}
	l.refusedAt = time.Now()
	l.h.cfg.Log.Warn("engine loads refused", "from", s.Remote().Host, "reason", reason)
}

// relayFailed handles a relay that has not acknowledged loads. One that did not answer in time is
// not used for a while; one that refused the loads gets full records.
func (l *loads) relayFailed(s *peer.Session, isRefused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported.forget(s)
	if isRefused {
		return
	}
	l.pausedRelays[s.Remote().Address] = l.now() + relayPause
	l.h.cfg.Log.Info("relay of engine loads does not answer", "control_host", s.Remote().Host, "data_centre", s.Remote().DataCentre)
}

// loadReceiver is a host that gets engine loads.
type loadReceiver interface {
	session() *peer.Session
	// send queues a message, which is also given encoded. It must not block.
	send(m *wire.EngineLoads, encoded *peer.Prepared) error
}

// entryReceiver is an entry host.
type entryReceiver struct{ s *peer.Session }

func (r entryReceiver) session() *peer.Session { return r.s }

func (r entryReceiver) send(_ *wire.EngineLoads, encoded *peer.Prepared) error {
	return r.s.PostPrepared(encoded)
}

// relayReceiver is a control host that relays the loads.
type relayReceiver struct {
	s *peer.Session
	l *loads
}

func (r relayReceiver) session() *peer.Session { return r.s }

// send calls the relay, so that one that is frozen or cut off is noticed within relayTimeout.
func (r relayReceiver) send(m *wire.EngineLoads, _ *peer.Prepared) error {
	await, err := r.s.BeginCall(m)
	if err != nil {
		return err
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		if reply, _, err := await(ctx); err != nil {
			_, isRefused := reply.(*wire.Failure)
			r.l.relayFailed(r.s, isRefused)
		}
	}()
	return nil
}

// loadStream sends the loads of a table. A receiver gets full records first, and changes as long
// as it has missed none. The zero value is ready to use.
type loadStream struct {
	table engineload.Table
	// current holds the receivers that have got all messages so far.
	current map[*peer.Session]bool
}

// forget makes the next message to a receiver hold full records.
func (st *loadStream) forget(s *peer.Session) { delete(st.current, s) }

// send sends the changes since its last call. Receivers that have missed any get full records.
func (st *loadStream) send(receivers []loadReceiver, now time.Duration, h *Host) {
	next := st.table.Flush(now)
	changes := h.prepareLoads(next)
	var full *wire.EngineLoads
	var fullEncoded *peer.Prepared
	isCurrent := make(map[*peer.Session]bool, len(receivers))
	for _, r := range receivers {
		m, encoded := next, changes
		if !st.current[r.session()] {
			if full == nil {
				full = st.table.FullRecords(now)
				fullEncoded = h.prepareLoads(full)
			}
			m, encoded = full, fullEncoded
		}
		if m == nil || encoded == nil {
			isCurrent[r.session()] = m == nil && st.current[r.session()]
			continue
		}
		// A host whose queue is full misses the message, and gets full records the next time.
		isCurrent[r.session()] = r.send(m, encoded) == nil
	}
	st.current = isCurrent
}

// prepareLoads encodes a message once for all receivers. It returns nil if m is nil.
func (h *Host) prepareLoads(m *wire.EngineLoads) *peer.Prepared {
	if m == nil {
		return nil
	}
	p, err := peer.Prepare(m)
	if err != nil {
		h.cfg.Log.Error("loads can't be encoded", "error", err.Error())
		return nil
	}
	return p
}
