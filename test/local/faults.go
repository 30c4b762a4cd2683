package local

import (
	"time"

	"github.com/sassafraspost/sassafraspost/test/faultproxy"
)

// proxiesAcross returns the proxies on the links between the hosts that isInside selects and
// all other hosts. An agent has one inbound proxy for everybody that dials it, so a connection
// from one agent to another is covered only if the dialled agent is selected.
func (s *System) proxiesAcross(isInside func(host string) bool) []*faultproxy.TCP {
	var proxies []*faultproxy.TCP
	for link, p := range s.linkProxies {
		if isInside(link.from) != isInside(link.to) {
			proxies = append(proxies, p)
		}
	}
	for name, p := range s.inboundProxies {
		if isInside(name) {
			proxies = append(proxies, p)
		}
	}
	return proxies
}

// isHost returns a predicate that selects one host, for proxiesAcross.
func isHost(h *Host) func(string) bool {
	return func(name string) bool { return name == h.Name }
}

// Cut closes all connections on a host's links and refuses new ones until Heal.
func (s *System) Cut(h *Host) {
	for _, p := range s.proxiesAcross(isHost(h)) {
		p.Cut()
	}
}

// FreezeLinks buffers all bytes to and from a host, without closing connections, until Heal
// delivers them.
func (s *System) FreezeLinks(h *Host) {
	for _, p := range s.proxiesAcross(isHost(h)) {
		p.Freeze()
	}
}

// DelayOutbound delays everything that a host sends by the given time, until Heal. What the
// host receives is not delayed.
func (s *System) DelayOutbound(h *Host, by time.Duration) {
	delayed := faultproxy.Fault{Delay: by}
	for link, p := range s.linkProxies {
		switch h.Name {
		case link.from:
			p.SetFault(faultproxy.Forward, delayed)
		case link.to:
			p.SetFault(faultproxy.Backward, delayed)
		}
	}
	if p := s.inboundProxies[h.Name]; p != nil {
		p.SetFault(faultproxy.Backward, delayed)
	}
}

// Heal removes the faults from all links of a host.
func (s *System) Heal(h *Host) {
	for _, p := range s.proxiesAcross(isHost(h)) {
		p.Heal()
	}
}

// CutDataCentre closes all connections between a data centre and the others, and refuses new
// ones until HealDataCentre.
func (s *System) CutDataCentre(dc string) {
	for _, p := range s.dataCentreProxies(dc) {
		p.Cut()
	}
}

// HealDataCentre removes the faults from the links between a data centre and the others.
func (s *System) HealDataCentre(dc string) {
	for _, p := range s.dataCentreProxies(dc) {
		p.Heal()
	}
}

// dataCentreProxies returns the proxies on the links between a data centre and the others.
// The inbound proxies of agents are not among them.
func (s *System) dataCentreProxies(dc string) []*faultproxy.TCP {
	isInside := make(map[string]bool)
	for _, h := range s.Daemons() {
		isInside[h.Name] = h.DataCentre == dc
	}
	var proxies []*faultproxy.TCP
	for link, p := range s.linkProxies {
		if isInside[link.from] != isInside[link.to] {
			proxies = append(proxies, p)
		}
	}
	return proxies
}

// Link returns the proxy on the connections that from dials to to, nil if the layout has no
// proxies.
func (s *System) Link(from, to *Host) *faultproxy.TCP {
	return s.linkProxies[linkKey{from.Name, to.Name}]
}

// Inbound returns the proxy in front of an agent, nil if the layout has no proxies.
func (s *System) Inbound(h *Host) *faultproxy.TCP { return s.inboundProxies[h.Name] }

// SetRewrite sets the function that rewrites the messages between agents and entry hosts. It
// needs Layout.HasMessageProxies. Goroutines call r concurrently.
func (s *System) SetRewrite(r faultproxy.Rewrite) {
	for _, m := range s.messageProxies {
		m.SetRewrite(r)
	}
}
