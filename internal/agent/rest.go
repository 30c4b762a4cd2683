package agent

import (
	"container/heap"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// noteRest records that an upstream which turned a request away with status 503 wants no others
// for the time in Retry-After, backpressure.MaxRest at most. The attempts that wait are refused.
func (a *Agent) noteRest(resp *http.Response) {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return
	}
	rest := time.Duration(min(seconds, backpressure.MaxRest.Seconds()) * float64(time.Second))
	a.mu.Lock()
	defer a.mu.Unlock()
	if until := time.Now().Add(rest); until.After(a.restUntil) {
		a.restUntil = until
	}
	a.counters.rests.Inc(1)
	for len(a.waitQueue) > 0 {
		at := heap.Pop(&a.waitQueue).(*attempt)
		at.stopWatchingContext()
		a.refuseAccepted(at, restError(rest))
	}
}

// checkRest returns the refusal of a call while the upstream rests, nil if it does not. The caller
// must hold mu.
func (a *Agent) checkRest() *verdict.Error {
	left := time.Until(a.restUntil)
	if left <= 0 {
		return nil
	}
	return restError(left)
}

// restError returns the refusal of a call to an upstream that rests for the given time.
func restError(left time.Duration) *verdict.Error {
	return notRun(verdict.CodeOverloaded, "upstream rests").WithRetryAfter(left)
}

// refuseAccepted refuses an attempt that was accepted and has not started. The caller must hold
// mu.
func (a *Agent) refuseAccepted(at *attempt, e *verdict.Error) {
	at.started = true
	a.removeAttempt(at)
	if at.dispatch.Claim != nil {
		a.seenClaims.remove(*at.dispatch.Claim)
	}
	a.refuse(at.session, at.dispatch.Attempt, e)
}
