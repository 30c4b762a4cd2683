package agent

import (
	"net/http"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// maxRecorded bounds the body of an answer that is recorded, in bytes.
	maxRecorded = 64 << 10
	// maxUnheard bounds the answers that are kept for hearSpan.
	maxUnheard = 1024
	// hearSpan is how long after an answer the loss of its session still counts as
	// not heard: that of a frozen host ends within it.
	hearSpan = 5 * time.Second
)

// recording keeps the answer of a claimed call, so that its outcome can be recorded
// where no entry host hears it. Without a claim or a recorder it keeps nothing.
type recording struct {
	isOn bool
	body []byte
	// isLarge tells that the body is over maxRecorded and left out.
	isLarge bool
}

func (r *recording) add(data []byte) {
	if !r.isOn || r.isLarge {
		return
	}
	if len(r.body)+len(data) > maxRecorded {
		r.isLarge, r.body = true, nil
		return
	}
	r.body = append(r.body, data...)
}

// recordUnheard records a whole answer whose session is lost by its end or soon
// after. Where the entry host has recorded it too, that one stands.
func (a *Agent) recordUnheard(at *attempt, resp *http.Response, r *recording) {
	if !r.isOn {
		return
	}
	f := &wire.FinishRequest{
		Workspace: at.d.Claim.Workspace,
		Key:       at.d.Claim.Key,
		Attempt:   at.d.Attempt,
		Verdict:   uint8(verdict.Ran),
	}
	if !r.isLarge {
		f.Answer = &wire.Answer{Status: resp.StatusCode, Header: fields(resp.Header), Body: r.body}
	}
	select {
	case a.unheard <- struct{}{}:
	default:
		a.counters.unreported.Inc(1)
		return
	}
	go func() {
		defer func() { <-a.unheard }()
		span := time.NewTimer(hearSpan)
		defer span.Stop()
		select {
		case <-at.s.Done():
			if !answer.Record(a.cfg.Recorder, f, false) {
				a.counters.unreported.Inc(1)
			}
		case <-span.C:
		}
	}()
}
