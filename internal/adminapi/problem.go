package adminapi

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/inifile"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// CodeInvalidDocument means that a document is invalid.
const CodeInvalidDocument verdict.Code = "invalid-document"

// typePrefix followed by a code is the type URI of a problem (RFC 9457).
const typePrefix = "urn:sassafraspost:problem:"

// conflictError is the error of a submission whose base is no longer the current revision.
// winner is the change that made the current one.
type conflictError struct{ winner Conflict }

func (e *conflictError) Error() string { return "another change came first" }

// bodyError means that a request body could not be read completely. The request has not run.
type bodyError struct{ cause error }

func (e *bodyError) Error() string { return "body: " + e.cause.Error() }
func (e *bodyError) Unwrap() error { return e.cause }

// problems converts errors to problem responses (RFC 9457) and counts them by code.
type problems struct{ registry metrics.Registry }

var statusByCode = map[verdict.Code]int{
	verdict.CodeBadRequest:     http.StatusBadRequest,
	verdict.CodeUnauthorized:   http.StatusUnauthorized,
	verdict.CodeForbidden:      http.StatusForbidden,
	verdict.CodeNotFound:       http.StatusNotFound,
	verdict.CodeConflict:       http.StatusConflict,
	verdict.CodeInProgress:     http.StatusConflict,
	verdict.CodeKeyReused:      http.StatusUnprocessableEntity,
	CodeInvalidDocument:        http.StatusUnprocessableEntity,
	verdict.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	verdict.CodeLimited:        http.StatusTooManyRequests,
	verdict.CodeOverloaded:     http.StatusServiceUnavailable,
	verdict.CodeNoQuorum:       http.StatusServiceUnavailable,
	verdict.CodeDraining:       http.StatusServiceUnavailable,
	verdict.CodeNoUpstream:     http.StatusServiceUnavailable,
	verdict.CodeUpstreamFailed: http.StatusBadGateway,
	verdict.CodeDeadline:       http.StatusGatewayTimeout,
}

func statusOf(code verdict.Code) int {
	if status, ok := statusByCode[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// newResponse returns the problem response for an error of the handler or of the generated
// server.
func (p *problems) newResponse(err error) *oas.ProblemStatusCodeWithHeaders {
	verdictErr := classify(err)
	metrics.GetOrRegisterCounter("adminapi.problem."+string(verdictErr.Code), p.registry).Inc(1)
	status := statusOf(verdictErr.Code)
	response := &oas.ProblemStatusCodeWithHeaders{StatusCode: status, Response: oas.Problem{
		Type:    typePrefix + string(verdictErr.Code),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  oas.NewOptString(verdictErr.Text),
		Verdict: oas.ProblemVerdict(verdictErr.Verdict.String()),
		Code:    string(verdictErr.Code),
		Errors:  documentFaults(err),
	}}
	if verdictErr.RetryAfter > 0 {
		response.RetryAfter = oas.NewOptInt(ceilSeconds(verdictErr.RetryAfter))
		response.Response.RetryAfter = response.RetryAfter
	}
	if status == http.StatusUnauthorized {
		response.WWWAuthenticate = oas.NewOptString("Bearer")
	}
	var conflict *conflictError
	if errors.As(err, &conflict) {
		response.Response.Conflict = oas.NewOptConflict(oas.Conflict(conflict.winner))
	}
	return response
}

// ceilSeconds rounds up, so that nobody retries too early.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// classify returns what an error says about the execution of the request. Requests that the
// generated server refuses have not run, because the handler was never called.
func classify(err error) *verdict.Error {
	var (
		verdictErr   *verdict.Error
		conflictErr  *conflictError
		invalidErr   *inifile.Error
		conflictsErr *document.ConflictError
		tooLargeErr  *http.MaxBytesError
		securityErr  *ogenerrors.SecurityError
		paramsErr    *ogenerrors.DecodeParamsError
		requestErr   *ogenerrors.DecodeRequestError
		bodyErr      *bodyError
	)
	switch {
	case errors.As(err, &conflictErr):
		return verdict.New(verdict.NotRun, verdict.CodeConflict, conflictErr.Error())
	case errors.As(err, &invalidErr), errors.As(err, &conflictsErr):
		return verdict.New(verdict.NotRun, CodeInvalidDocument, "the document has faults")
	case errors.As(err, &verdictErr):
		return verdictErr
	case errors.As(err, &tooLargeErr):
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is too large")
	case errors.As(err, &securityErr):
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "a bearer token is required")
	case errors.As(err, &paramsErr), errors.As(err, &requestErr), errors.As(err, &bodyErr):
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, err.Error())
	}
	return verdict.FromError(err)
}

// documentFaults returns the faults of a document that the error lists, or nil.
func documentFaults(err error) []oas.Fault {
	var invalidErr *inifile.Error
	if errors.As(err, &invalidErr) {
		return iniFaults(invalidErr)
	}
	var conflictsErr *document.ConflictError
	if !errors.As(err, &conflictsErr) {
		return nil
	}
	faults := make([]oas.Fault, len(conflictsErr.Conflicts))
	for i, c := range conflictsErr.Conflicts {
		faults[i] = oas.Fault{Text: c.String()}
	}
	return faults
}

func iniFaults(e *inifile.Error) []oas.Fault {
	faults := make([]oas.Fault, len(e.Problems))
	for i, problem := range e.Problems {
		faults[i].Text = problem.Text
		if problem.Section != "" {
			faults[i].Section = oas.NewOptString(problem.Section)
		}
		if problem.Key != "" {
			faults[i].Key = oas.NewOptString(problem.Key)
		}
		if problem.Line > 0 {
			faults[i].Line = oas.NewOptInt(problem.Line)
		}
	}
	return faults
}

// serve writes an error that occurred outside the generated server.
func (p *problems) serve(w http.ResponseWriter, _ *http.Request, err error) {
	response := p.newResponse(err)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	if retryAfter, ok := response.RetryAfter.Get(); ok {
		header.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(response.StatusCode)
	text, err := response.Response.MarshalJSON()
	if err != nil {
		return
	}
	// A write fails if the caller has disconnected. Nobody else needs the response then.
	_, _ = w.Write(text)
}

func (p *problems) serveError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	p.serve(w, r, err)
}

func (p *problems) serveNotFound(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such path"))
}

func (p *problems) serveMethodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	p.serve(w, r, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the path takes "+allowed))
}
