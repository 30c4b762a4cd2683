package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/api/oas"
)

// The output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// printer writes results and failures in the selected format.
type printer struct {
	stdout io.Writer
	stderr io.Writer
	format string
}

// jsonResponse is any response of the generated client.
type jsonResponse interface{ MarshalJSON() ([]byte, error) }

// result writes a response, either as JSON or by calling printText.
func (p *printer) result(response jsonResponse, printText func(io.Writer)) error {
	if p.format != formatJSON {
		printText(p.stdout)
		return nil
	}
	encoded, err := response.MarshalJSON()
	if err != nil {
		return errors.Wrap(err, "output")
	}
	_, err = fmt.Fprintf(p.stdout, "%s\n", encoded)
	return errors.Wrap(err, "output")
}

// note writes a line to stderr, so that it doesn't mix with the result.
func (p *printer) note(format string, args ...any) {
	fmt.Fprintf(p.stderr, format+"\n", args...)
}

// failure writes an error. In the JSON format, a problem response is written as the server sent
// it.
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
	if conflict, ok := problem.Conflict.Get(); ok {
		p.note("revision %d is of %s, change %s", conflict.Revision, conflict.Author, conflict.ChangeID)
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

// table writes aligned columns. The cells of the header and of each row are separated by tabs.
func table(w io.Writer, header string, rows []string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	for _, row := range rows {
		fmt.Fprintln(t, row)
	}
	t.Flush()
}
