package entry

import (
	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// maxBackgroundFinishes bounds the outcomes that are being recorded in the background.
const maxBackgroundFinishes = 1024

// finishInBackground records the outcome of a claimed call without delaying the response, and
// retries if recording fails. If too many outcomes are being recorded, or the last retry fails,
// the outcome is dropped and the claim expires with an unknown outcome.
func (s *Server) finishInBackground(f *wire.FinishRequest) {
	select {
	case s.backgroundFinishes <- struct{}{}:
	default:
		s.counters.unrecorded.Inc(1)
		return
	}
	account := s.memory.Open(nil)
	if f.Response != nil && !s.takeResponse(account, int64(len(f.Response.Body))) {
		f.Response = nil
	}
	go func() {
		defer func() { <-s.backgroundFinishes }()
		defer account.Close()
		// The claim of an attempt that did not run may be committed only after this finish,
		// and nothing else would release it. So the finish is sent again even if it succeeds.
		mayClaimCommitLate := verdict.Verdict(f.Verdict) == verdict.NotRun
		if !answer.Record(s.cfg.Claims, f, mayClaimCommitLate) {
			s.counters.unrecorded.Inc(1)
		}
	}()
}
