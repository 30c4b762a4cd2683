package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// drainMargin is how long before Drain gives up the running requests are ended, so that their callers still get
// responses.
const drainMargin = 500 * time.Millisecond

// errLeaving is the reason for not reading a body.
var errLeaving = errors.New("entry: the server leaves")

// drainStages are contexts that end as the server shuts down.
type drainStages struct {
	// leaving ends when Drain is called, ending drainMargin before it gives up.
	leaving, ending context.Context
	leave, end      context.CancelFunc
}

func newDrainStages() drainStages {
	var d drainStages
	d.leaving, d.leave = context.WithCancel(context.Background())
	d.ending, d.end = context.WithCancel(context.Background())
	return d
}

// endBefore ends the requests that still run drainMargin before the deadline of ctx, if it has one.
func (d *drainStages) endBefore(ctx context.Context) (stop func()) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(deadline)-drainMargin, d.end)
	return func() { timer.Stop() }
}

// limitReading makes the reading of a body fail once the server leaves, since its request would be refused anyway.
// stop ends that; it returns false if the server leaves already.
func (d *drainStages) limitReading(rc *http.ResponseController) (stop func() bool) {
	return context.AfterFunc(d.leaving, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
}

// Drain refuses new requests and those whose bodies are still being read, with the verdict NotRun, and waits until
// all others, streams included, have ended. If ctx has a deadline, it ends those that have no response shortly before.
// If ctx ends first, Drain returns its error. Drain is needed in addition to http.Server.Shutdown, since requests still
// arrive on connections that are kept alive.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.drain.leave()
	defer s.drain.endBefore(ctx)()
	for {
		s.mu.Lock()
		n := s.running
		s.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-s.idle:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "entry: %d requests are still running", n)
		}
	}
}

// drainingError is the refusal of a request that has not run.
func (s *Server) drainingError() *verdict.Error {
	return notRun(verdict.CodeDraining, "entry host is shutting down").WithRetryAfter(s.cfg.RetryAfter)
}

// explainEnd returns the error of a request with its reason if the server has ended the request.
func (s *Server) explainEnd(e *verdict.Error) *verdict.Error {
	if s.drain.ending.Err() != nil && e.Code == verdict.CodeCancelled && e.Verdict == verdict.NotRun {
		return s.drainingError()
	}
	return e
}
