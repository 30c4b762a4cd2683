package gateway

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/balance"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// freshLoad is how old an engine's load may be to count.
	freshLoad = 700 * time.Millisecond
	// darkLoad is how old an engine's load may be while those of most others are younger:
	// four reports missed in a row. The host beside it is then frozen or cut off, and what
	// is sent there is not read.
	darkLoad = 400 * time.Millisecond
)

// load is what is known of an upstream's engine.
type load struct {
	isOpen bool
	// total is the requests there, when the report was made.
	total int
	at    time.Duration
	// inflight is this host's part of total: the attempts in flight there when the report
	// before came, which is about when this one was made.
	inflight, next int
	// pace is the engine's time for a step over its usual one.
	pace float64
}

// SetLoads takes in the loads of engines.
func (g *Gateway) SetLoads(all []wire.EngineLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, l := range all {
		before := g.loads[l.Address]
		g.loads[l.Address] = load{
			isOpen: l.IsOpen, total: l.Running + l.Waiting, at: now,
			inflight: before.next, next: g.inflightAt(l.Address), pace: l.Pace,
		}
	}
	for name, s := range g.services {
		g.endStalled(name, s)
		if len(s.waiters) > 0 {
			g.pump(name, s, g.share(name, s), anyWaiter)
		}
	}
}

// inflightAt returns this host's attempts at an address. The caller holds mu.
func (g *Gateway) inflightAt(address string) int {
	n := 0
	for _, list := range g.serving {
		for i := range list {
			if list[i].Address == address {
				n += g.upstreams[list[i].ID].inflight
			}
		}
	}
	return n
}

// isClosed reports whether every engine that is heard of says that its group does not
// serve. The caller holds mu.
func (g *Gateway) isClosed(name string) bool {
	heard := false
	for _, u := range g.serving[name] {
		if l, ok := g.loads[u.Address]; ok && g.now()-l.at < freshLoad {
			if l.isOpen {
				return false
			}
			heard = true
		}
	}
	return heard
}

// darkest returns from which age of its load on an upstream of the service counts as dark.
// Where most are not heard, the reports are what is missing, and none does. The caller
// holds mu.
func (g *Gateway) darkest(name string, now time.Duration) time.Duration {
	list := g.serving[name]
	fresh := 0
	for i := range list {
		if l, ok := g.loads[list[i].Address]; ok && now-l.at < darkLoad {
			fresh++
		}
	}
	if 2*fresh <= len(list) {
		return math.MaxInt64
	}
	return darkLoad
}

// taken estimates the requests at an upstream from the last report and what this host
// has done since, or from this host's own alone. The caller holds mu.
func (g *Gateway) taken(u *registry.Upstream, now time.Duration) float64 {
	own := g.upstreams[u.ID].inflight
	l, ok := g.loads[u.Address]
	if !ok || now-l.at > freshLoad {
		// The other hosts are thought to have as many as this one, evenly spread.
		return float64(own) + float64(g.hosts.Load()-1)*g.meanInflight(u.Service)
	}
	return max(float64(l.total+own-l.inflight), float64(own))
}

// meanInflight is this host's attempts at an upstream of the service, on the mean. The
// caller holds mu.
func (g *Gateway) meanInflight(service string) float64 {
	list := g.serving[service]
	sum := 0
	for i := range list {
		sum += g.upstreams[list[i].ID].inflight
	}
	return float64(sum) / float64(max(len(list), 1))
}

// leastPace is the pace of the fastest engine of a service that is heard, 0 where none tells
// it. The caller holds mu.
func (g *Gateway) leastPace(name string, now time.Duration) float64 {
	least := 0.0
	for _, u := range g.serving[name] {
		l, ok := g.loads[u.Address]
		if ok && now-l.at < freshLoad && l.pace > 0 && (least == 0 || l.pace < least) {
			least = l.pace
		}
	}
	return least
}

// placesAt returns how many requests an engine should work on at once, fewer where it is
// slower than the fastest. The caller holds mu.
func (g *Gateway) placesAt(s *service, u *registry.Upstream, least float64, now time.Duration) int {
	l, ok := g.loads[u.Address]
	if !ok || now-l.at > freshLoad || least == 0 {
		return s.places
	}
	return balance.PlacesAt(s.engine, s.places, l.pace/least)
}

// free counts the places of a service that are free. The caller holds mu.
func (g *Gateway) free(name string, s *service) float64 {
	now := g.now()
	least := g.leastPace(name, now)
	sum := 0.0
	for i := range g.serving[name] {
		u := &g.serving[name][i]
		sum += max(float64(g.placesAt(s, u, least, now))-g.taken(u, now), 0)
	}
	return sum
}
