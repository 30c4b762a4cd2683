package standin

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafraspost/sassafraspost/internal/agent"
	"github.com/sassafraspost/sassafraspost/internal/entry"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	// Step is the duration of one decode step, which generates one token of a request.
	Step time.Duration
	// Concurrency is how many requests run at once; the others are queued. Default 64.
	Concurrency int
	// LoadReportAge is the age of the load reports that the engine returns. EventDelay is the
	// time after which it returns a cache event.
	LoadReportAge, EventDelay time.Duration
	// DropEvery drops each cache event whose sequence number is a multiple of it, as when the
	// engine loses events. Zero drops none.
	DropEvery uint64
	// CacheBlocks is how many prompt prefixes fit into the prefix cache. Default 1024.
	CacheBlocks int
	// ChecksFencing makes the engine refuse an order whose fencing token is lower than that of
	// the last order.
	ChecksFencing bool
	Version       string
	// Crash is called after the engine has begun to execute a prompt that starts with Poison.
	// It makes the engine unreachable for a while, like the crash of a process. If it is nil
	// the engine only aborts the response.
	Crash func()
}

// Poison is the prefix of prompts that crash the engine which executes them.
const Poison = "poison"

// Engine is the stand-in for a model engine.
type Engine struct {
	counters
	cfg   EngineConfig
	mux   *http.ServeMux
	slots chan struct{}

	// The remaining fields are guarded by counters.mu. loadHistory is sorted by time, oldest
	// first. cache holds the prefix hashes in the order in which they were added, cached the
	// same hashes as a set.
	running, waiting uint32
	loadHistory      []timedLoad
	cache            []uint64
	cached           map[uint64]bool
	events           []timedEvent
	lastEvent        uint64
}

type timedLoad struct {
	at   time.Time
	load agent.LoadReport
}

type timedEvent struct {
	at    time.Time
	event agent.CacheEventReport
}

// completionRequest holds the fields of a completion request that the engine uses.
type completionRequest struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
}

// defaultTokens is the length of a response if the request has no max_tokens.
const defaultTokens = 16

// NewEngine returns an Engine that reports cfg.Version as loaded.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Concurrency <= 0 {
		cfg.Concurrency = 64
	}
	if cfg.CacheBlocks <= 0 {
		cfg.CacheBlocks = 1024
	}
	e := &Engine{
		cfg:    cfg,
		mux:    http.NewServeMux(),
		slots:  make(chan struct{}, cfg.Concurrency),
		cached: make(map[uint64]bool),
	}
	e.init()
	e.report.Order.Version = cfg.Version
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /orders", e.serveOrder)
	e.mux.HandleFunc("GET /executions", e.serveExecutions)
	e.mux.HandleFunc("POST /admin/fail", e.serveFail)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Token returns token i of the response to prompt. It depends only on these two, so that tests
// know the expected response.
func Token(prompt string, i int) string {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(i))
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(prompt+string(b[:]))))
}

// Text returns the complete response of n tokens to prompt.
func Text(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// Stream returns the body of a streamed response as a list of server-sent events: one for each
// of n tokens, and the end marker.
func Stream(prompt string, n int) []string {
	out := make([]string, 0, n+1)
	for i := range n {
		data, _ := json.Marshal(responseBody(Token(prompt, i)))
		out = append(out, "data: "+string(data)+"\n\n")
	}
	return append(out, "data: [DONE]\n\n")
}

type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

type completionResponse struct {
	Choices []choice `json:"choices"`
}

func responseBody(text string) completionResponse {
	return completionResponse{Choices: []choice{{Text: text}}}
}

// text returns the prompt, or all messages of a chat request as one text.
func (q *completionRequest) text() string {
	if len(q.Messages) == 0 {
		return q.Prompt
	}
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultTokens
	}
	failure := e.nextFailure()
	if failure.Mode == Refuse {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	e.start(r)
	e.acquireSlot()
	defer e.releaseSlot()
	e.cachePrefixes(q.text())
	if strings.HasPrefix(q.Prompt, Poison) {
		e.waitStep(r, failure)
		e.crash(r, q.Prompt)
		panic(http.ErrAbortHandler)
	}
	if failure.Mode == Hang || !e.writeResponse(w, r, &q, failure) {
		<-r.Context().Done()
		e.update(r, cancelled)
		return
	}
	e.update(r, finished)
}

// writeResponse runs the decode steps and writes the response. If the request asks to resume,
// it skips as many body bytes as the header says. It returns false if the caller cancelled.
func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, q *completionRequest, failure Failure) bool {
	events := Stream(q.text(), q.MaxTokens)
	offset, _ := strconv.Atoi(r.Header.Get(agent.ResumeHeader))
	if offset > 0 {
		w.Header().Set(agent.ResumeHeader, strconv.Itoa(offset))
	}
	if q.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	skipped := 0
	for i, event := range events {
		if failure.Mode == Die && i == failure.After {
			panic(http.ErrAbortHandler)
		}
		if failure.Mode == Truncate && i == failure.After {
			return true
		}
		length := len(event)
		event = event[min(length, max(0, offset-skipped)):]
		skipped += length
		if event == "" {
			continue
		}
		if i < q.MaxTokens && !e.waitStep(r, failure) {
			return false
		}
		if q.Stream {
			_, _ = w.Write([]byte(event))
			_ = http.NewResponseController(w).Flush()
		}
	}
	if !q.Stream {
		writeJSON(w, responseBody(Text(q.text(), q.MaxTokens)))
	}
	return true
}

