package control

import (
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// forgetHost is how long a host that was not heard stays in the reports.
const forgetHost = 24 * time.Hour

// reports holds what hosts said about the revisions in force on them.
type reports struct {
	// mu guards byHost.
	mu     sync.Mutex
	byHost map[string]report
}

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

// list returns the reports with their age.
func (r *reports) list(now time.Time) []wire.ActiveRevision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.ActiveRevision
	for name, rep := range r.byHost {
		age := now.Sub(rep.at)
		if age > forgetHost {
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
