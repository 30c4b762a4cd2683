// Package logtrace traces one request through the merged logs of many hosts.
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

// contextWindow is how long before the first and after the last line of a request the lines
// about its upstreams are shown. The state of an upstream may have changed a few of its
// announcements before the request.
const contextWindow = 3 * time.Second

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	At      time.Time
	Host    string
	Level   string
	Message string
	// Fields are the remaining fields as NAME=VALUE, sorted by name.
	Fields []string
	// Request and Upstream are the values of the fields request and upstream, empty if
	// the line does not have them.
	Request, Upstream string
	// configurationNumber is the number of the configuration that came into force; 0 if
	// the line has another message.
	configurationNumber uint64
}

// Read parses a log. It ignores what precedes the first brace of a line, such as a prefix
// that a log collector adds, and skips lines that are not JSON or have no time or message.
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

// parseLine parses the JSON object of a line. It reports false if the line is not one of
// this system.
func parseLine(text string) (Line, bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal([]byte(text), &fields) != nil {
		return Line{}, false
	}
	l := Line{}
	if json.Unmarshal(fields["time"], &l.At) != nil || json.Unmarshal(fields["msg"], &l.Message) != nil {
		return Line{}, false
	}
	// The other fields are optional, so errors are ignored.
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

// Trace is the part of the logs that concerns one request.
type Trace struct {
	// Lines are the lines of the request, and lines about its upstreams within
	// contextWindow of them, sorted by time.
	Lines []Line
	// ClockOffsets is the estimate of how far a host's clock is ahead of the others, by
	// host. Hosts with a small offset are left out.
	ClockOffsets map[string]time.Duration
}

// Find returns the trace of a request; it has no lines if none mentions the request.
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

// correctedTime returns the time of a line minus the clock offset of its host.
func (t Trace) correctedTime(l Line) time.Time { return l.At.Add(-t.ClockOffsets[l.Host]) }

// estimateClockOffsets compares the times at which hosts logged that a configuration came into
// force. That happens within about 100 ms on all hosts, so only larger differences are due to
// the clocks. The offset of a host is its median difference from the median host.
func estimateClockOffsets(all []Line) map[string]time.Duration {
	byNumber := make(map[uint64][]Line)
	for _, l := range all {
		if l.configurationNumber > 0 {
			byNumber[l.configurationNumber] = append(byNumber[l.configurationNumber], l)
		}
	}
	differences := make(map[string][]time.Duration)
	for _, lines := range byNumber {
		slices.SortFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
		median := lines[len(lines)/2].At
		for _, l := range lines {
			differences[l.Host] = append(differences[l.Host], l.At.Sub(median))
		}
	}
	out := make(map[string]time.Duration)
	for host, list := range differences {
		slices.Sort(list)
		if d := list[len(list)/2]; d.Abs() >= minClockOffset {
			out[host] = d
		}
	}
	return out
}

// minClockOffset is the smallest difference that is attributed to a host's clock.
const minClockOffset = 300 * time.Millisecond

// Write prints the trace and the clock offsets. Lines about an upstream that do not name
// the request are marked with ~.
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