// crash counts and logs a crash caused by prompt, and calls cfg.Crash, if set. Whether the caller
// had left tells an unreported crash from one that nobody was there to report.
func (e *Engine) crash(r *http.Request, prompt string) {
	if e.cfg.Crash != nil {
		slog.Info("engine crashes by a prompt", "prompt", prompt, "request", r.Header.Get(agent.RequestIDHeader), "caller_left", r.Context().Err() != nil)
		e.countCrash(prompt)
		e.cfg.Crash()
	}
}

// waitStep waits for the duration of one step. It returns false if the caller cancelled.
func (e *Engine) waitStep(r *http.Request, failure Failure) bool {
	d := e.cfg.Step
	if failure.Mode == Slow {
		d *= SlowFactor
	}
	if d == 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// acquireSlot queues the request until one of the engine's slots is free.
func (e *Engine) acquireSlot() {
	e.addLoad(0, 1)
	e.slots <- struct{}{}
	e.addLoad(1, -1)
}

func (e *Engine) releaseSlot() {
	<-e.slots
	e.addLoad(-1, 0)
}

// addLoad changes the numbers of running and queued requests, and removes the load reports
// that load no longer needs.
func (e *Engine) addLoad(running, waiting int32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += uint32(running)
	e.waiting += uint32(waiting)
	e.loadHistory = append(e.loadHistory, timedLoad{time.Now(), agent.LoadReport{Running: e.running, Queued: e.waiting}})
	for len(e.loadHistory) > 1 && time.Since(e.loadHistory[1].at) >= e.cfg.LoadReportAge {
		e.loadHistory = e.loadHistory[1:]
	}
}

// load responds with the newest load report that is at least LoadReportAge old.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var out agent.LoadReport
	for _, l := range e.loadHistory {
		if time.Since(l.at) >= e.cfg.LoadReportAge {
			out = l.load
		}
	}
	out.AgeMS = uint32(e.cfg.LoadReportAge.Milliseconds())
	out.StepUS = uint64(e.cfg.Step.Microseconds())
	out.FirstTokenUS = out.StepUS
	out.CacheFree = 1 - float32(len(e.cache))/float32(e.cfg.CacheBlocks)
	out.Version = e.report.Order.Version
	e.mu.Unlock()
	writeJSON(w, out)
}

// cachePrefixes adds the prompt's prefixes to the cache, and removes the oldest ones if the
// cache is full.
func (e *Engine) cachePrefixes(prompt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range entry.PrefixHashes([]byte(prompt)) {
		if e.cached[p] {
			continue
		}
		e.cached[p] = true
		e.cache = append(e.cache, p)
		e.addCacheEvent(p, true)
	}
	for len(e.cache) > e.cfg.CacheBlocks {
		delete(e.cached, e.cache[0])
		e.addCacheEvent(e.cache[0], false)
		e.cache = e.cache[1:]
	}
}

// addCacheEvent appends a cache event, unless DropEvery drops it, and removes the oldest event
// if there are too many. The caller holds mu.
func (e *Engine) addCacheEvent(prefix uint64, stored bool) {
	e.lastEvent++
	if e.cfg.DropEvery > 0 && e.lastEvent%e.cfg.DropEvery == 0 {
		return
	}
	ev := agent.CacheEventReport{Seq: e.lastEvent, Prefix: prefix, Stored: stored}
	e.events = append(e.events, timedEvent{time.Now(), ev})
	if len(e.events) > 2*e.cfg.CacheBlocks {
		e.events = e.events[1:]
	}
}

// serveCacheEvents responds with the events after sequence number since that are at least
// EventDelay old.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	var out agent.CacheEventsReport
	e.mu.Lock()
	for _, t := range e.events {
		if t.event.Seq > since && time.Since(t.at) >= e.cfg.EventDelay {
			out.Events = append(out.Events, t.event)
		}
	}
	e.mu.Unlock()
	writeJSON(w, out)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o agent.EngineOrder
	var body bytes.Buffer
	if _, err := body.ReadFrom(r.Body); err != nil || json.Unmarshal(body.Bytes(), &o) != nil {
		http.Error(w, "order can't be read", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.FencingToken < e.report.Order.FencingToken {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.report.Orders++
	e.report.Order = o
	w.WriteHeader(http.StatusNoContent)
}
