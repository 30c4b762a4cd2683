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

// CodeInvalidDocument says that a document has faults.
const CodeInvalidDocument verdict.Code = "invalid-document"

// typePrefix makes a code into the type of a problem.
const typePrefix = "urn:sassafraspost:problem:"

// conflictError is a submission that lost.
type conflictError struct{ winner Conflict }

func (e *conflictError) Error() string { return "another change came first" }

// bodyError is a body that did not arrive whole. Nothing has run by then.
type bodyError struct{ cause error }

func (e *bodyError) Error() string { return "body: " + e.cause.Error() }
func (e *bodyError) Unwrap() error { return e.cause }

// problems turns errors into problem responses and counts them by code.
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
	verdict.CodeLeaving:        http.StatusServiceUnavailable,
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

// newResponse returns the response for an error of the handler or of the generated
// server.
func (p *problems) newResponse(err error) *oas.ProblemStatusCodeWithHeaders {
	failure := classify(err)
	metrics.GetOrRegisterCounter("adminapi.problem."+string(failure.Code), p.registry).Inc(1)
	status := statusOf(failure.Code)
	response := &oas.ProblemStatusCodeWithHeaders{StatusCode: status, Response: oas.Problem{
		Type:    typePrefix + string(failure.Code),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  oas.NewOptString(failure.Text),
		Verdict: oas.ProblemVerdict(failure.Verdict.String()),
		Code:    string(failure.Code),
		Errors:  documentFaults(err),
	}}
	if failure.RetryAfter > 0 {
		response.RetryAfter = oas.NewOptInt(ceilSeconds(failure.RetryAfter))
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

// ceilSeconds rounds up, so that nobody asks too early.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// classify finds what an error says about execution. What the generated server
// refuses has not run, since the handler was never called.
func classify(err error) *verdict.Error {
	var (
		failure  *verdict.Error
		conflict *conflictError
		invalid  *inifile.Error
		together *document.ConflictError
		tooLarge *http.MaxBytesError
		unknown  *ogenerrors.SecurityError
		params   *ogenerrors.DecodeParamsError
		request  *ogenerrors.DecodeRequestError
		body     *bodyError
	)
	switch {
	case errors.As(err, &conflict):
		return verdict.New(verdict.NotRun, verdict.CodeConflict, conflict.Error())
	case errors.As(err, &invalid), errors.As(err, &together):
		return verdict.New(verdict.NotRun, CodeInvalidDocument, "the document has faults")
	case errors.As(err, &failure):
		return failure
	case errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is too large")
	case errors.As(err, &unknown):
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "a bearer token is required")
	case errors.As(err, &params), errors.As(err, &request), errors.As(err, &body):
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, err.Error())
	}
	return verdict.FromError(err)
}

// documentFaults lists the faults of a document.
func documentFaults(err error) []oas.Fault {
	var invalid *inifile.Error
	if errors.As(err, &invalid) {
		return iniFaults(invalid)
	}
	var together *document.ConflictError
	if !errors.As(err, &together) {
		return nil
	}
	faults := make([]oas.Fault, len(together.Conflicts))
	for i, c := range together.Conflicts {
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

// serve writes an error outside the generated server.
func (p *problems) serve(w http.ResponseWriter, _ *http.Request, err error) {
	response := p.newResponse(err)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	if after, ok := response.RetryAfter.Get(); ok {
		header.Set("Retry-After", strconv.Itoa(after))
	}
	w.WriteHeader(response.StatusCode)
	text, err := response.Response.MarshalJSON()
	if err != nil {
		return
	}
	// The caller may be gone; there is nobody else to tell.
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
