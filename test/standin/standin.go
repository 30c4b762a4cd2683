// Package standin provides stand-ins for a model engine, for the engines of a group of ranks,
// and for a plain service. They implement as much of the real interfaces as tests and the local
// system need. Engine and service count the requests they executed, so that tests can compare
// these counts with the verdicts that callers got.
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

// Mode is a failure mode of a stand-in.
type Mode string

// The failure modes. Die aborts the connection, and Truncate ends the response as if it were
// complete; an engine does both after Failure.After tokens, and a service that fails with Die
// does so after it has made the booking. Refuse responds with 503 and executes nothing. Hang
// sends nothing until the caller cancels the request. Slow makes each step of an engine
// SlowFactor times as long.
const (
	Die      Mode = "die"
	Truncate Mode = "truncate"
	Refuse   Mode = "refuse"
	Hang     Mode = "hang"
	Slow     Mode = "slow"
)

// SlowFactor is the factor by which a step takes longer in mode Slow.
const SlowFactor = 20

// Failure makes the next Times requests fail.
type Failure struct {
	Mode  Mode `json:"mode"`
	After int  `json:"after"`
	Times int  `json:"times"`
}

// Executions counts how often the requests with one request ID or idempotency key were begun,
// finished and cancelled.
type Executions struct {
	Started   int `json:"begun"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
}

// Report is the response to GET /executions.
type Report struct {
	ByRequest map[string]Executions `json:"by_request"`
	ByKey     map[string]Executions `json:"by_key"`
	// Crashes counts the crashes of the stand-in by the prompt that caused them.
	Crashes map[string]int `json:"ends"`
	// LastStart is when the last request began, in Unix milliseconds; 0 if there was none.
	LastStart int64 `json:"last_begun,omitempty"`
	// Orders counts the orders that were executed; Order is the last of them.
	Orders int               `json:"orders"`
	Order  agent.EngineOrder `json:"order"`
}

// counters holds what Engine and Service have in common: execution counts and the failure
// that is set. mu guards the other fields.
type counters struct {
	mu      sync.Mutex
	report  Report
	failure Failure
}

func (c *counters) init() {
	c.report.ByRequest = make(map[string]Executions)
	c.report.ByKey = make(map[string]Executions)
	c.report.Crashes = make(map[string]int)
}

// countCrash counts a crash caused by a prompt.
func (c *counters) countCrash(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Crashes[prompt]++
}

// Fail sets the failure of the next requests.
func (c *counters) Fail(f Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failure = f
}

// Executions returns a copy of the counts.
func (c *counters) Executions() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.report
	out.ByRequest = make(map[string]Executions, len(c.report.ByRequest))
	out.ByKey = make(map[string]Executions, len(c.report.ByKey))
	out.Crashes = maps.Clone(c.report.Crashes)
	for k, v := range c.report.ByRequest {
		out.ByRequest[k] = v
	}
	for k, v := range c.report.ByKey {
		out.ByKey[k] = v
	}
	return out
}

// nextFailure returns the failure of the request that starts now, the zero Failure if it does
// not fail.
func (c *counters) nextFailure() Failure {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure.Times == 0 {
		return Failure{}
	}
	c.failure.Times--
	return c.failure
}

// update applies change to the counts of the request's ID and of its idempotency key.
func (c *counters) update(r *http.Request, change func(*Executions)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	updateEntry(c.report.ByRequest, r.Header.Get(agent.RequestIDHeader), change)
	updateEntry(c.report.ByKey, r.Header.Get(entry.IdempotencyKeyHeader), change)
}

// start counts the begin of a request.
func (c *counters) start(r *http.Request) {
	c.update(r, begun)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.LastStart = time.Now().UnixMilli()
}

// updateEntry applies change to one entry of m. Requests without an ID or key are not counted.
func updateEntry(m map[string]Executions, key string, change func(*Executions)) {
	if key == "" {
		return
	}
	e := m[key]
	change(&e)
	m[key] = e
}

func begun(e *Executions)     { e.Started++ }
func finished(e *Executions)  { e.Finished++ }
func cancelled(e *Executions) { e.Cancelled++ }

func (c *counters) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, c.Executions())
}

func (c *counters) serveFail(w http.ResponseWriter, r *http.Request) {
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

// Service is the stand-in for a plain service: it books start slots for riders.
type Service struct {
	counters
	delay time.Duration
	mux   *http.ServeMux
	// bookings is guarded by counts.mu.
	bookings []Booking
}

// Booking is one booked start slot.
type Booking struct {
	Slot   string `json:"slot"`
	Rider  string `json:"rider"`
	Number int    `json:"number"`
}

// NewService returns a Service that takes delay for each booking.
func NewService(delay time.Duration) *Service {
	s := &Service{delay: delay, mux: http.NewServeMux()}
	s.init()
	s.mux.HandleFunc("POST /slots/book", s.serveBook)
	s.mux.HandleFunc("GET /slots", s.serveList)
	s.mux.HandleFunc("GET /executions", s.serveExecutions)
	s.mux.HandleFunc("POST /admin/fail", s.serveFail)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Service) serveBook(w http.ResponseWriter, r *http.Request) {
	var b Booking
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	failure := s.nextFailure()
	if failure.Mode == Refuse {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	s.start(r)
	if failure.Mode == Hang {
		<-r.Context().Done()
		s.update(r, cancelled)
		return
	}
	<-time.After(s.delay)
	s.mu.Lock()
	b.Number = len(s.bookings) + 1
	s.bookings = append(s.bookings, b)
	s.mu.Unlock()
	s.update(r, finished)
	if failure.Mode == Die {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, b)
}

func (s *Service) serveList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	out := append([]Booking{}, s.bookings...)
	s.mu.Unlock()
	writeJSON(w, out)
}
