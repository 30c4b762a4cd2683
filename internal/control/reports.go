package control

import (
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// reportRetention is how long the last report of a host is kept.
const reportRetention = 24 * time.Hour

// reports holds the last report of each host about the document revision that it serves.
type reports struct {
	// mu guards byHost.
	mu     sync.Mutex
	byHost map[string]report
}

// report is a host's report with the time at which it was received.
type report struct {
	host wire.ActiveRevision
	at   time.Time
}

func newReports() *reports { return &reports{byHost: make(map[string]report)} }

func (r *reports) add(m *wire.InForce, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range m.Hosts {
		r.byHost[h.Host] = report{host: h, at: now}
	}
}

// list returns the reports with their age, and removes those past reportRetention.
func (r *reports) list(now time.Time) []wire.ActiveRevision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.ActiveRevision
	for name, rep := range r.byHost {
		age := now.Sub(rep.at)
		if age > reportRetention {
			delete(r.byHost, name)
			continue
		}
		h := rep.host
		h.AgeMS = uint64(age / time.Millisecond)
		out = append(out, h)
	}
	return out
}

// mergeReports keeps the latest report of each host.
func mergeReports(lists ...[]wire.ActiveRevision) map[string]wire.ActiveRevision {
	merged := make(map[string]wire.ActiveRevision)
	for _, list := range lists {
		for _, h := range list {
			if old, ok := merged[h.Host]; !ok || h.AgeMS < old.AgeMS {
				merged[h.Host] = h
			}
		}
	}
	return merged
}
