package control

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/adminapi"
)

// clusterLog collects the lines of the hosts of a testCluster.
type clusterLog struct{ lockedBuffer }

// lines returns the lines of a host with a message.
func (l *clusterLog) lines(h *clusterHost, message string) []string {
	var out []string
	for line := range strings.Lines(l.String()) {
		if strings.Contains(line, "host="+h.name) && strings.Contains(line, "msg="+message) {
			out = append(out, line)
		}
	}
	return out
}

// awaitTimeout allows for a line that comes again only after quorumReportInterval, if what it says has changed since.
const awaitTimeout = quorumReportInterval + conditionTimeout

// await waits for a line of a host with a message that contains all of the texts.
func (l *clusterLog) await(t *testing.T, h *clusterHost, message string, texts ...string) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, line := range l.lines(h, message) {
			containsAll := true
			for _, text := range texts {
				containsAll = containsAll && strings.Contains(line, text)
			}
			if containsAll {
				return true
			}
		}
		return false
	}, awaitTimeout, time.Millisecond, "%s logs no %s with %q", h.name, message, texts)
}

// quorumLines returns how many lines about the quorum and its voters all hosts have logged.
func (l *clusterLog) quorumLines(hosts []*clusterHost) int {
	n := 0
	for _, h := range hosts {
		for _, m := range []string{noQuorumMessage, quorumBackMessage, voterSilentMessage, voterHeardMessage} {
			n += len(l.lines(h, m))
		}
	}
	return n
}

// Messages as the log has them.
const (
	noQuorumMessage    = `"no quorum"`
	quorumBackMessage  = `"quorum is back"`
	voterSilentMessage = `"voter is silent"`
	voterHeardMessage  = `"voter is heard again"`
)

// gauge returns a gauge of a running host.
func (h *clusterHost) gauge(name string) int64 {
	return metrics.GetOrRegisterGauge("control."+name, h.metrics).Value()
}

// awaitGauges waits until a running host shows these voters, voters heard and losses left, and whether it
// knows a leader.
func (h *clusterHost) awaitGauges(voters, heard, lossesLeft int64, hasLeader bool) {
	h.cluster.t.Helper()
	require.Eventually(h.cluster.t, func() bool {
		return h.gauge("voters") == voters && h.gauge("voters.heard") == heard && h.gauge("losses-left") == lossesLeft && (h.gauge("leaderless-ms") == 0) == hasLeader
	}, conditionTimeout, time.Millisecond, "gauges of %s", h.name)
}

// apiCluster returns what a running host shows to operators.
func (c *testCluster) apiCluster(h *clusterHost) adminapi.Cluster {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	shown, err := h.host.API().Cluster(ctx)
	require.NoError(c.t, err)
	require.Equal(c.t, string(h.host.id), shown.AnsweredBy)
	return shown
}

// forEachLink calls f with all links.
func (c *testCluster) forEachLink(f func(*clusterLink)) {
	for _, h := range c.hosts {
		for _, l := range h.links {
			f(l)
		}
	}
}

// Guards against a control host that lost its quorum with the processes of two others and logs nothing, or
// does not say since when and who is missing.
func TestControlHostReportsThatTwoOthersAreGone(t *testing.T) {
	var log clusterLog
	c := newTestCluster(t, 3, 0, &log)
	for _, h := range c.hosts {
		h.awaitGauges(3, 3, 1, true)
	}
	left := c.leader()
	var gone []*clusterHost
	var ids []string
	for _, h := range c.hosts {
		if h != left {
			gone, ids = append(gone, h), append(ids, string(h.host.id))
			h.kill()
		}
	}
	log.await(t, left, noQuorumMessage, "level=WARN", "since=", "heard=1", "quorum=2", "missing=", ids[0], ids[1], "Session:false")
	left.awaitGauges(3, 1, 0, false)
	shown := c.apiCluster(left)
	require.False(t, shown.HasQuorum)
	require.Positive(t, shown.LeaderlessFor)
	require.Zero(t, shown.LossesLeft)
	require.Len(t, shown.Replicas, 3)
	for _, r := range shown.Replicas {
		require.Equal(t, r.ID == shown.AnsweredBy, r.IsHeard, r.ID)
		require.False(t, r.HasSession, r.ID)
	}
	require.Empty(t, log.lines(left, quorumBackMessage))
	for _, h := range gone {
		h.start()
	}
	log.await(t, left, quorumBackMessage, "ms=")
	for _, h := range c.hosts {
		h.awaitGauges(3, 3, 1, true)
	}
}

