package group

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

// ballotStats measures one ballot of this host's coordinator: how long each round takes, and
// how much this host sends.
type ballotStats struct {
	// round is the current round, which started at roundStarted.
	round        expertmap.Round
	roundStarted time.Time
	durations    [expertmap.RoundCount]time.Duration
	// isWaitReported is set once the wait in the current round was reported.
	isWaitReported bool
	// messages and bytes count what was sent to other hosts. resentBytes counts the bytes of
	// requests and content that were sent again; bytes doesn't include them.
	messages, bytes, resentBytes int
	// contentResends is how often content had been sent again at the last call of
	// isContentResend.
	contentResends int
}

// isContentResend reports whether the content that is being sent was sent before. It compares
// resends, the number of times that the coordinator has sent content again, with that of the
// last call.
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

// enter records that the coordinator is in the given round.
func (s *ballotStats) enter(round expertmap.Round, now time.Time) {
	if round == s.round {
		return
	}
	if !s.roundStarted.IsZero() {
		s.durations[s.round] += now.Sub(s.roundStarted)
	}
	s.round, s.roundStarted, s.isWaitReported = round, now, false
}

// waitReportDelay is how long a round may take before its wait is reported. Participants answer at once.
const waitReportDelay = time.Second

// takeWait returns how long the current round has taken, once it has taken waitReportDelay, and only once
// in a round. It returns 0 otherwise.
func (s *ballotStats) takeWait(now time.Time) time.Duration {
	wait := now.Sub(s.roundStarted)
	if s.roundStarted.IsZero() || s.isWaitReported || wait < waitReportDelay {
		return 0
	}
	s.isWaitReported = true
	return wait
}

// orderTime returns how long the arm and commit rounds of the ballot took together.
func (s *ballotStats) orderTime() time.Duration {
	return s.durations[expertmap.Arming] + s.durations[expertmap.Committing]
}

// attrs returns the log attributes that describe the ballot.
func (s *ballotStats) attrs() []any {
	out := []any{"messages", s.messages, "sent_bytes", s.bytes, "repeated_bytes", s.resentBytes}
	for round, took := range s.durations {
		if took > 0 {
			out = append(out, slog.Int64(expertmap.Round(round).String()+"_ms", took.Milliseconds()))
		}
	}
	return out
}

// pauseMeter measures how long changes pause the ranks of this host before the armed step.
type pauseMeter struct {
	// armedStep is the step of the change that the ranks are armed with; 0 if none.
	armedStep uint64
	// pausedMS counts milliseconds.
	pausedMS metrics.Counter
}

// observe records the status of an engine. It must be called before the step timer observes the
// same status. If the engine has started the armed step since the last status, observe returns
// that step and how much later than predicted it started; otherwise it returns 0.
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
