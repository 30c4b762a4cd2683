package peer

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// NewFailure turns err into the message that carries it.
func NewFailure(err error) *wire.Failure {
	e := verdict.FromError(err)
	return &wire.Failure{
		Verdict:      uint8(e.Verdict),
		Code:         string(e.Code),
		Text:         e.Text,
		RetryAfterMS: uint64(e.RetryAfter / time.Millisecond),
	}
}

// FailureError turns a received failure into a *verdict.Error. A verdict that
// this build does not know counts as MayHaveRun.
func FailureError(f *wire.Failure) *verdict.Error {
	v := verdict.Verdict(f.Verdict)
	if v > verdict.Ran {
		v = verdict.MayHaveRun
	}
	return &verdict.Error{
		Verdict:    v,
		Code:       verdict.Code(f.Code),
		Text:       f.Text,
		RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond,
	}
}

func unwrapFailure(m wire.Message) (wire.Message, bool, error) {
	if f, ok := m.(*wire.Failure); ok {
		return f, true, FailureError(f)
	}
	return m, true, nil
}
