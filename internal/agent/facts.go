package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	loadPath        = "/load"
	cacheEventsPath = "/cache-events"
	pollTimeout     = time.Second
	// maxEvents bounds the cache events that wait for the next Record; the oldest go
	// first, which readers see as a gap.
	maxEvents = 4096
	maxFacts  = 1 << 20
)

// LoadReport is an engine's answer to GET /load.
type LoadReport struct {
	Running      uint32  `json:"running"`
	Queued       uint32  `json:"queued"`
	FirstTokenUS uint64  `json:"first_token_us"`
	Tokens       float32 `json:"tokens_per_second"`
	CacheFree    float32 `json:"cache_free"`
	StepUS       uint64  `json:"step_us"`
	// AgeMS is how old the report is when the engine gives it.
	AgeMS   uint32 `json:"age_ms"`
	Version string `json:"version"`
}

// CacheEventsReport is an engine's answer to GET /cache-events.
type CacheEventsReport struct {
	Events []CacheEventReport `json:"events"`
}

// CacheEventReport is one event of an engine's prefix cache.
type CacheEventReport struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

// facts are what the engine last said. Agent.mu guards them.
type facts struct {
	load    LoadReport
	at      time.Time
	lastSeq uint64
	events  []wire.CacheEvent
}

// Record returns the upstream's present record for an announcement, and the cache
// events since the last call.
func (a *Agent) Record() (wire.Upstream, []wire.CacheEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	u := a.cfg.Identity
	u.Seq = a.seq
	u.State = a.state
	u.Load = a.load()
	if a.facts.load.Version != "" {
		u.Version = a.facts.load.Version
	}
	events := a.facts.events
	a.facts.events = nil
	return u, events
}

// load requires mu.
func (a *Agent) load() wire.Load {
	report := a.facts.load
	l := wire.Load{
		Running:      uint32(a.running),
		Queued:       uint32(len(a.queue)) + report.Queued,
		Capacity:     uint32(a.cfg.Capacity),
		FirstTokenUS: report.FirstTokenUS,
		Tokens:       report.Tokens,
		CacheFree:    report.CacheFree,
		StepUS:       report.StepUS,
	}
	if !a.facts.at.IsZero() {
		l.AgeMS = report.AgeMS + uint32(time.Since(a.facts.at)/time.Millisecond)
	}
	return l
}

// Poll asks the engine for its load and cache events each interval until ctx ends.
// An answer that fails leaves the last report, whose age grows. A plain service is
// not asked.
func (a *Agent) Poll(ctx context.Context, interval time.Duration) {
	if !a.cfg.IsEngine {
		return
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		_ = a.PollOnce(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// PollOnce asks the engine once.
func (a *Agent) PollOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var load LoadReport
	if err := a.get(ctx, loadPath, &load); err != nil {
		a.presence.find(a.base.Host)
		return err
	}
	a.presence.isBack()
	a.mu.Lock()
	a.facts.load = load
	a.facts.at = time.Now()
	since := a.facts.lastSeq
	a.mu.Unlock()

	var events CacheEventsReport
	if err := a.get(ctx, cacheEventsPath+"?since="+strconv.FormatUint(since, 10), &events); err != nil {
		return err
	}
	a.keepEvents(events.Events)
	return nil
}

func (a *Agent) keepEvents(events []CacheEventReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range events {
		a.facts.lastSeq = max(a.facts.lastSeq, e.Seq)
		a.facts.events = append(a.facts.events, wire.CacheEvent{Seq: e.Seq, Prefix: e.Prefix, Stored: e.Stored})
	}
	if over := len(a.facts.events) - maxEvents; over > 0 {
		a.facts.events = a.facts.events[over:]
	}
}

func (a *Agent) get(ctx context.Context, path string, out any) error {
	u, err := a.base.Parse(path)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	resp, err := a.shared.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "agent: ask engine")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("agent: engine says %s to %s", resp.Status, path)
	}
	return json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxFacts)).Decode(out)
}
