package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// refuseHeld is the final answer to a request that is held, the same at each host. This time
// it has not run; it is not invited back.
func (c *call) refuseHeld() error {
	c.g.cfg.Quarantine.Refused()
	c.warn("request refused: it is held", "fingerprint", c.fingerprint.String(), "workspace", c.workspace)
	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "upstreams ended while they ran this request")
}

// look finds out whether an upstream has ended under an attempt that may have run there, or
// only broke off. Where it has ended the request goes to no other one: it may be what ended
// it, and its caller, if it asks again, finds out more by then. One that has said that it
// leaves ends by itself.
func (c *call) look(ctx context.Context, hold *ticket, err error) {
	e := verdict.FromError(err)
	if e.Verdict == verdict.NotRun || e.Code != verdict.CodeUpstreamFailed || ctx.Err() != nil || c.g.isLeaving(hold) {
		return
	}
	presence := c.g.cfg.Client.Look(dispatch.Target{
		ID: hold.ID(), Address: hold.Address(), Connections: c.g.connections(c.service),
	})
	c.g.counts.count("upstreams-looked-at." + presence.String())
	run := quarantine.Run{
		Fingerprint: c.fingerprint, Workspace: c.workspace, Request: c.attempt,
		End: quarantine.End{Upstream: hold.ID(), Born: hold.Born()}, Service: c.service.Name, Address: hold.Address(), Ran: time.Since(c.sent),
	}
	if presence != dispatch.Ended {
		c.g.cfg.Quarantine.Broke(run, presence == dispatch.Present)
		return
	}
	c.g.cfg.Quarantine.Ended(run)
	c.isGivenUp = true
	if c.service.Engine != nil {
		// Its group is out until it is back.
		c.last = e.WithRetryAfter(schedule.MaxRetryAfter(time.Until(c.deadline)))
	}
}
