package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// joinRefusals logs why a replica is not admitted: each new reason, and as a warning once in
// joinReportInterval one that lasts. It is not safe for concurrent use.
type joinRefusals struct {
	log     *slog.Logger
	replica consensus.ReplicaID
	refused metrics.Counter
	// reason is the text of the last refusal, empty after a request that was accepted. since is when the
	// refusals began, reported when one was logged last.
	reason          string
	since, reported time.Time
}

// observe records the outcome of one request to join.
func (r *joinRefusals) observe(err error, now time.Time) {
	if err == nil {
		r.reason = ""
		return
	}
	r.refused.Inc(1)
	e := verdict.FromError(err)
	reason := string(e.Code) + ": " + e.Text
	if r.reason == "" {
		r.since = now
	}
	level, lasts := slog.LevelInfo, now.Sub(r.since) >= joinReportInterval
	if lasts {
		level = slog.LevelWarn
	}
	if reason == r.reason && (!lasts || now.Sub(r.reported) < joinReportInterval) {
		return
	}
	r.reason, r.reported = reason, now
	r.log.Log(context.Background(), level, "replica is refused as a member", "replica", r.replica, "reason", reason, "ms", now.Sub(r.since).Milliseconds())
}
