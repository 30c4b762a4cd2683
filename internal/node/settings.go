// Package node assembles the process of one host on a platform that supplies its settings. The host
// is an entry host, a control host or an agent.
package node

import (
	"net/netip"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
)

// Settings are the settings of one process. Exactly one of Entry, Control and Agent is set.
type Settings struct {
	// Host is the name of this host, DataCentre the data centre that it is in.
	Host, DataCentre string
	// DataCentreRegions holds the region of each data centre, nil if the settings name none.
	DataCentreRegions map[string]string
	IP                netip.Addr
	// PeerPort is the port for sessions of other hosts, MetricsPort the port for metrics. Both are
	// the same on all hosts.
	PeerPort, MetricsPort uint16
	// Seeds are addresses of control hosts, with the ports of their API for operators.
	Seeds []netip.AddrPort
	// FirstStart is set if the whole system starts for the first time, so that the control hosts
	// found a new cluster.
	FirstStart bool
	// MemoryMB is the memory that the process may use.
	MemoryMB int
	// Descriptors is the number of file descriptors that the process may have for sockets and data, 0 if unknown.
	Descriptors int
	// LinkRate is the capacity of the host's network link in bytes per second, 0 if unknown.
	LinkRate float64
	// AnnounceInterval is how often upstreams announce themselves.
	AnnounceInterval time.Duration
	// GracePeriod is how long the process may take to shut down.
	GracePeriod time.Duration
	// MaxControlHostFailures is how many control hosts may fail at the same time.
	MaxControlHostFailures int
	// RetryBudget limits the retries of all hosts together.
	RetryBudget retrybudget.Params
	// ColdBound limits what a cold upstream gets from all hosts together in any second.
	ColdBound backpressure.ColdBound
	// PlanReturns is gateway.Config.PlanReturns.
	PlanReturns bool

	Entry   *EntrySettings
	Control *ControlSettings
	Agent   *AgentSettings
}

// EntrySettings are the settings of an entry host.
type EntrySettings struct {
	// Listen is the listen address for callers, Ready that of the readiness check.
	Listen, Ready netip.AddrPort
}

// ControlSettings are the settings of a control host.
type ControlSettings struct {
	// Listen is the listen address for upstreams and operators.
	Listen     netip.AddrPort
	DataFolder string
}

// AgentSettings are the settings of an agent.
type AgentSettings struct {
	// Upstream is the address of the engine on this host, Service the service that it belongs to.
	Upstream netip.AddrPort
	Service  string
}

// role returns the name of the role, as used in logs and in sessions with control hosts.
func (s *Settings) role() string {
	switch {
	case s.Entry != nil:
		return "entry"
	case s.Control != nil:
		return "control"
	}
	return "agent"
}

// peerAddress returns the address at which the host with this IP accepts sessions.
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

// voters returns how many control hosts vote, so that a majority is left after
// MaxControlHostFailures failures.
func (s *Settings) voters() int { return 2*max(s.MaxControlHostFailures, 1) + 1 }
