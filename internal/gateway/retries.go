package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// retryRequestTimeout bounds a request for retries. The leading control host reserves them in the log,
// which takes a round trip between data centres and a sync.
const retryRequestTimeout = 500 * time.Millisecond

// errRetryEnded is the reason for not sending a retry that has waited for longer than it may be sent.
var errRetryEnded = errors.New("the retry is not within the budget any more")

// countRequest counts a caller's request to a service for its retry budget.
func (g *Gateway) countRequest(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.CountRequest(name, g.now())
}

// takeRetry takes a retry for the next attempt from the budget, and waits for an answer of the control
// hosts if the host's own requests pay for none. It reports whether the call has a retry.
func (c *call) takeRetry(ctx context.Context) bool {
	g := c.g
	for {
		g.mu.Lock()
		r, ok := g.scheduler.TakeRetry(c.service.Name, g.now())
		mayWait := !ok && g.scheduler.RetriesMayBeGranted(c.service.Name, g.now())
		granted := g.retriesGranted
		g.requestRetries()
		g.mu.Unlock()
		if ok {
			c.retry = &r
			return true
		}
		if !mayWait || !pause.UntilClosed(ctx, granted, time.Until(c.deadline)-minTimeForAttempt) {
			return false
		}
	}
}

// takeLeaveRetry takes over the retry that was taken when an attempt had to leave its upstream, if there is
// one.
func (c *call) takeLeaveRetry(reserved *reservation) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if r, ok := reserved.TakeLeaveRetry(); ok {
		c.retry = &r
	}
}

// returnRetry gives back the retry of the call if it was not sent.
func (c *call) returnRetry() {
	if c.retry == nil {
		return
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.scheduler.ReturnRetry(c.service.Name, *c.retry, c.g.now())
	c.retry = nil
}

// useRetry uses the retry of the call for an attempt of which the first byte is sent now. A first attempt
// needs none. It returns errRetryEnded if the retry has ended and there is no other.
func (c *call) useRetry() error {
	if c.attempts <= 1 {
		return nil
	}
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspensions.Check() {
		g.scheduler.DropRetries()
	}
	if c.retry != nil && g.scheduler.SendRetry(c.service.Name, *c.retry, g.now()) {
		c.retry = nil
		return nil
	}
	if c.retry != nil {
		g.scheduler.ReturnRetry(c.service.Name, *c.retry, g.now())
		c.retry = nil
	}
	if r, ok := g.scheduler.TakeRetry(c.service.Name, g.now()); ok && g.scheduler.SendRetry(c.service.Name, r, g.now()) {
		return nil
	}
	return errRetryEnded
}

// requestRetries asks for the retries that requests have missed. The caller holds mu.
func (g *Gateway) requestRetries() {
	for _, r := range g.scheduler.TakeRetryRequests(g.now()) {
		go g.awaitRetries(g.now(), &wire.RetryRequest{Service: r.Service, Count: r.Count})
	}
}

// awaitRetries sends a request for retries at the given time and applies the answer.
func (g *Gateway) awaitRetries(askedAt time.Duration, m *wire.RetryRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), retryRequestTimeout)
	defer cancel()
	answer, err := g.cfg.RequestRetries(ctx, m)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.counts.increment("retries.unanswered")
		g.cfg.Log.Info("no retries granted: only the requests of this host pay for retries", "service", m.Service, "error", err.Error())
		g.scheduler.RetriesUnanswered(m.Service, g.now())
	} else {
		g.scheduler.AddRetries(m.Service, answer.Count, askedAt, time.Duration(answer.AgainMS)*time.Millisecond, g.now())
	}
	close(g.retriesGranted)
	g.retriesGranted = make(chan struct{})
}

// LogRetries logs and counts what was decided on retries since the last call, for each service for which
// a retry was wanted.
func (g *Gateway) LogRetries() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.scheduler.TakeRetryReports(g.now()) {
		g.counts.add("retries.taken", r.Taken)
		g.counts.add("retries.missed", r.Missed)
		g.counts.add("retries.sent", r.Sent)
		g.counts.add("retries.granted", r.Granted)
		g.cfg.Log.Info("retry budget used", "service", r.Service, "taken", r.Taken, "missed", r.Missed, "sent", r.Sent,
			"returned", r.Returned, "granted", r.Granted, "own", r.Own, "unused", r.Unused, "grantable", r.IsGrantable)
	}
}
