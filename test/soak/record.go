package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Promise is a guarantee of the system that a run checks.
type Promise string

// The promises, each with what it guarantees.
const (
	// CompleteResponse: a response with a success status is complete, and is the response to the
	// caller's own request.
	CompleteResponse Promise = "whole"
	// AtMostOnce: a request that must not be repeated is executed at most once.
	AtMostOnce Promise = "once"
	// NotRun: a request with the verdict not-run was not executed, and is not executed later.
	NotRun Promise = "not-run"
	// Shutdown: a process that gets SIGTERM exits in time and without an error, and interrupts
	// no request.
	Shutdown Promise = "shutdown"
	// Configuration: no host returns to an older configuration, and at the end of the run the
	// newest accepted configuration is in force on every host.
	Configuration Promise = "configuration"
	// OneMap: all ranks of a group use the same expert map in each step.
	OneMap Promise = "one-map"
	// Recovery: soon after the last fault the system serves all requests again.
	Recovery Promise = "recovery"
	// Contained: a request that crashes each upstream that executes it crashes only few of
	// them, and no other request is quarantined.
	Contained Promise = "contained"
	// Evacuated: no upstream in an evacuated data centre gets a request that a host connected to
	// the control hosts sent later than evacuationBound after the acknowledgement of the order.
	Evacuated Promise = "evacuated"
)

// Promises lists all promises.
var Promises = []Promise{CompleteResponse, AtMostOnce, NotRun, Shutdown, Configuration, OneMap, Recovery, Contained, Evacuated}

// Violation is one case of a broken promise.
type Violation struct {
	Promise Promise
	At      time.Time
	Text    string
}

// Event is one fault in the timeline of a run. Until is zero while the fault goes on.
type Event struct {
	At, Until time.Time
	Text      string
	// IsUnplanned tells that the fault may interrupt requests.
	IsUnplanned bool
	// Host is the host with the fault; empty if the event concerns none.
	Host string
}

// record collects the violations, events and counts of a run. It is safe for concurrent use.
type record struct {
	mu         sync.Mutex
	violations []Violation
	events     []*Event
	counts     map[string]int
}

func newRecord() *record { return &record{counts: map[string]int{}} }

// addViolation records that a promise was broken.
func (r *record) addViolation(p Promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Promise: p, At: time.Now(), Text: fmt.Sprintf(format, args...)})
}

// count adds one to the count with this name.
func (r *record) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

// beginFault records the begin of a fault. The returned function records its end.
func (r *record) beginFault(f Fault) (end func()) {
	return r.begin(&Event{Text: f.String(), IsUnplanned: !f.Kind.IsPlanned(), Host: f.Host})
}

// beginEvent records the begin of an event that concerns no host. The returned function records its
// end.
func (r *record) beginEvent(text string, isUnplanned bool) (end func()) {
	return r.begin(&Event{Text: text, IsUnplanned: isUnplanned})
}

func (r *record) begin(e *Event) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Now()
	r.events = append(r.events, e)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		e.Until = time.Now()
	}
}

// wereConnected reports whether none of the hosts had a fault at a time, nor one that had ended less
// than effectTime before.
func (r *record) wereConnected(hosts []string, at time.Time, effectTime time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.events, func(e *Event) bool {
		return slices.Contains(hosts, e.Host) && e.At.Before(at) && (e.Until.IsZero() || e.Until.Add(effectTime).After(at))
	})
}

// isUndisturbed reports whether no unplanned event can have affected a request between two times:
// none went on in between, and none had ended less than effectTime before.
func (r *record) isUndisturbed(from, to time.Time, effectTime time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.events, func(event *Event) bool {
		return event.IsUnplanned && event.At.Before(to) && (event.Until.IsZero() || event.Until.Add(effectTime).After(from))
	})
}
