package entry

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// checkQuarantine returns an error if the request is in quarantine and must not be sent to any
// upstream. The error has no RetryAfter, since a retry would be refused too.
func (c *call) checkQuarantine() error {
	if c.s.cfg.Quarantine.Verdict(c.content) != quarantine.Quarantined {
		return nil
	}
	c.s.cfg.Quarantine.CountRefusal()
	return notRun(verdict.CodeQuarantined, "upstreams ended while they ran this request")
}

// checkQuarantineEarly refuses a quarantined idempotent request before it waits for admission. A
// non-idempotent request is refused only after its claim was checked, since an earlier request
// with the same key may have a recorded response.
func (c *call) checkQuarantineEarly() error {
	if !c.plan.Idempotent {
		return nil
	}
	return c.checkQuarantine()
}

// hasUpstreamCrashed reports whether an attempt failed because its upstream process ended while it
// ran the request. The call is not sent to another upstream then, since the request may have
// caused the crash.
func hasUpstreamCrashed(err error) bool {
	var ended *answer.UpstreamEndedError
	return errors.As(err, &ended)
}

// reportToQuarantine reports a complete response or a crash of the upstream to the quarantine.
// Other failures say nothing about the request.
func (c *call) reportToQuarantine(a *attempt, err error) {
	var ended *answer.UpstreamEndedError
	switch {
	case err == nil:
		c.s.cfg.Quarantine.Answered(c.content)
	case errors.As(err, &ended):
		c.s.cfg.Quarantine.UpstreamCrashed(quarantine.Attempt{
			Content: c.content, Workspace: c.plan.Workspace, RequestID: c.req.id,
			Incarnation: quarantine.Incarnation{Upstream: a.upstream.Name, StartedAt: ended.At}, Service: c.plan.Pool, Ran: time.Since(a.began),
		})
	}
}
