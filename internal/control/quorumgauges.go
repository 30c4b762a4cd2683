package control

import "github.com/rcrowley/go-metrics"

// quorumGauges are the metrics of the quorum. They are not safe for concurrent use.
type quorumGauges struct {
	registry                                            metrics.Registry
	voters, heard, lossesLeft, leaderlessMS, diskWaitMS metrics.Gauge
	// byHost holds the gauges of each voter's host.
	byHost map[string]voterGauges
}

// voterGauges tell of one voter whether this host hears it, and the milliseconds since its last message of
// any kind and since its last one of the consensus, -1 for never.
type voterGauges struct {
	heard, heardMS, consensusMS metrics.Gauge
}

// Names of voterGauges, behind the name of the host.
const (
	gaugeVoterHeard       = ".heard"
	gaugeVoterHeardMS     = ".heard-ms"
	gaugeVoterConsensusMS = ".consensus-ms"
)

func voterGaugePrefix(host string) string { return "control.voters." + host }

func newQuorumGauges(reg metrics.Registry) *quorumGauges {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("control."+name, reg) }
	return &quorumGauges{
		registry: reg, byHost: make(map[string]voterGauges),
		voters: gauge("voters"), heard: gauge("voters.heard"), lossesLeft: gauge("losses-left"),
		leaderlessMS: gauge("leaderless-ms"), diskWaitMS: gauge("disk-wait-ms"),
	}
}

func (g *quorumGauges) update(v quorumView) {
	g.voters.Update(int64(len(v.Voters)))
	g.heard.Update(int64(v.Heard))
	g.lossesLeft.Update(int64(v.lossesLeft()))
	g.leaderlessMS.Update(v.LeaderlessFor.Milliseconds())
	g.diskWaitMS.Update(v.DiskWait.Milliseconds())
	hosts := make(map[string]bool, len(v.Voters))
	for _, voter := range v.Voters {
		host := hostOf(voter.ID)
		hosts[host] = true
		gauges := g.of(host)
		gauges.heard.Update(int64(boolToInt(voter.IsHeard)))
		gauges.heardMS.Update(milliseconds(voter.HeardAge))
		gauges.consensusMS.Update(milliseconds(voter.ConsensusAge))
	}
	g.removeOthers(hosts)
}

// of returns the gauges of a voter's host.
func (g *quorumGauges) of(host string) voterGauges {
	known, isKnown := g.byHost[host]
	if !isKnown {
		gauge := func(name string) metrics.Gauge {
			return metrics.GetOrRegisterGauge(voterGaugePrefix(host)+name, g.registry)
		}
		known = voterGauges{heard: gauge(gaugeVoterHeard), heardMS: gauge(gaugeVoterHeardMS), consensusMS: gauge(gaugeVoterConsensusMS)}
		g.byHost[host] = known
	}
	return known
}

// removeOthers removes the gauges of hosts that don't vote any more.
func (g *quorumGauges) removeOthers(hosts map[string]bool) {
	for host := range g.byHost {
		if hosts[host] {
			continue
		}
		for _, name := range []string{gaugeVoterHeard, gaugeVoterHeardMS, gaugeVoterConsensusMS} {
			g.registry.Unregister(voterGaugePrefix(host) + name)
		}
		delete(g.byHost, host)
	}
}
