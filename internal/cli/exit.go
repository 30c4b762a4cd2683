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

// ExitCode is the exit code of the tool, for scripts.
type ExitCode int

// The exit codes.
const (
	// ExitOK means success.
	ExitOK ExitCode = iota
	// ExitUsage means that the command line, or a file that it names, is invalid.
	ExitUsage
	// ExitInvalid means that the document is invalid.
	ExitInvalid
	// ExitConflict means that another change was accepted first.
	ExitConflict
	// ExitNotRun means that nothing was changed and the command can be retried later.
	ExitNotRun
	// ExitUnknown means that the change may have been made. Sending it again with the same
	// change id returns its outcome.
	ExitUnknown
	// ExitUnauthorized means that the token does not permit the command.
	ExitUnauthorized
	// ExitNotFound means that there is no such document.
	ExitNotFound
	// ExitPartial means that some hosts did not respond. The data of the others is printed.
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

// exitHelp returns the part of the help that lists the exit codes.
func exitHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n")
	for code, text := range exitTexts {
		fmt.Fprintf(&b, "  %d  %s\n", code, text)
	}
	return b.String()
}

// exitError is an error with a given exit code.
type exitError struct {
	code  ExitCode
	cause error
}

func (o *exitError) Error() string { return o.cause.Error() }
func (o *exitError) Unwrap() error { return o.cause }

// exitCode returns the exit code for an error. Errors of unknown types count as wrong usage,
// because cobra's errors have no type of their own.
func exitCode(err error) ExitCode {
	var (
		exitErr      *exitError
		problem      *oas.ProblemStatusCodeWithHeaders
		invalidErr   *inifile.Error
		conflictsErr *document.ConflictError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &invalidErr), errors.As(err, &conflictsErr):
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
