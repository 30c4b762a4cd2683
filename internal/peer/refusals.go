package peer

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/telemetry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// refusals counts and logs messages that are refused because of their encoding.
type refusals struct {
	message string
	counter metrics.Counter
	log     *slog.Logger
	lines   telemetry.LineLimit
}

func newRefusals(message string, counter metrics.Counter, log *slog.Logger) *refusals {
	return &refusals{message: message, counter: counter, log: log}
}

// add counts a refused message, and logs it within the limit for its kind and the host that sent it or that it is
// for. All kinds that this build does not know count as one.
func (r *refusals) add(host string, kind wire.Kind, reason error, now time.Time) {
	r.counter.Inc(1)
	key := host
	if kind.IsKnown() {
		key += " " + kind.String()
	}
	if count := r.lines.Count(key, now); count > 0 {
		r.log.Warn(r.message, "kind", kind.String(), "peer", host, "count", count, "error", reason.Error())
	}
}
