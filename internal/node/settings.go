// Package node assembles the process of one host from the parts of the product, for a
// platform that gives it its settings: an entry host, a control host or an agent.
package node

import (
	"net/netip"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
)

// Settings are those of one process. Exactly one role is set.
type Settings struct {
	// Host is this host's name, DataCentre where it is.
	Host, DataCentre string
	IP               netip.Addr
	// PeerPort is where sessions are accepted, MetricsPort where metrics are read; both
	// are the same on all hosts.
	PeerPort, MetricsPort uint16
	// Seeds are addresses of control hosts, with the ports that operators call.
	Seeds []netip.AddrPort
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// MemoryMB is what the process may use.
	MemoryMB int
	// LinkRate is what the host's link carries, in bytes a second; 0 if that is not told.
	LinkRate float64
	// AnnounceInterval is how often upstreams announce themselves.
	AnnounceInterval time.Duration
	// GracePeriod is how long the process has to end.
	GracePeriod time.Duration
	// MaxControlHostFailures is how many control hosts may be lost at once.
	MaxControlHostFailures int
	// Budget bounds the repeats of all hosts together.
	Budget retrybudget.Params

	Entry   *EntrySettings
	Control *ControlSettings
	Agent   *AgentSettings
}

// EntrySettings are those of an entry host.
type EntrySettings struct {
	// Listen is for callers, Ready for who asks whether the host wants them.
	Listen, Ready netip.AddrPort
}

// ControlSettings are those of a control host.
type ControlSettings struct {
	// Listen is for upstreams and operators.
	Listen     netip.AddrPort
	DataFolder string
}

// AgentSettings are those of an agent.
type AgentSettings struct {
	// Upstream is the engine on this host, Service what it belongs to.
	Upstream netip.AddrPort
	Service  string
}

// role names the role in sessions and logs.
func (s *Settings) role() string {
	switch {
	case s.Entry != nil:
		return "entry"
	case s.Control != nil:
		return "control"
	}
	return "agent"
}

// peerAddress returns where a host accepts sessions.
func (s *Settings) peerAddress(ip netip.Addr) string {
	return netip.AddrPortFrom(ip, s.PeerPort).String()
}

// seedPeers returns the peer addresses of the seeds.
func (s *Settings) seedPeers() []string {
	out := make([]string, 0, len(s.Seeds))
	for _, a := range s.Seeds {
		out = append(out, s.peerAddress(a.Addr()))
	}
	return out
}

// voters returns how many control hosts vote: enough that a majority is left when as
// many are lost as must be borne.
func (s *Settings) voters() int { return 2*max(s.MaxControlHostFailures, 1) + 1 }
