// Package verdict defines the errors of request handling. Each says whether the request may have
// run at an upstream, so that a caller knows whether it is safe to send the request again.
package verdict

import (
	"time"

	"github.com/pkg/errors"
)

// Header is the response header that carries the verdict to the caller.
const Header = "Sassafraspost-Verdict"

// Verdict says what is known about the execution of a request.
type Verdict uint8

const (
	// MayHaveRun means that the request may have reached an upstream. It is the zero value, so
	// that a request whose execution is unknown counts as possibly run.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream has run or ever will run the request.
	NotRun
	// Ran means that an upstream has run the request.
	Ran
)

var names = map[Verdict]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the text used in headers and logs.
func (v Verdict) String() string { return names[v] }

// Parse is the inverse of String.
func Parse(s string) (Verdict, error) {
	for v, name := range names {
		if name == s {
			return v, nil
		}
	}
	return MayHaveRun, errors.Errorf("unknown verdict %q", s)
}

// Code is a machine-readable failure reason, for callers and metrics.
type Code string

// The failure reasons of a request.
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
	CodeDraining       Code = "leaving"
	CodeUpstreamFailed Code = "upstream-failed"
	CodeQuarantined    Code = "quarantined"
	CodeCancelled      Code = "cancelled"
	CodeInternal       Code = "internal"
)

// Error is a failure and the verdict on the execution of the failed request.
type Error struct {
	Verdict Verdict
	Code    Code
	Text    string
	// RetryAfter is how long the caller should wait before it sends the request again; zero
	// means that a retry does not help.
	RetryAfter time.Duration
	Cause      error
}

// New returns an Error without a cause.
func New(v Verdict, code Code, text string) *Error {
	return &Error{Verdict: v, Code: code, Text: text}
}

// Error returns code, verdict and text, and the text of the cause if there is one. It is meant
// for logs.
func (e *Error) Error() string {
	s := string(e.Code) + " (" + e.Verdict.String() + "): " + e.Text
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetryAfter returns a copy of e whose RetryAfter is d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// FromError returns the Error in the chain of err. If there is none, it returns one with the
// verdict MayHaveRun, since an unknown failure proves nothing about execution.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Code: CodeInternal, Text: "unexpected failure", Cause: err}
}
