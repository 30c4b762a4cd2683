package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// refuseQuarantined returns the final error for a quarantined request, which is the same on
// every host. The request was not sent this time. The response has no Retry-After, because the
// caller is not meant to send the request again.
func (c *call) refuseQuarantined() error {
	c.g.cfg.Quarantine.CountRefusal()
	c.warn("request refused: it is held", "fingerprint", c.content.Request.String(), "parts", shortForms(c.content.Parts), "workspace", c.workspace)
	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "upstreams ended while they ran this request, or others with a part of its prompt")
}

// recordAnswered reports a complete response of an upstream to the quarantine. One that reports a
// failure says nothing about the parts of the prompt.
func (c *call) recordAnswered(status int) {
	content := c.content
	if status/100 != 2 {
		content.Parts = nil
	}
	c.g.cfg.Quarantine.Answered(content)
}

// shortForms returns the short forms of fingerprints, for log lines.
func shortForms(all []quarantine.Fingerprint) []string {
	out := make([]string, 0, len(all))
	for _, f := range all {
		out = append(out, f.Short())
	}
	return out
}

// probeAfterFailure finds out whether the upstream of a failed attempt has ended or only broke
// off the response, if the attempt may have run. If the upstream has ended, the request is not
// sent to another one, because it may be what crashed the upstream. If the caller retries, the
// quarantine has more evidence by then. An upstream that has announced that it is draining is
// not probed, because its end is expected.
func (c *call) probeAfterFailure(ctx context.Context, reserved *reservation, err error) {
	e := verdict.FromError(err)
	if e.Verdict == verdict.NotRun || e.Code != verdict.CodeUpstreamFailed || ctx.Err() != nil || c.g.isDraining(reserved) {
		return
	}
	result := c.g.cfg.Client.Probe(dispatch.Target{
		ID: reserved.ID(), Address: reserved.Address(), MaxConnections: c.g.maxConnections(c.service),
	})
	c.g.counts.increment("upstreams-looked-at." + result.String())
	run := quarantine.Attempt{
		Content: c.content, Workspace: c.workspace, RequestID: c.attemptID,
		Incarnation: quarantine.Incarnation{Upstream: reserved.ID(), StartedAt: reserved.StartedAt()}, Service: c.service.Name, Address: reserved.Address(), Ran: time.Since(c.sentAt),
	}
	if result != dispatch.UpstreamCrashed {
		c.g.cfg.Quarantine.AttemptFailed(run, result == dispatch.Alive)
		return
	}
	c.warn("upstream ended during the attempt", "upstream", reserved.ID(), "fingerprint", c.content.Request.String(), "parts", shortForms(c.content.Parts),
		"ran_ms", run.Ran.Milliseconds())
	c.g.cfg.Quarantine.UpstreamCrashed(run)
	c.isFinal = true
	if c.service.Engine != nil {
		// The engine's group does not serve until the engine is back.
		c.last = e.WithRetryAfter(schedule.MaxRetryAfter(time.Until(c.deadline)))
	}
}
