package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/api/oas"
)

// The forms of output.
const (
	formatText = "text"
	formatJSON = "json"
)

// printer writes results and failures in the chosen form.
type printer struct {
	stdout io.Writer
	stderr io.Writer
	format string
}

// jsonResponse is any answer of the generated client.
type jsonResponse interface{ MarshalJSON() ([]byte, error) }

// result writes an answer: as JSON, or as text does it.
func (p *printer) result(answer jsonResponse, text func(io.Writer)) error {
	if p.format != formatJSON {
		text(p.stdout)
		return nil
	}
	encoded, err := answer.MarshalJSON()
	if err != nil {
		return errors.Wrap(err, "output")
	}
	_, err = fmt.Fprintf(p.stdout, "%s\n", encoded)
	return errors.Wrap(err, "output")
}

// note writes a line for people.
func (p *printer) note(format string, args ...any) {
	fmt.Fprintf(p.stderr, format+"\n", args...)
}

// failure writes an error. In JSON a problem keeps the server's form.
func (p *printer) failure(err error) {
	var problem *oas.ProblemStatusCodeWithHeaders
	if !errors.As(err, &problem) {
		p.note("%s", err)
		return
	}
	if encoded, err := problem.Response.MarshalJSON(); err == nil && p.format == formatJSON {
		p.note("%s", encoded)
		return
	}
	p.problem(&problem.Response)
}

func (p *printer) problem(problem *oas.Problem) {
	p.note("%s: %s (%s)", problem.Code, problem.Detail.Or(problem.Title), problem.Verdict)
	if winner, ok := problem.Conflict.Get(); ok {
		p.note("revision %d is of %s, change %s", winner.Revision, winner.Author, winner.ChangeID)
	}
	for _, fault := range problem.Errors {
		p.note("%s", faultLine(fault))
	}
	if seconds, ok := problem.RetryAfter.Get(); ok {
		p.note("try again in %d s", seconds)
	}
}

func faultLine(f oas.Fault) string {
	var b strings.Builder
	if section, ok := f.Section.Get(); ok {
		b.WriteString("[" + section + "] ")
	}
	if key, ok := f.Key.Get(); ok {
		b.WriteString(key + ": ")
	}
	b.WriteString(f.Text)
	if line, ok := f.Line.Get(); ok {
		fmt.Fprintf(&b, " (line %d)", line)
	}
	return b.String()
}

// table writes rows of cells that tabs separate.
func table(w io.Writer, head string, rows []string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, head)
	for _, row := range rows {
		fmt.Fprintln(t, row)
	}
	t.Flush()
}
