package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// StartProbing asks for a sharp watch on the other end until Release: while something waits
// for it, it is probed, and a silent end ends the session within seconds. A session
// that is not held costs little and notices a dead end late.
func (s *Session) StartProbing() {
	if s.probers.Add(1) == 1 {
		s.probedSince.Store(int64(s.age()))
	}
}

// StopProbing undoes one Hold.
func (s *Session) StopProbing() { s.probers.Add(-1) }

// CallWithin is Call where the other end answers at once if it is there: without an answer
// within the limit the session ends, so that whoever needs the host next dials anew. A
// connection that was cut for a while would else wait for its own retransmission.
func (s *Session) CallWithin(ctx context.Context, limit time.Duration, m wire.Message) (wire.Message, bool, error) {
	short, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, sent, err := s.Call(short, m)
	if err != nil && short.Err() != nil && ctx.Err() == nil {
		s.fail(errors.Wrap(err, "peer: no answer"))
	}
	return reply, sent, err
}

func (s *Session) age() time.Duration { return time.Since(s.opened) }

// SilentFor returns how long ago the other end was heard.
func (s *Session) SilentFor() time.Duration { return s.age() - time.Duration(s.heard.Load()) }

// isSilent reports whether the other end has been silent for too long.
func (s *Session) isSilent() bool {
	heard := time.Duration(s.heard.Load())
	if s.probers.Load() == 0 {
		return s.age()-heard > s.silenceTimeout()
	}
	return s.age()-max(heard, time.Duration(s.probedSince.Load())) > s.probeTimeout
}

// keepAlive probes the other end of a held session, and breaks a silence of our own
// that has become too long.
func (s *Session) keepAlive(quiet time.Duration) {
	isHeld := s.probers.Load() > 0
	if isHeld || quiet >= s.pingInterval {
		_ = s.Post(&wire.Ping{WantsEcho: isHeld})
	}
}

// silenceTimeout is how long the other end may be silent before it counts as dead.
func (s *Session) silenceTimeout() time.Duration {
	ping := time.Duration(s.remote.PingMS) * time.Millisecond
	if ping <= 0 {
		ping = DefaultPingInterval
	}
	return maxMissedPings * ping
}
