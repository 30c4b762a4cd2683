package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// timelineBefore is the time before a broken promise within which faults are printed with it.
const timelineBefore = 10 * time.Second

// Report is the result of a run.
type Report struct {
	Config Config
	// Violations are the broken promises, sorted by time.
	Violations []Violation
	// Events is the timeline of the faults.
	Events []Event
	// Counts holds the numbers of responses that callers and the operator got, by outcome, and the
	// numbers of group steps, expert maps and upstream crashes.
	Counts map[string]int
}

func newReport(cfg Config, r *record) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{Config: cfg, Violations: slices.Clone(r.violations), Counts: maps.Clone(r.counts)}
	for _, e := range r.events {
		out.Events = append(out.Events, *e)
	}
	return out
}

// String returns a summary in one line.
func (r *Report) String() string {
	var counts []string
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		counts = append(counts, fmt.Sprintf("%s %d", name, r.Counts[name]))
	}
	verdict := "kept"
	if len(r.Violations) > 0 {
		verdict = fmt.Sprintf("%d BROKEN", len(r.Violations))
	}
	return fmt.Sprintf("seed %d, size %d, %s, %d faults: %s; %s", r.Config.Seed, r.Config.Size, r.Config.FaultTime, len(r.Events), verdict, strings.Join(counts, ", "))
}

// Write prints the summary, and each broken promise with the faults that went on at that time or
// had ended less than timelineBefore earlier.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintln(w, r)
	if len(r.Events) == 0 {
		return
	}
	start := r.Events[0].At
	for _, violation := range r.Violations {
		fmt.Fprintf(w, "  %7.2f s  BROKEN %s: %s\n", violation.At.Sub(start).Seconds(), violation.Promise, violation.Text)
		for _, event := range r.Events {
			if event.At.Before(violation.At) && (event.Until.IsZero() || event.Until.Add(timelineBefore).After(violation.At)) {
				fmt.Fprintf(w, "      %7.2f to %7.2f s  %s\n", event.At.Sub(start).Seconds(), event.Until.Sub(start).Seconds(), event.Text)
			}
		}
	}
}