// Guards against a cluster that would not survive the next loss and says so nowhere.
func TestLeaderReportsAVoterThatIsGoneWhileThereIsAQuorum(t *testing.T) {
	var log clusterLog
	c := newTestCluster(t, 3, 0, &log)
	leader := c.leader()
	gone := c.follower()
	other := c.follower(gone)
	id := string(gone.host.id)
	gone.kill()
	log.await(t, leader, voterSilentMessage, "level=WARN", "replica="+id, "session=false", "heard=2", "losses_left=0")
	leader.awaitGauges(3, 2, 0, true)
	other.awaitGauges(3, 2, 0, true)
	for _, h := range []*clusterHost{leader, other} {
		shown := c.apiCluster(h)
		require.True(t, shown.HasQuorum)
		require.Zero(t, shown.LeaderlessFor)
		require.Zero(t, shown.LossesLeft)
		for _, r := range shown.Replicas {
			require.Equal(t, r.ID != id, r.IsHeard, "%s at %s", r.ID, h.name)
		}
	}
	gone.start()
	log.await(t, leader, voterHeardMessage, "replica="+id, "heard=3", "losses_left=1")
	for _, h := range c.hosts {
		h.awaitGauges(3, 3, 1, true)
		require.Empty(t, log.lines(h, noQuorumMessage), h.name)
	}
	require.Empty(t, log.lines(other, voterSilentMessage), "only the leader tells")
}

// Guards against control hosts that are all apart from each other and log nothing, as in the incident of a
// configuration that does not come back. The links are silent in one case, and dials fail in the other.
func TestAllControlHostsReportThatTheyAreApart(t *testing.T) {
	for name, change := range map[string]struct{ cut, heal func(*clusterLink) }{
		"closed": {func(l *clusterLink) { l.Cut() }, func(l *clusterLink) { l.Heal() }},
		"silent": {func(l *clusterLink) { l.Freeze(); l.isUnanswered.Store(true) }, func(l *clusterLink) { l.Heal(); l.isUnanswered.Store(false) }},
	} {
		t.Run(name, func(t *testing.T) {
			var log clusterLog
			c := newTestCluster(t, 3, 0, &log)
			losses := metrics.GetOrRegisterCounter("replica.leader-losses", c.leader().metrics)
			before := losses.Count()
			c.forEachLink(change.cut)
			for _, h := range c.hosts {
				log.await(t, h, noQuorumMessage, "heard=1", "quorum=2", "Session:false")
				h.awaitGauges(3, 1, 0, false)
			}
			require.Equal(t, before+1, losses.Count(), "losses of the leader")
			c.forEachLink(change.heal)
			for _, h := range c.hosts {
				log.await(t, h, quorumBackMessage)
				h.awaitGauges(3, 3, 1, true)
			}
		})
	}
}

// Guards against links that carry pings but no messages of the consensus and look like present voters.
func TestControlHostReportsThatItIsDeafForTheConsensus(t *testing.T) {
	var log clusterLog
	c := newTestCluster(t, 3, 0, &log)
	for _, h := range c.hosts {
		h.isDeaf.Store(true)
	}
	for _, h := range c.hosts {
		log.await(t, h, noQuorumMessage, "Session:true")
		h.awaitGauges(3, 1, 0, false)
	}
	for _, r := range c.apiCluster(c.hosts[0]).Replicas {
		require.True(t, r.IsSelf || r.HasSession && !r.IsHeard, r.ID)
	}
	for _, h := range c.hosts {
		h.isDeaf.Store(false)
	}
	for _, h := range c.hosts {
		log.await(t, h, quorumBackMessage)
	}
}

