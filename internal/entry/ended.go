package entry

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// checkQuarantine returns why a request is sent to no upstream, nil if it is. This time it has not
// run; it is not invited back.
func (c *call) checkQuarantine() error {
	if c.s.cfg.Quarantine.Verdict(c.fingerprint) != quarantine.Held {
		return nil
	}
	c.s.cfg.Quarantine.Refused()
	return notRun(verdict.CodeQuarantined, "upstreams ended while they ran this request")
}

// checkQuarantineEarly refuses a request that is held before it waits for admission. The key of a
// non-idempotent one is looked at first: an earlier sending may have an answer.
func (c *call) checkQuarantineEarly() error {
	if !c.plan.Idempotent {
		return nil
	}
	return c.checkQuarantine()
}

// hasUpstreamCrashed reports whether an attempt failed since its upstream ended under it. The call goes
// to no other one then: it may be what ended it.
func hasUpstreamCrashed(err error) bool {
	var ended *answer.UpstreamEndedError
	return errors.As(err, &ended)
}

// reportToQuarantine tells the quarantine how an attempt ended.
func (c *call) reportToQuarantine(a *attempt, err error) {
	var ended *answer.UpstreamEndedError
	switch {
	case err == nil:
		c.s.cfg.Quarantine.Answered(c.fingerprint)
	case errors.As(err, &ended):
		c.s.cfg.Quarantine.Ended(quarantine.Run{
			Fingerprint: c.fingerprint, Workspace: c.plan.Workspace, Request: c.req.id,
			End: quarantine.End{Upstream: a.upstream.Name, Born: ended.At}, Service: c.plan.Pool, Ran: time.Since(a.began),
		})
	}
}
