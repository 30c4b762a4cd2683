package cli

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/inifile"
)

// ExitCode is what the tool tells scripts.
type ExitCode int

// The exit codes.
const (
	// ExitOK means done.
	ExitOK ExitCode = iota
	// ExitUsage means that the command line or a file named by it is at fault.
	ExitUsage
	// ExitInvalid means that the document has faults.
	ExitInvalid
	// ExitConflict means that another change came first.
	ExitConflict
	// ExitNotRun means that nothing was done; try later.
	ExitNotRun
	// ExitUnknown means that the change may have been made; send it again with the
	// same change id to learn the outcome.
	ExitUnknown
	// ExitUnauthorized means that the token does not permit this.
	ExitUnauthorized
	// ExitNotFound means that there is no such document.
	ExitNotFound
	// ExitPartial means that some hosts did not answer; what the others said is printed.
	ExitPartial
)

var exitTexts = []string{
	ExitOK:           "done",
	ExitUsage:        "wrong usage, or a file that cannot be read",
	ExitInvalid:      "the document has faults",
	ExitConflict:     "another change came first",
	ExitNotRun:       "not run: nothing was done, try later",
	ExitUnknown:      "may have run: send it again with the same --change-id",
	ExitUnauthorized: "the token does not permit this",
	ExitNotFound:     "no such document",
	ExitPartial:      "some hosts did not answer; what the others said is printed",
}

// exitHelp is the part of the help that documents the exit codes.
func exitHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n")
	for code, text := range exitTexts {
		fmt.Fprintf(&b, "  %d  %s\n", code, text)
	}
	return b.String()
}

// exitError is an error that has its exit code already.
type exitError struct {
	code  ExitCode
	cause error
}

func (o *exitError) Error() string { return o.cause.Error() }
func (o *exitError) Unwrap() error { return o.cause }

// exitCode returns the code of an error. What is not known is wrong usage, which
// is how cobra's own errors arrive.
func exitCode(err error) ExitCode {
	var (
		known    *exitError
		problem  *oas.ProblemStatusCodeWithHeaders
		invalid  *inifile.Error
		together *document.ConflictError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &known):
		return known.code
	case errors.As(err, &invalid), errors.As(err, &together):
		return ExitInvalid
	case errors.As(err, &problem):
		return exitCodeOfProblem(problem)
	}
	return ExitUsage
}

func exitCodeOfProblem(p *oas.ProblemStatusCodeWithHeaders) ExitCode {
	switch p.StatusCode {
	case http.StatusUnauthorized, http.StatusForbidden:
		return ExitUnauthorized
	case http.StatusNotFound:
		return ExitNotFound
	case http.StatusConflict:
		return ExitConflict
	case http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return ExitInvalid
	case http.StatusBadRequest:
		return ExitUsage
	}
	if p.Response.Verdict == oas.ProblemVerdictNotRun {
		return ExitNotRun
	}
	return ExitUnknown
}
