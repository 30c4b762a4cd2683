package local

import (
	"time"

	"github.com/sassafraspost/sassafraspost/test/faultproxy"
)

// crossing returns the proxies on the links between the named hosts and all others. What one
// agent dialled to another is there only where the dialled one is named: all who dial an
// agent come by one address.
func (s *System) crossing(isInside func(host string) bool) []*faultproxy.TCP {
	var out []*faultproxy.TCP
	for k, p := range s.links {
		if isInside(k.from) != isInside(k.to) {
			out = append(out, p)
		}
	}
	for name, p := range s.inbound {
		if isInside(name) {
			out = append(out, p)
		}
	}
	return out
}

func only(h *Host) func(string) bool {
	return func(name string) bool { return name == h.Name }
}

// Cut ends all links of a host and refuses new ones until Heal.
func (s *System) Cut(h *Host) {
	for _, p := range s.crossing(only(h)) {
		p.Cut()
	}
}

// FreezeLinks holds all bytes to and from a host until Heal, which lets them go on.
func (s *System) FreezeLinks(h *Host) {
	for _, p := range s.crossing(only(h)) {
		p.Freeze()
	}
}

// DelaySends holds each piece that a host sends for a while, until Heal; what it gets comes
// as usual.
func (s *System) DelaySends(h *Host, by time.Duration) {
	late := faultproxy.Fault{Delay: by}
	for k, p := range s.links {
		switch h.Name {
		case k.from:
			p.SetFault(faultproxy.Forward, late)
		case k.to:
			p.SetFault(faultproxy.Backward, late)
		}
	}
	if p := s.inbound[h.Name]; p != nil {
		p.SetFault(faultproxy.Backward, late)
	}
}

// Heal lifts the faults on all links of a host.
func (s *System) Heal(h *Host) {
	for _, p := range s.crossing(only(h)) {
		p.Heal()
	}
}

// CutDataCentre ends all links between a data centre and the rest.
func (s *System) CutDataCentre(dc string) {
	for _, p := range s.betweenCentres(dc) {
		p.Cut()
	}
}

// HealDataCentre lifts the faults on the links between a data centre and the rest.
func (s *System) HealDataCentre(dc string) {
	for _, p := range s.betweenCentres(dc) {
		p.Heal()
	}
}

func (s *System) betweenCentres(dc string) []*faultproxy.TCP {
	inside := make(map[string]bool)
	for _, h := range s.Daemons() {
		inside[h.Name] = h.DataCentre == dc
	}
	var out []*faultproxy.TCP
	for k, p := range s.links {
		if inside[k.from] != inside[k.to] {
			out = append(out, p)
		}
	}
	return out
}

// Link returns the proxy on the link by which from reaches to, nil without proxies.
func (s *System) Link(from, to *Host) *faultproxy.TCP {
	return s.links[linkKey{from.Name, to.Name}]
}

// Inbound returns the proxy before an agent, nil without proxies.
func (s *System) Inbound(h *Host) *faultproxy.TCP { return s.inbound[h.Name] }

// SetRewrite changes what happens to the messages between agents and entry hosts. It
// needs Layout.HasMessages; r is called by many goroutines.
func (s *System) SetRewrite(r faultproxy.Rewrite) {
	for _, m := range s.messages {
		m.SetRewrite(r)
	}
}
