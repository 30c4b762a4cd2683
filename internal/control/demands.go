package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// maxHostDemandAge is the age up to which the demand at an entry host counts. Entry hosts report it
// every second.
const maxHostDemandAge = 2500 * time.Millisecond

// hostDemand is the demand at an entry host, as it was reported at a time.
type hostDemand struct {
	all []wire.ServiceDemand
	at  time.Duration
}

// setDemand stores the demand at an entry host.
func (f *fleet) setDemand(s *peer.Session, all []wire.ServiceDemand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.attached[s] == roleEntry {
		f.demands[s] = hostDemand{all: all, at: f.now()}
	}
}

// totalDemands returns the sums of the recent demands at the attached entry hosts by service, sorted by
// name. It forgets outdated ones. The caller holds mu.
func (f *fleet) totalDemands() []wire.ServiceDemand {
	sums := make(map[string]float64)
	for s, d := range f.demands {
		if !s.Alive() || f.now()-d.at > maxHostDemandAge {
			delete(f.demands, s)
			continue
		}
		for _, service := range d.all {
			sums[service.Service] += service.PerSecond
		}
	}
	out := make([]wire.ServiceDemand, 0, len(sums))
	for name, perSecond := range sums {
		out = append(out, wire.ServiceDemand{Service: name, PerSecond: perSecond})
	}
	slices.SortFunc(out, func(a, b wire.ServiceDemand) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// sendDemands sends the total demands to the attached entry hosts, if there are any. The caller holds
// mu.
func (f *fleet) sendDemands() {
	totals := f.totalDemands()
	if len(totals) == 0 {
		return
	}
	m := f.hostsMessage()
	m.ControlHosts, m.Demands = nil, totals
	p, err := peer.Prepare(m)
	if err != nil {
		f.h.cfg.Log.Error("demands can't be encoded", "error", err.Error())
		return
	}
	for s, role := range f.attached {
		if role == roleEntry && s.Alive() {
			// A host whose queue is full uses what it had, and gets the next totals.
			_ = s.PostPrepared(p)
		}
	}
}
