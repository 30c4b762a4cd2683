// Package logtrace follows one request through the logs of many hosts.
package logtrace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// contextWindow is how long before and after the request's lines those about its upstreams are
// shown: an upstream's state may have changed a few announcements before.
const contextWindow = 3 * time.Second

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	At      time.Time
	Host    string
	Level   string
	Message string
	// Fields are the other fields in the order of their names, as NAME=VALUE.
	Fields []string
	// Request and Upstream are those fields, empty where the line has none.
	Request, Upstream string
	// configurationNumber is the number that came into force; 0 where the line says another
	// thing.
	configurationNumber uint64
}

// Read reads the lines of a log. What comes before a line's first brace is passed over,
// and so are lines that aren't the system's.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		text := lines.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		if l, ok := parseLine(text[start:]); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrap(lines.Err(), "read log")
}

func parseLine(text string) (Line, bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal([]byte(text), &fields) != nil {
		return Line{}, false
	}
	l := Line{}
	if json.Unmarshal(fields["time"], &l.At) != nil || json.Unmarshal(fields["msg"], &l.Message) != nil {
		return Line{}, false
	}
	// A field that is missing stays empty.
	_ = json.Unmarshal(fields["host"], &l.Host)
	_ = json.Unmarshal(fields["level"], &l.Level)
	_ = json.Unmarshal(fields["request"], &l.Request)
	_ = json.Unmarshal(fields["upstream"], &l.Upstream)
	if l.Message == "configuration in force" {
		_ = json.Unmarshal(fields["configuration"], &l.configurationNumber)
	}
	for name, value := range fields {
		switch name {
		case "time", "msg", "host", "level", "request":
		default:
			l.Fields = append(l.Fields, name+"="+string(value))
		}
	}
	slices.Sort(l.Fields)
	return l, true
}

// Trace is what the logs say of a request.
type Trace struct {
	// Lines are those of the request and, near them, those about its upstreams, in time
	// order.
	Lines []Line
	// ClockOffsets are by how much a host's clock seems to be ahead of the others, by host.
	ClockOffsets map[string]time.Duration
}

// Find gathers what the lines say of a request.
func Find(all []Line, request string) Trace {
	t := Trace{ClockOffsets: estimateClockOffsets(all)}
	upstreams := make(map[string]bool)
	var first, last time.Time
	for _, l := range all {
		if l.Request != request {
			continue
		}
		if l.Upstream != "" {
			upstreams[l.Upstream] = true
		}
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	if first.IsZero() {
		return t
	}
	for _, l := range all {
		isNear := l.At.After(first.Add(-contextWindow)) && l.At.Before(last.Add(contextWindow))
		if l.Request == request || l.Request == "" && upstreams[l.Upstream] && isNear {
			t.Lines = append(t.Lines, l)
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int {
		return cmp.Compare(t.correctedTime(a).UnixNano(), t.correctedTime(b).UnixNano())
	})
	return t
}

// correctedTime is a line's time less its host's offset.
func (t Trace) correctedTime(l Line) time.Time { return l.At.Add(-t.ClockOffsets[l.Host]) }

// estimateClockOffsets estimates the clocks from when each configuration came into force: that is
// within some 100 ms on all hosts, so only larger differences mean something.
func estimateClockOffsets(all []Line) map[string]time.Duration {
	byNumber := make(map[uint64][]Line)
	for _, l := range all {
		if l.configurationNumber > 0 {
			byNumber[l.configurationNumber] = append(byNumber[l.configurationNumber], l)
		}
	}
	apart := make(map[string][]time.Duration)
	for _, lines := range byNumber {
		slices.SortFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
		middle := lines[len(lines)/2].At
		for _, l := range lines {
			apart[l.Host] = append(apart[l.Host], l.At.Sub(middle))
		}
	}
	out := make(map[string]time.Duration)
	for host, list := range apart {
		slices.Sort(list)
		if d := list[len(list)/2]; d.Abs() >= minClockOffset {
			out[host] = d
		}
	}
	return out
}

// minClockOffset is the least difference that is taken for one of clocks.
const minClockOffset = 300 * time.Millisecond

// Write prints the trace.
func (t Trace) Write(w io.Writer) error {
	var b strings.Builder
	for _, l := range t.Lines {
		mark := ""
		if l.Request == "" {
			mark = "~ "
		}
		fmt.Fprintf(&b, "%s  %-18s %s%s  %s\n", t.correctedTime(l).Format("15:04:05.000"), l.Host, mark, l.Message, strings.Join(l.Fields, " "))
	}
	hosts := make([]string, 0, len(t.ClockOffsets))
	for host := range t.ClockOffsets {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		fmt.Fprintf(&b, "clock of %s taken back by %s\n", host, t.ClockOffsets[host].Round(time.Millisecond))
	}
	_, err := io.WriteString(w, b.String())
	return err
}