// Guards against disks that don't answer, which keep the hosts from electing a leader, and look like missing
// voters. A write that does not end logs nothing by itself.
func TestControlHostsReportThatTheirDisksHang(t *testing.T) {
	var log clusterLog
	c := newTestCluster(t, 3, 0, &log)
	c.forEachLink(func(l *clusterLink) { l.Cut() })
	for _, h := range c.hosts {
		h.awaitGauges(3, 1, 0, false)
		h.disk.hang()
	}
	c.forEachLink(func(l *clusterLink) { l.Heal() })
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return h.gauge("disk-wait-ms") > 1000 }, conditionTimeout, time.Millisecond, h.name)
		h.awaitGauges(3, 3, 0, false)
		log.await(t, h, noQuorumMessage)
	}
	for _, h := range c.hosts {
		h.disk.resume()
	}
	for _, h := range c.hosts {
		log.await(t, h, quorumBackMessage)
	}
}

// Guards against warnings in a calm cluster and for restarts that operators plan.
func TestPlannedRestartsAreNotReported(t *testing.T) {
	var log clusterLog
	c := newTestCluster(t, 3, 0, &log)
	limits := newQuorumLimits(clusterTick, clusterElectionTicks, clusterSilenceTimeout)
	checked := 0
	for _, h := range c.hosts {
		for _, other := range c.hosts {
			other.awaitGauges(3, 3, 1, true)
		}
		began, before := time.Now(), log.quorumLines(c.hosts)
		ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
		require.NoError(t, h.host.Close(ctx))
		cancel()
		h.kill()
		h.start()
		for _, other := range c.hosts {
			other.awaitGauges(3, 3, 1, true)
		}
		// A restart that takes long on a busy machine is reported.
		if took := time.Since(began); took >= min(limits.election, limits.warning) {
			t.Logf("%s was away for %s", h.name, took)
			continue
		}
		checked++
		require.Equal(t, before, log.quorumLines(c.hosts), "after the restart of %s", h.name)
	}
	require.Positive(t, checked, "no restart was quick enough")
}

// Guards against metrics that don't tell which voter is missing, or that go on to tell of one that was
// replaced.
func TestGaugesNameTheVoters(t *testing.T) {
	reg := metrics.NewRegistry()
	gauges := newQuorumGauges(reg)
	v := quorumView{Voters: []memberView{
		{ID: "a/1", IsSelf: true, IsHeard: true},
		{ID: "b/1", IsHeard: true, HeardAge: 20 * time.Millisecond, ConsensusAge: 30 * time.Millisecond},
		{ID: "c/1", HeardAge: 5 * time.Second, ConsensusAge: never},
	}}
	value := func(name string) int64 { return metrics.GetOrRegisterGauge("control.voters."+name, reg).Value() }
	gauges.update(v)
	require.EqualValues(t, []int64{1, 0, 0}, []int64{value("a.heard"), value("a.heard-ms"), value("a.consensus-ms")})
	require.EqualValues(t, []int64{1, 20, 30}, []int64{value("b.heard"), value("b.heard-ms"), value("b.consensus-ms")})
	require.EqualValues(t, []int64{0, 5000, -1}, []int64{value("c.heard"), value("c.heard-ms"), value("c.consensus-ms")})
	v.Voters[2] = memberView{ID: "d/1", IsHeard: true}
	gauges.update(v)
	require.EqualValues(t, 1, value("d.heard"))
	for _, name := range []string{"c.heard", "c.heard-ms", "c.consensus-ms"} {
		require.Nil(t, reg.Get("control.voters."+name))
	}
	require.NotNil(t, reg.Get("control.voters.heard"))
}

// Guards against messages of the consensus that are lost on their way to one host and seen nowhere.
func TestMessagesOfTheConsensusAreCountedByHost(t *testing.T) {
	c := newTestCluster(t, 3, 0, nil)
	leader, other := c.leader(), c.follower()
	count := func(h, with *clusterHost, what string) int64 {
		return metrics.GetOrRegisterCounter("consensus.peer."+with.name+"."+what, h.metrics).Count()
	}
	awaitMore := func(h, with *clusterHost, what string) {
		t.Helper()
		before := count(h, with, what)
		require.Eventually(t, func() bool { return count(h, with, what) > before }, conditionTimeout, time.Millisecond, what)
	}
	for _, what := range []string{"sent", "received"} {
		awaitMore(leader, other, what)
		awaitMore(other, leader, what)
	}
	other.isDeaf.Store(true)
	before := count(other, leader, "received")
	for range 10 {
		awaitMore(leader, other, "sent")
	}
	require.LessOrEqual(t, count(other, leader, "received"), before+2, "one message of each session may have been on its way")
	other.kill()
	awaitMore(leader, other, "dropped")
}
