// Package verdict states whether a request may have run at an upstream.
package verdict

import (
	"time"

	"github.com/pkg/errors"
)

// Header is the response header that carries the verdict to the caller.
const Header = "Sassafraspost-Verdict"

// Verdict is what the system knows about the execution of a request.
type Verdict uint8

const (
	// MayHaveRun means that the request may have reached an upstream. It is the
	// zero value: what is not known counts as possibly run.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream has run or ever will run the request.
	NotRun
	// Ran means that an upstream has run the request.
	Ran
)

var names = map[Verdict]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the form used in headers and logs.
func (v Verdict) String() string { return names[v] }

// Parse reads the form that String writes.
func Parse(s string) (Verdict, error) {
	for v, name := range names {
		if name == s {
			return v, nil
		}
	}
	return MayHaveRun, errors.Errorf("unknown verdict %q", s)
}

// Code names the reason of a failure for callers and metrics.
type Code string

// The reasons that a request can fail with.
const (
	CodeBadRequest     Code = "bad-request"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeNotFound       Code = "not-found"
	CodeConflict       Code = "conflict"
	CodeKeyReused      Code = "key-reused"
	CodeInProgress     Code = "in-progress"
	CodeTooLarge       Code = "too-large"
	CodeOverloaded     Code = "overloaded"
	CodeLimited        Code = "limited"
	CodeDeadline       Code = "deadline"
	CodeNoUpstream     Code = "no-upstream"
	CodeNoQuorum       Code = "no-quorum"
	CodeLeaving        Code = "leaving"
	CodeUpstreamFailed Code = "upstream-failed"
	CodeQuarantined    Code = "quarantined"
	CodeCancelled      Code = "cancelled"
	CodeInternal       Code = "internal"
)

// Error is a failure together with what it says about execution.
type Error struct {
	Verdict Verdict
	Code    Code
	Text    string
	// RetryAfter is how long the caller should wait before it asks again; zero
	// where asking again does not help.
	RetryAfter time.Duration
	Cause      error
}

// New returns an Error without a cause.
func New(v Verdict, code Code, text string) *Error {
	return &Error{Verdict: v, Code: code, Text: text}
}

// Error returns the text for logs.
func (e *Error) Error() string {
	s := string(e.Code) + " (" + e.Verdict.String() + "): " + e.Text
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetryAfter returns a copy of e with a RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// FromError returns the Error in the chain of err. An error of another type may have run.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Code: CodeInternal, Text: "unexpected failure", Cause: err}
}
