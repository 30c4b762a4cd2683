package entry

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// maxLateFinishes bounds the outcomes that are recorded beside their answers.
	maxLateFinishes = 1024
	// finishTries is how often an outcome is sent; finishDelay is the wait after the
	// first try, and each later wait is twice the one before. Together they outlast
	// an election.
	finishTries = 6
	finishDelay = 500 * time.Millisecond
)

// finishLater records an outcome beside the answer, in several tries. An outcome
// stays true however late it arrives: its attempt is over and no other has its id.
// Beyond the bound, and after the last try, the claim ends as unknown.
func (s *Server) finishLater(f *wire.FinishRequest) {
	select {
	case s.lateFinishes <- struct{}{}:
	default:
		s.counters.unrecorded.Inc(1)
		return
	}
	held := share{budget: &s.buffered}
	if f.Answer != nil && !held.grow(int64(len(f.Answer.Body))) {
		f.Answer = nil
	}
	go func() {
		defer func() { <-s.lateFinishes }()
		defer held.release()
		s.keepFinishing(f)
	}()
}

// keepFinishing goes on after a success where the attempt has not run: its claim may
// be on its way still, and would be held by nobody if it arrived after the finish.
func (s *Server) keepFinishing(f *wire.FinishRequest) {
	isClaimUnclear := verdict.Verdict(f.Verdict) == verdict.NotRun
	recorded := false
	delay := finishDelay
	for try := range finishTries {
		if try > 0 {
			time.Sleep(delay)
			delay *= 2
		}
		ctx, cancel := context.WithTimeout(context.Background(), s.cfg.FinishTimeout)
		err := s.cfg.Claims.Finish(ctx, f)
		cancel()
		recorded = recorded || err == nil
		if recorded && !isClaimUnclear {
			return
		}
	}
	if !recorded {
		s.counters.unrecorded.Inc(1)
	}
}
