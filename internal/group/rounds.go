package group

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

// ballotStats measures one ballot of this host's coordinator: how long each round took, and
// what this host sent for it.
type ballotStats struct {
	// round is the one that runs, since began.
	round        expertmap.Round
	roundStarted time.Time
	durations    [expertmap.RoundCount]time.Duration
	// messages and bytes are those sent to other hosts, repeated the bytes of what was asked or
	// sent again, which are not among bytes.
	messages, bytes, resentBytes int
	// contentResends is how often content was sent again.
	contentResends int
}

// isContentResend takes how often content was sent again by now, and reports whether the last
// one was.
func (s *ballotStats) isContentResend(resends int) bool {
	before := s.contentResends
	s.contentResends = resends
	return resends > before
}

// countSent counts messages to other hosts.
func (s *ballotStats) countSent(messages, bytes int, isResend bool) {
	s.messages += messages
	if isResend {
		s.resentBytes += bytes
		return
	}
	s.bytes += bytes
}

// enter notes the round that a coordinator is in now.
func (s *ballotStats) enter(round expertmap.Round, now time.Time) {
	if round == s.round {
		return
	}
	if !s.roundStarted.IsZero() {
		s.durations[s.round] += now.Sub(s.roundStarted)
	}
	s.round, s.roundStarted = round, now
}

// orderTime returns how long the ranks were being armed and let go.
func (s *ballotStats) orderTime() time.Duration {
	return s.durations[expertmap.Arming] + s.durations[expertmap.Committing]
}

// attrs returns what a log line says of the ballot.
func (s *ballotStats) attrs() []any {
	out := []any{"messages", s.messages, "sent_bytes", s.bytes, "repeated_bytes", s.resentBytes}
	for round, took := range s.durations {
		if took > 0 {
			out = append(out, slog.Int64(expertmap.Round(round).String()+"_ms", took.Milliseconds()))
		}
	}
	return out
}

// pauseMeter measures for how long the ranks of this host waited at armed steps.
type pauseMeter struct {
	// armedStep is the step of the change that is ahead, 0 if none.
	armedStep uint64
	// pausedMS counts milliseconds.
	pausedMS metrics.Counter
}

// observe takes what an engine says, before its pace does. It returns the step at which
// a change has come into force since the last look, and by how much that step began later
// than the pace lets expect; 0 where none has.
func (m *pauseMeter) observe(s expertmap.Status, t *stepTimer, now time.Time) (step uint64, late time.Duration) {
	if m.armedStep != 0 && s.Step >= m.armedStep {
		step, late = m.armedStep, t.delay(s.Step, now)
		m.pausedMS.Inc(late.Milliseconds())
	}
	m.armedStep = 0
	if s.Armed != nil {
		m.armedStep = s.Armed.Step
	}
	return step, late
}
