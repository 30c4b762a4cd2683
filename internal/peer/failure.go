package peer

import (
	"strings"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// NewFailure returns the message that represents err.
func NewFailure(err error) *wire.Failure {
	e := verdict.FromError(err)
	return &wire.Failure{
		Verdict:      uint8(e.Verdict),
		Code:         string(e.Code),
		Text:         strings.ToValidUTF8(e.Text, "\uFFFD"),
		RetryAfterMS: uint64(e.RetryAfter / time.Millisecond),
	}
}

// FailureError returns the error that a received failure represents. A verdict that this
// build does not know becomes MayHaveRun.
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

// unwrapFailure returns the results of Session.Call for a reply. The error is set if the
// reply is a failure.
func unwrapFailure(m wire.Message) (wire.Message, bool, error) {
	if f, ok := m.(*wire.Failure); ok {
		return f, true, FailureError(f)
	}
	return m, true, nil
}
