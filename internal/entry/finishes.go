package entry

import (
	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// maxBackgroundFinishes bounds the outcomes that are recorded beside their answers.
const maxBackgroundFinishes = 1024

// finishInBackground records an outcome beside the answer, in several tries. Beyond the
// bound, and after the last try, the claim ends as unknown.
func (s *Server) finishInBackground(f *wire.FinishRequest) {
	select {
	case s.backgroundFinishes <- struct{}{}:
	default:
		s.counters.unrecorded.Inc(1)
		return
	}
	held := byteReservation{budget: &s.memory}
	if f.Answer != nil && !held.grow(int64(len(f.Answer.Body))) {
		f.Answer = nil
	}
	go func() {
		defer func() { <-s.backgroundFinishes }()
		defer held.release()
		// The claim of an attempt that has not run may be on its way still, and would
		// be held by nobody if it arrived after the finish.
		isClaimUnclear := verdict.Verdict(f.Verdict) == verdict.NotRun
		if !answer.Record(s.cfg.Claims, f, isClaimUnclear) {
			s.counters.unrecorded.Inc(1)
		}
	}()
}
