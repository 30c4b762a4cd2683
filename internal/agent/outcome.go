package agent

import (
	"net/http"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// maxRecordedBytes bounds the body of an answer that is recorded, in bytes.
	maxRecordedBytes = 64 << 10
	// maxUndelivered bounds the answers that are kept for hearSpan.
	maxUndelivered = 1024
	// deliveryTimeout is how long after an answer the loss of its session still counts as
	// not heard: that of a frozen host ends within it.
	deliveryTimeout = 5 * time.Second
)

// recording keeps the answer of a claimed call, so that its outcome can be recorded
// where no entry host hears it. Without a claim or a recorder it keeps nothing.
type recording struct {
	isEnabled bool
	body      []byte
	// isTooLarge tells that the body is over maxRecorded and left out.
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

// recordIfUndelivered records a whole answer whose session is lost by its end or soon
// after. Where the entry host has recorded it too, that one stands.
func (a *Agent) recordIfUndelivered(at *attempt, resp *http.Response, r *recording) {
	if !r.isEnabled {
		return
	}
	f := &wire.FinishRequest{
		Workspace: at.dispatch.Claim.Workspace,
		Key:       at.dispatch.Claim.Key,
		Attempt:   at.dispatch.Attempt,
		Verdict:   uint8(verdict.Ran),
	}
	if !r.isTooLarge {
		f.Answer = &wire.Answer{Status: resp.StatusCode, Header: headerFields(resp.Header), Body: r.body}
	}
	select {
	case a.undelivered <- struct{}{}:
	default:
		a.counters.unreported.Inc(1)
		return
	}
	go func() {
		defer func() { <-a.undelivered }()
		span := time.NewTimer(deliveryTimeout)
		defer span.Stop()
		select {
		case <-at.session.Done():
			if !answer.Record(a.cfg.Recorder, f, false) {
				a.counters.unreported.Inc(1)
			}
		case <-span.C:
		}
	}()
}
