// Package standin holds a stand-in for a model engine and one for a plain service.
// They do what the real ones do as far as tests and the local system need it, and
// count what they carried out, so that tests can compare that with the verdicts.
package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/agent"
	"github.com/sassafraspost/sassafraspost/internal/entry"
)

// Mode is a way to fail.
type Mode string

// The ways to fail. Die breaks the connection and Truncate ends the answer in good
// form but too early, both After tokens; Refuse answers 503 and runs nothing; Hang
// says nothing until the caller leaves; Slow makes a step SlowFactor times as long.
const (
	Die      Mode = "die"
	Truncate Mode = "truncate"
	Refuse   Mode = "refuse"
	Hang     Mode = "hang"
	Slow     Mode = "slow"
)

// SlowFactor is how much longer a step takes in mode Slow.
const SlowFactor = 20

// Failure makes the next Times requests fail.
type Failure struct {
	Mode  Mode `json:"mode"`
	After int  `json:"after"`
	Times int  `json:"times"`
}

// Executions counts what was done under one request id or key.
type Executions struct {
	Started   int `json:"begun"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
}

// Report is the answer to GET /executions.
type Report struct {
	ByRequest map[string]Executions `json:"by_request"`
	ByKey     map[string]Executions `json:"by_key"`
	// Ends counts the stand-in's ends by the prompt that ended it.
	Ends map[string]int `json:"ends"`
	// Orders counts the orders that were carried out; Order is the last one.
	Orders int               `json:"orders"`
	Order  agent.EngineOrder `json:"order"`
}

// counts is shared by both stand-ins. mu guards the rest.
type counts struct {
	mu      sync.Mutex
	report  Report
	failure Failure
}

func (c *counts) init() {
	c.report.ByRequest = make(map[string]Executions)
	c.report.ByKey = make(map[string]Executions)
	c.report.Ends = make(map[string]int)
}

// countEnd counts an end under a prompt.
func (c *counts) countEnd(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Ends[prompt]++
}

// Fail sets how the next requests fail.
func (c *counts) Fail(f Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failure = f
}

// Executions returns a copy of the counts.
func (c *counts) Executions() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.report
	out.ByRequest = make(map[string]Executions, len(c.report.ByRequest))
	out.ByKey = make(map[string]Executions, len(c.report.ByKey))
	out.Ends = maps.Clone(c.report.Ends)
	for k, v := range c.report.ByRequest {
		out.ByRequest[k] = v
	}
	for k, v := range c.report.ByKey {
		out.ByKey[k] = v
	}
	return out
}

// take returns the failure of the next request.
func (c *counts) take() Failure {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure.Times == 0 {
		return Failure{}
	}
	c.failure.Times--
	return c.failure
}

// count changes the counts of a request's id and key.
func (c *counts) count(r *http.Request, change func(*Executions)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bump(c.report.ByRequest, r.Header.Get(agent.RequestIDHeader), change)
	bump(c.report.ByKey, r.Header.Get(entry.IdempotencyKeyHeader), change)
}

func bump(m map[string]Executions, name string, change func(*Executions)) {
	if name == "" {
		return
	}
	e := m[name]
	change(&e)
	m[name] = e
}

func begun(e *Executions)     { e.Started++ }
func finished(e *Executions)  { e.Finished++ }
func cancelled(e *Executions) { e.Cancelled++ }

func (c *counts) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, c.Executions())
}

func (c *counts) serveFail(w http.ResponseWriter, r *http.Request) {
	var f Failure
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.Fail(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Service is the stand-in for a plain service that books start slots.
type Service struct {
	counts
	delay time.Duration
	mux   *http.ServeMux
	// bookings is guarded by counts.mu.
	bookings []Booking
}

// Booking is one booked slot.
type Booking struct {
	Slot   string `json:"slot"`
	Rider  string `json:"rider"`
	Number int    `json:"number"`
}

// NewService returns a Service that takes delay for each booking.
func NewService(delay time.Duration) *Service {
	s := &Service{delay: delay, mux: http.NewServeMux()}
	s.init()
	s.mux.HandleFunc("POST /slots/book", s.book)
	s.mux.HandleFunc("GET /slots", s.list)
	s.mux.HandleFunc("GET /executions", s.serveExecutions)
	s.mux.HandleFunc("POST /admin/fail", s.serveFail)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	var b Booking
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := s.take()
	if f.Mode == Refuse {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	s.count(r, begun)
	if f.Mode == Hang {
		<-r.Context().Done()
		s.count(r, cancelled)
		return
	}
	<-time.After(s.delay)
	s.mu.Lock()
	b.Number = len(s.bookings) + 1
	s.bookings = append(s.bookings, b)
	s.mu.Unlock()
	s.count(r, finished)
	if f.Mode == Die {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, b)
}

func (s *Service) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	out := append([]Booking{}, s.bookings...)
	s.mu.Unlock()
	writeJSON(w, out)
}
