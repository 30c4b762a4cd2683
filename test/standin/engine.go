package standin

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafraspost/sassafraspost/internal/agent"
	"github.com/sassafraspost/sassafraspost/internal/entry"
)

// EngineConfig is what an Engine needs.
type EngineConfig struct {
	// Step is the time of one token.
	Step time.Duration
	// Concurrency is how many requests run at once; others wait. Default 64.
	Concurrency int
	// Lag is how old load reports are; EventDelay how late cache events come.
	Lag, EventDelay time.Duration
	// EventGap drops each cache event whose number it divides; zero drops none.
	EventGap uint64
	// CacheBlocks is how many prompt prefixes the cache holds. Default 1024.
	CacheBlocks int
	// ChecksFencing makes the engine refuse an order with an old fencing number.
	ChecksFencing bool
	Version       string
	// End ends the engine for a while, as a process ends, when it has begun to run a prompt
	// that starts with Poison. Without it the engine only breaks off the answer.
	End func()
}

// Poison is what a prompt starts with that ends whoever runs it.
const Poison = "poison"

// Engine is the stand-in for a model engine.
type Engine struct {
	counts
	cfg   EngineConfig
	mux   *http.ServeMux
	slots chan struct{}

	// The rest is guarded by counts.mu.
	running, waiting uint32
	loads            []timedLoad
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

// completionRequest is what the engine reads of a completion call.
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

const defaultTokens = 16

// NewEngine returns an Engine that has cfg.Version loaded.
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
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /cache-events", e.cacheEvents)
	e.mux.HandleFunc("POST /orders", e.order)
	e.mux.HandleFunc("GET /executions", e.serveExecutions)
	e.mux.HandleFunc("POST /admin/fail", e.serveFail)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Token returns token i of the answer to prompt.
func Token(prompt string, i int) string {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(i))
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(prompt+string(b[:]))))
}

// Text returns the whole answer of n tokens to prompt.
func Text(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// Stream returns the body of a streamed answer: one event a token, and the end.
func Stream(prompt string, n int) []string {
	out := make([]string, 0, n+1)
	for i := range n {
		data, _ := json.Marshal(answerBody(Token(prompt, i)))
		out = append(out, "data: "+string(data)+"\n\n")
	}
	return append(out, "data: [DONE]\n\n")
}

type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

type completionAnswer struct {
	Choices []choice `json:"choices"`
}

func answerBody(text string) completionAnswer {
	return completionAnswer{Choices: []choice{{Text: text}}}
}

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

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultTokens
	}
	f := e.take()
	if f.Mode == Refuse {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	e.count(r, begun)
	e.enter()
	defer e.leave()
	e.note(q.text())
	if strings.HasPrefix(q.Prompt, Poison) {
		e.step(r, f)
		e.end(q.Prompt)
		panic(http.ErrAbortHandler)
	}
	if f.Mode == Hang || !e.answer(w, r, &q, f) {
		<-r.Context().Done()
		e.count(r, cancelled)
		return
	}
	e.count(r, finished)
}

// answer reports whether the work came to an end; false means that the caller left.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, q *completionRequest, f Failure) bool {
	pieces := Stream(q.text(), q.MaxTokens)
	offset, _ := strconv.Atoi(r.Header.Get(agent.ResumeHeader))
	if offset > 0 {
		w.Header().Set(agent.ResumeHeader, strconv.Itoa(offset))
	}
	if q.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	skipped := 0
	for i, piece := range pieces {
		if f.Mode == Die && i == f.After {
			panic(http.ErrAbortHandler)
		}
		if f.Mode == Truncate && i == f.After {
			return true
		}
		whole := len(piece)
		piece = piece[min(whole, max(0, offset-skipped)):]
		skipped += whole
		if piece == "" {
			continue
		}
		if i < q.MaxTokens && !e.step(r, f) {
			return false
		}
		if q.Stream {
			_, _ = w.Write([]byte(piece))
			_ = http.NewResponseController(w).Flush()
		}
	}
	if !q.Stream {
		writeJSON(w, answerBody(Text(q.text(), q.MaxTokens)))
	}
	return true
}

// end ends the engine under a prompt, if it can end.
func (e *Engine) end(prompt string) {
	if e.cfg.End != nil {
		e.countEnd(prompt)
		e.cfg.End()
	}
}

func (e *Engine) step(r *http.Request, f Failure) bool {
	d := e.cfg.Step
	if f.Mode == Slow {
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

func (e *Engine) enter() {
	e.addLoad(0, 1)
	e.slots <- struct{}{}
	e.addLoad(1, -1)
}

func (e *Engine) leave() {
	<-e.slots
	e.addLoad(-1, 0)
}

func (e *Engine) addLoad(running, waiting int32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += uint32(running)
	e.waiting += uint32(waiting)
	e.loads = append(e.loads, timedLoad{time.Now(), agent.LoadReport{Running: e.running, Queued: e.waiting}})
	for len(e.loads) > 1 && time.Since(e.loads[1].at) >= e.cfg.Lag {
		e.loads = e.loads[1:]
	}
}

// load answers with the newest report that is at least Lag old.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var out agent.LoadReport
	for _, l := range e.loads {
		if time.Since(l.at) >= e.cfg.Lag {
			out = l.load
		}
	}
	out.AgeMS = uint32(e.cfg.Lag.Milliseconds())
	out.StepUS = uint64(e.cfg.Step.Microseconds())
	out.FirstTokenUS = out.StepUS
	out.CacheFree = 1 - float32(len(e.cache))/float32(e.cfg.CacheBlocks)
	out.Version = e.report.Order.Version
	e.mu.Unlock()
	writeJSON(w, out)
}

// note puts the prompt's prefixes into the cache, and the oldest out of it.
func (e *Engine) note(prompt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range entry.PrefixHashes([]byte(prompt)) {
		if e.cached[p] {
			continue
		}
		e.cached[p] = true
		e.cache = append(e.cache, p)
		e.event(p, true)
	}
	for len(e.cache) > e.cfg.CacheBlocks {
		delete(e.cached, e.cache[0])
		e.event(e.cache[0], false)
		e.cache = e.cache[1:]
	}
}

// event requires mu.
func (e *Engine) event(prefix uint64, stored bool) {
	e.lastEvent++
	if e.cfg.EventGap > 0 && e.lastEvent%e.cfg.EventGap == 0 {
		return
	}
	ev := agent.CacheEventReport{Seq: e.lastEvent, Prefix: prefix, Stored: stored}
	e.events = append(e.events, timedEvent{time.Now(), ev})
	if len(e.events) > 2*e.cfg.CacheBlocks {
		e.events = e.events[1:]
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
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

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
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
