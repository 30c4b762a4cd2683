package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// refuseQuarantined is the final answer to a request that is held, the same at each host. This time
// it has not run; it is not invited back.
func (c *call) refuseQuarantined() error {
	c.g.cfg.Quarantine.Refused()
	c.warn("request refused: it is held", "fingerprint", c.fingerprint.String(), "workspace", c.workspace)
	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "upstreams ended while they ran this request")
}

// probeAfterFailure finds out whether an upstream has ended under an attempt that may have run there, or
// only broke off. Where it has ended the request goes to no other one: it may be what ended
// it, and its caller, if it asks again, finds out more by then. One that has said that it
// leaves ends by itself.
func (c *call) probeAfterFailure(ctx context.Context, reserved *reservation, err error) {
	e := verdict.Of(err)
	if e.Verdict == verdict.NotRun || e.Code != verdict.CodeUpstreamFailed || ctx.Err() != nil || c.g.isDraining(reserved) {
		return
	}
	result := c.g.cfg.Client.Probe(dispatch.Target{
		ID: reserved.ID(), Address: reserved.Address(), MaxConnections: c.g.maxConnections(c.service),
	})
	c.g.counts.increment("upstreams-looked-at." + result.String())
	run := quarantine.Run{
		Fingerprint: c.fingerprint, Workspace: c.workspace, Request: c.attemptID,
		End: quarantine.End{Upstream: reserved.ID(), Born: reserved.Born()}, Service: c.service.Name, Address: reserved.Address(), Ran: time.Since(c.sentAt),
	}
	if result != dispatch.Ended {
		c.g.cfg.Quarantine.Broke(run, result == dispatch.Alive)
		return
	}
	c.g.cfg.Quarantine.Ended(run)
	c.isFinal = true
	if c.service.Engine != nil {
		// Its group is out until it is back.
		c.last = e.After(schedule.MaxRetryAfter(time.Until(c.deadline)))
	}
}
