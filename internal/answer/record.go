package answer

import (
	"context"
	"time"
	"unicode/utf8"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// contentType is the only header field of a recorded response.
const contentType = "Content-Type"

// Recorded returns a complete response in the form in which it is recorded under its idempotency key, which keeps
// of the header the Content-Type only. It returns nil if that field is not valid UTF-8: such a response can't be
// stored, and a repetition must not get a changed one.
func Recorded(status int, header []wire.Field, body []byte) *wire.Response {
	r := &wire.Response{Status: status, Body: body}
	for _, f := range header {
		if f.Name != contentType {
			continue
		}
		if !utf8.ValidString(f.Value) {
			return nil
		}
		r.Header = append(r.Header, f)
	}
	return r
}

// Recorder stores the outcomes of claimed calls through consensus. A claim reserves
// the idempotency key of a call, so that the call runs only once.
type Recorder interface {
	Finish(ctx context.Context, r *wire.FinishRequest) error
}

const (
	// recordAttempts is how often an outcome is sent. The wait after the first attempt is
	// initialRecordDelay, and it doubles after each further attempt. All attempts together last
	// longer than an election of a leader.
	recordAttempts     = 6
	initialRecordDelay = 500 * time.Millisecond
	recordTimeout      = time.Second
)

// Record sends an outcome, retrying over about 16 s, and reports whether it was stored. A late
// outcome is still correct, because its attempt is over and no other attempt has the same id.
// With resendAlways the outcome is sent again after it was stored, in case the claim itself
// arrives after its outcome.
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
