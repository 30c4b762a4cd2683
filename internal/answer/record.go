package answer

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Recorder commits the outcomes of claimed calls.
type Recorder interface {
	Finish(ctx context.Context, r *wire.FinishRequest) error
}

const (
	// recordAttempts is how often an outcome is sent; recordDelay is the wait after the
	// first try, and each later wait is twice the one before. Together they outlast
	// an election.
	recordAttempts     = 6
	initialRecordDelay = 500 * time.Millisecond
	recordTimeout      = time.Second
)

// Record sends an outcome in several tries, over about 16 s, and reports whether it
// was taken. An outcome stays true however late it arrives: its attempt is over and
// no other has its id. Where goOn is set it is sent again after it was taken, for a
// claim that may arrive after its own end.
func Record(recorder Recorder, f *wire.FinishRequest, resendAlways bool) bool {
	recorded := false
	delay := initialRecordDelay
	for try := range recordAttempts {
		if try > 0 {
			time.Sleep(delay)
			delay *= 2
		}
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		err := recorder.Finish(ctx, f)
		cancel()
		recorded = recorded || err == nil
		if recorded && !resendAlways {
			return true
		}
	}
	return recorded
}
