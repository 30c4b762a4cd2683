package peer

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// refusalLogInterval is the shortest time between two log lines about messages of the same kind
	// that the same host sent, or that are sent to it.
	refusalLogInterval = 10 * time.Second
	// maxRefusalSources limits the number of pairs of host and kind that are logged within refusalLogInterval.
	maxRefusalSources = 1024
)

// refusals counts and logs messages that are refused because of their encoding.
type refusals struct {
	message string
	counter metrics.Counter
	log     *slog.Logger
	// mu guards last.
	mu   sync.Mutex
	last map[refusalSource]*refusalLine
}

// refusalSource is the peer of a refused message, and the message's kind.
type refusalSource struct {
	host string
	kind wire.Kind
}

// refusalLine says when the last line about a source was logged, and how many messages were refused
// since.
type refusalLine struct {
	at    time.Time
	count int
}

func newRefusals(message string, counter metrics.Counter, log *slog.Logger) *refusals {
	return &refusals{message: message, counter: counter, log: log, last: make(map[refusalSource]*refusalLine)}
}

// add counts a refused message and logs it, unless a line about its source was logged within
// refusalLogInterval.
func (r *refusals) add(host string, kind wire.Kind, reason error, now time.Time) {
	r.counter.Inc(1)
	if count := r.countUntold(refusalSource{host: host, kind: kind}, now); count > 0 {
		r.log.Warn(r.message, "kind", kind.String(), "peer", host, "count", count, "error", reason.Error())
	}
}

// countUntold returns the number of refused messages of a source that no line tells of, or 0 if it is too
// early for another line.
func (r *refusals) countUntold(source refusalSource, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	line, ok := r.last[source]
	if !ok {
		if len(r.last) >= maxRefusalSources {
			maps.DeleteFunc(r.last, func(_ refusalSource, l *refusalLine) bool { return now.Sub(l.at) >= refusalLogInterval })
		}
		if len(r.last) >= maxRefusalSources {
			return 0
		}
		r.last[source] = &refusalLine{at: now}
		return 1
	}
	line.count++
	if now.Sub(line.at) < refusalLogInterval {
		return 0
	}
	count := line.count
	line.at, line.count = now, 0
	return count
}
