package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/textcheck"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	loadPath        = "/load"
	cacheEventsPath = "/cache-events"
	pollTimeout     = time.Second
	// maxPendingEvents bounds the number of cache events that are kept for the next Record.
	// Older events are dropped; receivers notice the gap in the sequence numbers.
	maxPendingEvents = 4096
	maxReportBytes   = 1 << 20
	// maxVersionBytes bounds the name of a version, which every announcement repeats.
	maxVersionBytes = 256
)

// LoadReport is the body of an engine's response to GET /load.
type LoadReport struct {
	Running         uint32  `json:"running"`
	Queued          uint32  `json:"queued"`
	FirstTokenUS    uint64  `json:"first_token_us"`
	TokensPerSecond float32 `json:"tokens_per_second"`
	CacheFree       float32 `json:"cache_free"`
	StepUS          uint64  `json:"step_us"`
	// AgeMS is the age of the report at the time of the response, in milliseconds.
	AgeMS   uint32 `json:"age_ms"`
	Version string `json:"version"`
}

// CacheEventsReport is the body of an engine's response to GET /cache-events.
type CacheEventsReport struct {
	Events []CacheEventReport `json:"events"`
}

// CacheEventReport reports that an engine's prefix cache has stored or evicted a prefix.
type CacheEventReport struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

// engineReports holds the latest reports of the engine. Agent.mu guards it.
type engineReports struct {
	latestLoad   LoadReport
	loadTime     time.Time
	lastEventSeq uint64
	events       []wire.CacheEvent
}

// Record returns the upstream's current record for an announcement, and the cache events
// received since the previous call.
func (a *Agent) Record() (wire.Upstream, []wire.CacheEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	u := a.cfg.Identity
	u.Seq = a.seq
	u.State = a.state
	u.Load = a.latestLoad()
	if a.reports.latestLoad.Version != "" {
		u.Version = a.reports.latestLoad.Version
	}
	events := a.reports.events
	a.reports.events = nil
	return u, events
}

// latestLoad combines the agent's own counts with the engine's latest report. The caller must
// hold mu.
func (a *Agent) latestLoad() wire.Load {
	report := a.reports.latestLoad
	l := wire.Load{
		Running:         uint32(a.running),
		Queued:          uint32(len(a.waitQueue)) + report.Queued,
		Capacity:        uint32(a.cfg.Capacity),
		FirstTokenUS:    report.FirstTokenUS,
		TokensPerSecond: report.TokensPerSecond,
		CacheFree:       report.CacheFree,
		StepUS:          report.StepUS,
	}
	if !a.reports.loadTime.IsZero() {
		l.AgeMS = report.AgeMS + uint32(time.Since(a.reports.loadTime)/time.Millisecond)
	}
	return l
}

// Poll requests the engine's load and cache events once per interval until ctx ends. If a
// request fails, the previous report stays in use and its age grows. Poll returns at once if
// the upstream is a plain service.
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

// PollOnce requests the engine's load and cache events once.
func (a *Agent) PollOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var load LoadReport
	if err := a.getJSON(ctx, loadPath, &load); err != nil {
		a.probe()
		return err
	}
	a.monitor.markConnected()
	if load.Version != "" && !textcheck.IsName(load.Version, maxVersionBytes) {
		return errors.New("agent: engine reports a version with invalid text")
	}
	a.mu.Lock()
	a.reports.latestLoad = load
	a.reports.loadTime = time.Now()
	since := a.reports.lastEventSeq
	a.mu.Unlock()

	var events CacheEventsReport
	if err := a.getJSON(ctx, cacheEventsPath+"?since="+strconv.FormatUint(since, 10), &events); err != nil {
		return err
	}
	a.keepEvents(events.Events)
	return nil
}

func (a *Agent) keepEvents(events []CacheEventReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range events {
		a.reports.lastEventSeq = max(a.reports.lastEventSeq, e.Seq)
		a.reports.events = append(a.reports.events, wire.CacheEvent{Seq: e.Seq, Prefix: e.Prefix, Stored: e.Stored})
	}
	if excess := len(a.reports.events) - maxPendingEvents; excess > 0 {
		a.reports.events = a.reports.events[excess:]
	}
}

func (a *Agent) getJSON(ctx context.Context, path string, out any) error {
	target, err := a.baseURL.Parse(path)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return err
	}
	resp, err := a.transport.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "agent: query engine")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("agent: engine returned status %s for %s", resp.Status, path)
	}
	return json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxReportBytes)).Decode(out)
}
