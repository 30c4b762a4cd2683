package entry

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// heldBack returns why a request is sent to no upstream, nil if it is. This time it has not
// run; it is not invited back.
func (c *call) heldBack() error {
	if c.s.cfg.Quarantine.Verdict(c.fingerprint) != quarantine.Quarantined {
		return nil
	}
	c.s.cfg.Quarantine.CountRefusal()
	return notRun(verdict.CodeQuarantined, "upstreams ended while they ran this request")
}

// refuseEarly refuses a request that is held before it waits for admission. The key of a
// non-idempotent one is looked at first: an earlier sending may have an answer.
func (c *call) refuseEarly() error {
	if !c.plan.Idempotent {
		return nil
	}
	return c.heldBack()
}

// hasEnded reports whether an attempt failed since its upstream ended under it. The call goes
// to no other one then: it may be what ended it.
func hasEnded(err error) bool {
	var ended *answer.UpstreamEndedError
	return errors.As(err, &ended)
}

// note tells the quarantine how an attempt ended.
func (c *call) note(a *attempt, err error) {
	var ended *answer.UpstreamEndedError
	switch {
	case err == nil:
		c.s.cfg.Quarantine.Answered(c.fingerprint)
	case errors.As(err, &ended):
		c.s.cfg.Quarantine.UpstreamCrashed(quarantine.Attempt{
			Fingerprint: c.fingerprint, Workspace: c.plan.Workspace, Request: c.q.id,
			Incarnation: quarantine.Incarnation{Upstream: a.upstream.Name, Born: ended.At}, Service: c.plan.Pool, Ran: time.Since(a.began),
		})
	}
}
