package group

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

// rounds measures one ballot of this host's coordinator: how long each round took, and
// what this host sent for it.
type rounds struct {
	// round is the one that runs, since began.
	round expertmap.Round
	began time.Time
	took  [expertmap.RoundCount]time.Duration
	// messages and bytes are those sent to other hosts, repeated the bytes of what was asked or
	// sent again, which are not among bytes.
	messages, bytes, repeated int
	// again is how often content was sent again.
	again int
}

// isContentAgain takes how often content was sent again by now, and reports whether the last
// one was.
func (r *rounds) isContentAgain(again int) bool {
	before := r.again
	r.again = again
	return again > before
}

// sent counts messages to other hosts.
func (r *rounds) sent(messages, bytes int, isAgain bool) {
	r.messages += messages
	if isAgain {
		r.repeated += bytes
		return
	}
	r.bytes += bytes
}

// enter notes the round that a coordinator is in now.
func (r *rounds) enter(round expertmap.Round, now time.Time) {
	if round == r.round {
		return
	}
	if !r.began.IsZero() {
		r.took[r.round] += now.Sub(r.began)
	}
	r.round, r.began = round, now
}

// orders returns how long the ranks were being armed and let go.
func (r *rounds) orders() time.Duration {
	return r.took[expertmap.Arming] + r.took[expertmap.Committing]
}

// attrs returns what a log line says of the ballot.
func (r *rounds) attrs() []any {
	out := []any{"messages", r.messages, "sent_bytes", r.bytes, "repeated_bytes", r.repeated}
	for round, took := range r.took {
		if took > 0 {
			out = append(out, slog.Int64(expertmap.Round(round).String()+"_ms", took.Milliseconds()))
		}
	}
	return out
}

// holds measures for how long the ranks of this host waited at armed steps.
type holds struct {
	// armed is the step of the change that is ahead, 0 if none.
	armed uint64
	// held counts milliseconds.
	held metrics.Counter
}

// observe takes what an engine says, before its pace does. It returns the step at which
// a change has come into force since the last look, and by how much that step began later
// than the pace lets expect; 0 where none has.
func (h *holds) observe(s expertmap.Status, p *pace, now time.Time) (step uint64, late time.Duration) {
	if h.armed != 0 && s.Step >= h.armed {
		step, late = h.armed, p.late(s.Step, now)
		h.held.Inc(late.Milliseconds())
	}
	h.armed = 0
	if s.Armed != nil {
		h.armed = s.Armed.Step
	}
	return step, late
}
