package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Promise is what is checked.
type Promise string

// The promises.
const (
	// Whole: an answer that says that all went well is the whole answer to its own request.
	CompleteResponse Promise = "whole"
	// Once: a request that may not be repeated runs at most once.
	AtMostOnce Promise = "once"
	// NotRun: what was told not to have run did not run, and never does.
	NotRun Promise = "not-run"
	// Shutdown: a process that is asked to end does so in time and in order, and cuts no
	// request.
	Shutdown Promise = "shutdown"
	// Configuration: no host goes back to an older configuration, and the newest accepted one is in
	// force everywhere at the end.
	Configuration Promise = "configuration"
	// OneMap: all ranks of a group use one expert map in every step.
	OneMap Promise = "one-map"
	// Recovery: all is served again soon after the last fault.
	Recovery Promise = "recovery"
	// Contained: a request that ends the upstreams that run it ends few of them, and no other
	// request is taken for one.
	Contained Promise = "contained"
)

// Promises are all of them.
var Promises = []Promise{CompleteResponse, AtMostOnce, NotRun, Shutdown, Configuration, OneMap, Recovery, Contained}

// Violation is a promise that was seen broken.
type Violation struct {
	Promise Promise
	At      time.Time
	Text    string
}

// Event is a line of the timeline. Until is zero while it goes on.
type Event struct {
	At, Until time.Time
	Text      string
	// IsUnplanned tells that requests may be lost by it.
	IsUnplanned bool
}

// record collects what happens in a run. It is safe for concurrent use.
type record struct {
	mu         sync.Mutex
	violations []Violation
	events     []*Event
	counts     map[string]int
}

func newRecord() *record { return &record{counts: map[string]int{}} }

// addViolation notes a broken promise.
func (r *record) addViolation(p Promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Promise: p, At: time.Now(), Text: fmt.Sprintf(format, args...)})
}

// count adds one to a named count.
func (r *record) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

// beginEvent notes an event; the function that it returns ends it.
func (r *record) beginEvent(text string, isUnplanned bool) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &Event{At: time.Now(), Text: text, IsUnplanned: isUnplanned}
	r.events = append(r.events, e)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		e.Until = time.Now()
	}
}

// isCalm reports whether no unplanned event went on from one moment to another, or had ended
// less than aftermath before.
func (r *record) isCalm(from, to time.Time, aftermath time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.events, func(e *Event) bool {
		return e.IsUnplanned && e.At.Before(to) && (e.Until.IsZero() || e.Until.Add(aftermath).After(from))
	})
}
