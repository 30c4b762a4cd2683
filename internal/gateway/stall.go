package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// stalledPatience is how long a caller is left without an event before its request is given up
// while its group does not serve. An engine whose group breaks refuses by itself before
// that; one whose group only stands still says nothing, and can't drop a request before it
// goes on. Callers leave a stream that is silent for two seconds.
const stalledPatience = 1700 * time.Millisecond

// errStalled ends an attempt in a group that does not serve.
var errStalled = errors.New("the group does not serve")

// unheard is an attempt that waits for the head of its answer.
type unheard struct {
	// since is when the request came, or its stream was to go on elsewhere.
	since time.Duration
	end   context.CancelCauseFunc
}

// listen lets an attempt be ended while its group does not serve. The caller calls stop
// once the head of the answer is there.
func (g *Gateway) listen(t *ticket, since time.Duration, end context.CancelCauseFunc) (stop func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(t.service)
	if s.unheard == nil {
		s.unheard = map[*ticket]unheard{}
	}
	s.unheard[t] = unheard{since: since, end: end}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(s.unheard, t)
	}
}

// endStalled ends the attempts that have waited too long in a group that does not serve.
// The caller holds mu.
func (g *Gateway) endStalled(name string, s *service) {
	if len(s.unheard) == 0 || !g.isClosed(name) {
		return
	}
	now := g.now()
	for _, u := range s.unheard {
		if now-u.since >= stalledPatience {
			u.end(errStalled)
		}
	}
}

// stalled is the error of a request that was given up for its group.
func stalled() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, errStalled.Error()).After(outageRetryAfter)
}
