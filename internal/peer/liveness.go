package peer

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// maxUnansweredProbes is how many probe intervals may pass without an answer until other sessions with the
// same host are preferred. An answer takes a round trip after each interval, so one is too short.
const maxUnansweredProbes = 2

// StartProbing makes the session probe the peer with pings until StopProbing, so that a dead
// peer ends the session within seconds while a caller waits for it. A session that is not
// probed costs little and detects a dead peer late. Calls are counted: probing ends when
// StopProbing has been called as often.
func (s *Session) StartProbing() {
	if s.probers.Add(1) == 1 {
		s.probedSince.Store(int64(s.age()))
	}
}

// StopProbing undoes one call of StartProbing.
func (s *Session) StopProbing() { s.probers.Add(-1) }

// CallWithin is Call for messages that a live peer replies to immediately. If there is no
// reply within the limit, it closes the session, so that the next caller dials a new
// connection. After a network interruption the old connection might be unusable until
// TCP's retransmission timer fires.
func (s *Session) CallWithin(ctx context.Context, limit time.Duration, m wire.Message) (wire.Message, bool, error) {
	short, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, sent, err := s.Call(short, m)
	if err != nil && short.Err() != nil && ctx.Err() == nil {
		s.fail(errors.Wrap(err, "peer: no reply in time"))
	}
	return reply, sent, err
}

// CallWhileHeard is Call for messages that a live peer may take long to reply to. It pings the
// peer meanwhile and gives up once the peer has been silent for longer than maxSilence. The
// error is then that of a cancelled context.
func (s *Session) CallWhileHeard(ctx context.Context, maxSilence time.Duration, m wire.Message) (reply wire.Message, sent bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.cancelWhenSilent(ctx, cancel, maxSilence)
	return s.Call(ctx, m)
}

// cancelWhenSilent calls cancel once the peer has been silent for maxSilence, counted from now on.
func (s *Session) cancelWhenSilent(ctx context.Context, cancel func(), maxSilence time.Duration) {
	probe := time.NewTicker(maxSilence / probesPerTimeout)
	defer probe.Stop()
	started := s.age()
	silentTicks := 0
	for {
		select {
		case <-probe.C:
		case <-ctx.Done():
			return
		case <-s.done:
			return
		}
		silentTicks++
		if s.age()-max(time.Duration(s.lastReceived.Load()), started) <= maxSilence {
			silentTicks = 0
		}
		// As in writeLoop, one tick proves nothing after a stall of this process.
		if silentTicks > 1 {
			cancel()
			return
		}
		_ = s.Post(&wire.Ping{WantsEcho: true})
	}
}

// age returns the time since the session was opened.
func (s *Session) age() time.Duration { return time.Since(s.opened) }

// SilentFor returns the time since the last message from the peer.
func (s *Session) SilentFor() time.Duration { return s.age() - time.Duration(s.lastReceived.Load()) }

// handlePing answers a ping of the peer, or records the peer's answer to one.
func (s *Session) handlePing(m *wire.Ping) {
	if m.WantsEcho {
		_ = s.Post(&wire.Ping{})
		return
	}
	s.lastEcho.Store(int64(s.age()))
}

// unansweredFor returns the time since the peer of a probed session last answered a probe, or since the
// probing began. It is zero if the session is not probed.
func (s *Session) unansweredFor() time.Duration {
	if s.probers.Load() == 0 {
		return 0
	}
	return s.age() - time.Duration(max(s.lastEcho.Load(), s.probedSince.Load()))
}

// LatestAnswering returns the last of some sessions with one host whose peer answers probes or that is not
// probed. If there is none, it returns the one whose peer answered last; nil if sessions is empty. A
// connection can be dead in one direction only: messages that arrive prove nothing about those sent.
func LatestAnswering(sessions []*Session) *Session {
	var best *Session
	shortest := time.Duration(math.MaxInt64)
	for _, s := range slices.Backward(sessions) {
		unanswered := s.unansweredFor()
		if unanswered <= maxUnansweredProbes*s.probeTimeout/probesPerTimeout {
			return s
		}
		if unanswered < shortest {
			best, shortest = s, unanswered
		}
	}
	return best
}

// isSilent reports whether the peer has been silent for longer than allowed.
func (s *Session) isSilent() bool {
	lastReceived := time.Duration(s.lastReceived.Load())
	if s.probers.Load() == 0 {
		return s.age()-lastReceived > s.silenceTimeout()
	}
	return s.age()-max(lastReceived, time.Duration(s.probedSince.Load())) > s.probeTimeout
}

// keepAlive sends a ping if the session is probed, or if this end has sent nothing for the
// ping interval. quiet is the time since its last message.
func (s *Session) keepAlive(quiet time.Duration) {
	isProbed := s.probers.Load() > 0
	if isProbed || quiet >= s.pingInterval {
		_ = s.Post(&wire.Ping{WantsEcho: isProbed})
	}
}

// silenceTimeout returns how long the peer of a session that is not probed may be silent
// before it counts as dead.
func (s *Session) silenceTimeout() time.Duration {
	ping := time.Duration(s.remote.PingMS) * time.Millisecond
	if ping <= 0 {
		ping = DefaultPingInterval
	}
	return maxMissedPings * ping
}
