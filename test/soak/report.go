package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// timelineBefore is how much of the timeline is shown before a broken promise.
const timelineBefore = 10 * time.Second

// Report is what came of a run.
type Report struct {
	Config Config
	// Violations are the promises that were seen broken, by time.
	Violations []Violation
	// Events is the timeline of the faults.
	Events []Event
	// Counts are what callers and operators got, by name.
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

// String is one line.
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

// Write tells of each broken promise with the faults around it.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintln(w, r)
	if len(r.Events) == 0 {
		return
	}
	start := r.Events[0].At
	for _, b := range r.Violations {
		fmt.Fprintf(w, "  %7.2f s  BROKEN %s: %s\n", b.At.Sub(start).Seconds(), b.Promise, b.Text)
		for _, e := range r.Events {
			if e.At.Before(b.At) && (e.Until.IsZero() || e.Until.Add(timelineBefore).After(b.At)) {
				fmt.Fprintf(w, "      %7.2f to %7.2f s  %s\n", e.At.Sub(start).Seconds(), e.Until.Sub(start).Seconds(), e.Text)
			}
		}
	}
}
