package agent

import (
	"net/http"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// maxRecordedBytes bounds the size of a response body that is recorded.
	maxRecordedBytes = 64 << 10
	// maxUndelivered bounds the number of responses that are kept for deliveryTimeout.
	maxUndelivered = 1024
	// deliveryTimeout is how long after a response was sent it still counts as undelivered if
	// its session is lost. The session with an entry host that has frozen is closed within
	// this time.
	deliveryTimeout = 5 * time.Second
)

// recording buffers the response body of a call with a claim, so that its outcome can be
// stored if the response is not delivered to an entry host. It is not enabled if the call has
// no claim or the agent has no Recorder.
type recording struct {
	isEnabled bool
	body      []byte
	// isTooLarge is set if the body exceeds maxRecordedBytes. It is then not recorded.
	isTooLarge bool
}

func (r *recording) add(data []byte) {
	if !r.isEnabled || r.isTooLarge {
		return
	}
	if len(r.body)+len(data) > maxRecordedBytes {
		r.isTooLarge, r.body = true, nil
		return
	}
	r.body = append(r.body, data...)
}

// recordIfUndelivered stores the outcome of a complete response if the session over which it was
// sent is lost within deliveryTimeout. If the entry host has stored an outcome too, the entry
// host's is kept.
func (a *Agent) recordIfUndelivered(at *attempt, resp *http.Response, r *recording) {
	if !r.isEnabled {
		return
	}
	outcome := &wire.FinishRequest{
		Workspace: at.dispatch.Claim.Workspace,
		Key:       at.dispatch.Claim.Key,
		Attempt:   at.dispatch.Attempt,
		Verdict:   uint8(verdict.Ran),
	}
	if !r.isTooLarge {
		outcome.Response = answer.Recorded(resp.StatusCode, headerFields(resp.Header), r.body)
	}
	select {
	case a.undelivered <- struct{}{}:
	default:
		a.counters.unreported.Inc(1)
		return
	}
	go func() {
		defer func() { <-a.undelivered }()
		timeout := time.NewTimer(deliveryTimeout)
		defer timeout.Stop()
		select {
		case <-at.session.Done():
			if !answer.Record(a.cfg.Recorder, outcome, false) {
				a.counters.unreported.Inc(1)
			}
		case <-timeout.C:
		}
	}()
}
