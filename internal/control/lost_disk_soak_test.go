package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/test/faultproxy"
)

const (
	// lostDiskRounds is how often hosts lose their disks in a run of the soak.
	lostDiskRounds = 3
	// maxReplacementFaults is how many faults may disturb one replacement.
	maxReplacementFaults = 3
	// stepTimeout bounds the wait for a step of a replacement. Faults before can keep it from being reached.
	stepTimeout = 1200 * time.Millisecond
	// maxStepDelay is the longest time from a step to the fault.
	maxStepDelay = 30 * time.Millisecond
	// maxSyncTime is the longest time that the disks take for a sync. Without it, a replacement takes a few
	// milliseconds, and hardly any fault comes in the middle of one.
	maxSyncTime = 30 * time.Millisecond
	// maxReplacementFault is the longest fault. It is longer than the time after which a replica counts as dead.
	maxReplacementFault = 2 * clusterSilenceTimeout
	// settleTime is longer than a change of the voters takes that has begun.
	settleTime = 250 * time.Millisecond
	// maxShortFault is the longest fault of those, every other one, that end before that time.
	maxShortFault = 100 * time.Millisecond
)

// soakSeeds returns the seeds of a soak: those of every run, or as many as the variable NAME_SEEDS says, from
// NAME_FIRST on.
func soakSeeds(name string) []uint64 {
	count, err := strconv.Atoi(os.Getenv(name + "_SEEDS"))
	if err != nil {
		return []uint64{1, 2}
	}
	first, err := strconv.ParseUint(os.Getenv(name+"_FIRST"), 10, 64)
	if err != nil {
		first = 1
	}
	var seeds []uint64
	for i := range count {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

// Guards against a lost disk whose replacement does not end within catchUpTimeout, so that the loss of a
// further host costs the quorum. At any step of the replacement, its host or the leader is killed, loses power,
// is cut off, silent or frozen, or its disk hangs, or the host loses its disk once more. Also guards against the
// loss of an acknowledged configuration.
func TestSoakOfLostDisks(t *testing.T) {
	t.Parallel()
	layouts := []struct {
		name string
		// maxLost is how many hosts lose their disks at once.
		voters, spares, maxLost int
	}{{"three voters", 3, 0, 1}, {"a spare", 3, 1, 1}, {"five voters", 5, 0, 2}}
	for _, l := range layouts {
		for _, seed := range soakSeeds("LOST_DISK") {
			t.Run(fmt.Sprint(l.name, "/", seed), func(t *testing.T) {
				t.Parallel()
				s := &lostDiskSoak{random: rand.New(rand.NewPCG(seed, 65)), targets: rand.New(rand.NewPCG(seed, 66)), maxLost: l.maxLost}
				// The hosts are killed before this.
				t.Cleanup(func() {
					if t.Failed() {
						t.Logf("faults: %v\n%s", s.faults, s.log.String())
					}
				})
				s.testCluster = newTestCluster(t, l.voters, l.spares, &s.log)
				for _, h := range s.hosts {
					h.disk.syncTime.Store(int64(s.upTo(maxSyncTime)))
				}
				s.changeConfiguration()
				s.loseHosts()
				for range lostDiskRounds {
					s.round()
				}
				t.Logf("ms until all vote: %v, until a change after the next loss: %v, faults: %v", s.recoveries, s.changes, s.faults)
			})
		}
	}
}

// lostDiskSoak is a run in which hosts lose their disks one after the other.
type lostDiskSoak struct {
	*testCluster
	random *rand.Rand
	// targets chooses the hosts that get configurations. How many are sent depends on the time they take.
	targets *rand.Rand
	maxLost int
	log     lockedBuffer
	// lost are the hosts that are down and have lost their disks.
	lost []*clusterHost
	// acknowledged is the number of the newest acknowledged configuration, sent that of the newest one.
	acknowledged, sent uint64
	// recoveries are the times in ms from the end of the faults until no further vote is missing, changes those
	// from the next loss until a change is committed.
	recoveries, changes []int64
	faults              []string
}

// round lets the lost hosts come back with empty disks, disturbs their replacement, and loses others as soon as
// it has ended.
func (s *lostDiskSoak) round() {
	joining := s.lost
	s.lost = nil
	pause.For(s.t.Context(), s.faultTime())
	for _, h := range joining {
		h.start()
	}
	for range s.random.IntN(maxReplacementFaults + 1) {
		s.disturb(joining[s.random.IntN(len(joining))])
		s.tryChange()
	}
	s.awaitRecovery(time.Now())
	s.loseHosts()
	lost := time.Now()
	s.changeConfiguration()
	s.changes = append(s.changes, time.Since(lost).Milliseconds())
	s.checkConfiguration()
}

// awaitRecovery waits until the cluster can lose hosts again, for catchUpTimeout after the last one is back. With
// spare hosts it waits until no spare replaces a voter either that is back but was silent before: that voter
// counts as lost until then, and a further loss is one too many.
func (s *lostDiskSoak) awaitRecovery(back time.Time) {
	s.t.Helper()
	await := func(condition func() bool) {
		require.Eventually(s.t, condition, catchUpTimeout-time.Since(back), time.Millisecond, "hosts that are back don't vote")
	}
	await(s.canLoseHosts)
	s.recoveries = append(s.recoveries, time.Since(back).Milliseconds())
	if len(s.hosts) > s.voters {
		await(s.areAllVotersHeard)
		pause.For(s.t.Context(), settleTime)
		await(s.areAllVotersHeard)
	}
}

// areAllVotersHeard reports whether hosts can be lost and none of the voters counts as dead.
func (s *lostDiskSoak) areAllVotersHeard() bool {
	leader := s.currentLeader()
	if leader == nil || !s.canLoseHosts() {
		return false
	}
	st := leader.host.replica.Status()
	return !slices.ContainsFunc(st.Membership.Voters, func(v consensus.ReplicaID) bool {
		return v != leader.host.id && !leader.host.hasRecentContact(st, v)
	})
}

// upTo returns a random time.
func (s *lostDiskSoak) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// faultTime returns a random duration of a fault.
func (s *lostDiskSoak) faultTime() time.Duration {
	if s.random.IntN(2) == 0 {
		return s.upTo(maxShortFault)
	}
	return s.upTo(maxReplacementFault)
}

// running returns the hosts that run.
func (s *lostDiskSoak) running() []*clusterHost {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *clusterHost) bool { return h.host == nil })
}

// currentLeader returns a host that believes that it leads, nil if there is none.
func (s *lostDiskSoak) currentLeader() *clusterHost {
	for _, h := range s.running() {
		if h.host.replica.IsLeader() {
			return h
		}
	}
	return nil
}

// canLoseHosts reports whether all voters are the present replicas of hosts that run, as many as there should be.
func (s *lostDiskSoak) canLoseHosts() bool {
	leader := s.currentLeader()
	if leader == nil {
		return false
	}
	st := leader.host.replica.Status()
	if st.Role != consensus.Leader || !st.MembershipCommitted || len(st.Membership.Voters) != s.voters {
		return false
	}
	for _, v := range st.Membership.Voters {
		if !slices.ContainsFunc(s.running(), func(h *clusterHost) bool { return h.host.id == v }) {
			return false
		}
	}
	return true
}

// loseHosts kills as many hosts as the cluster can lose at once, which lose their disks.
func (s *lostDiskSoak) loseHosts() {
	for range s.maxLost {
		running := s.running()
		h := running[s.random.IntN(len(running))]
		if s.random.IntN(2) == 0 {
			s.faults = append(s.faults, "lost: "+h.name)
			h.kill()
		} else {
			s.faults = append(s.faults, "lost without power: "+h.name)
			s.powerOff(h)
		}
		h.disks++
		s.lost = append(s.lost, h)
	}
}

// replacementStep is a step of the replacement of a lost disk.
type replacementStep struct {
	name      string
	isReached func(st consensus.Status, id consensus.ReplicaID) bool
}

var replacementSteps = []replacementStep{
	{"start", func(consensus.Status, consensus.ReplicaID) bool { return true }},
	{"learner", func(st consensus.Status, id consensus.ReplicaID) bool { return st.Membership.IsLearner(id) }},
	{"learner committed", func(st consensus.Status, id consensus.ReplicaID) bool {
		return st.Membership.IsLearner(id) && st.MembershipCommitted
	}},
	{"catches up", func(st consensus.Status, id consensus.ReplicaID) bool {
		return slices.ContainsFunc(st.Peers, func(p consensus.PeerStatus) bool { return p.ID == id && p.MatchIndex > 0 })
	}},
	{"old voter removed", func(st consensus.Status, id consensus.ReplicaID) bool {
		isOfHost := func(v consensus.ReplicaID) bool { return hostOf(v) == hostOf(id) }
		return st.Membership.IsLearner(id) && !slices.ContainsFunc(st.Membership.Voters, isOfHost)
	}},
	{"voter", func(st consensus.Status, id consensus.ReplicaID) bool { return st.Membership.IsVoter(id) }},
	{"voter committed", func(st consensus.Status, id consensus.ReplicaID) bool {
		return st.Membership.IsVoter(id) && st.MembershipCommitted
	}},
	{"never", func(consensus.Status, consensus.ReplicaID) bool { return false }},
}

// awaitStep waits until the leader has reached a step of the replacement of a host's disk, for a random time at
// most.
func (s *lostDiskSoak) awaitStep(step replacementStep, h *clusterHost) {
	until := time.Now().Add(s.upTo(stepTimeout))
	for time.Now().Before(until) {
		if l := s.currentLeader(); l != nil && step.isReached(l.host.replica.Status(), h.host.id) {
			return
		}
		pause.For(s.t.Context(), time.Millisecond)
	}
}

// disturb brings a fault about at a step of the replacement of a host's disk, and ends it. The fault is that of
// the host or of the leader, which keeps its disk.
func (s *lostDiskSoak) disturb(joining *clusterHost) {
	step := replacementSteps[s.random.IntN(len(replacementSteps))]
	isAtLeader := s.random.IntN(3) == 0
	kinds := []string{"kill", "power off", "cut", "silent", "mute", "deaf", "undialled", "disk hangs", "frozen"}
	if !isAtLeader && s.random.IntN(2) == 0 {
		kinds = []string{"lose disk", "power off and lose disk"}
	}
	kind := kinds[s.random.IntN(len(kinds))]
	delay, duration := s.upTo(maxStepDelay), s.faultTime()
	if s.random.IntN(2) == 0 {
		delay = 0
	}
	s.awaitStep(step, joining)
	pause.For(s.t.Context(), delay)
	h := joining
	if l := s.currentLeader(); isAtLeader && l != nil {
		h = l
	}
	s.faults = append(s.faults, fmt.Sprint(h.name, " ", kind, " at ", step.name, " for ", duration.Milliseconds(), " ms"))
	s.beginFault(h, kind)
	pause.For(s.t.Context(), duration)
	s.endFault(h)
}

func (c *testCluster) beginFault(h *clusterHost, kind string) {
	frozen := faultproxy.Fault{Frozen: true}
	switch kind {
	case "kill":
		h.kill()
	case "power off":
		c.powerOff(h)
	case "lose disk":
		h.kill()
		h.disks++
	case "power off and lose disk":
		c.powerOff(h)
		h.disks++
	case "disk hangs":
		h.disk.hang()
	case "frozen":
		h.disk.hang()
		c.eachLink(h, func(out, in *clusterLink) { out.Freeze(); in.Freeze() })
	case "cut":
		c.eachLink(h, func(out, in *clusterLink) { out.Cut(); in.Cut() })
	case "silent":
		c.eachLink(h, func(out, in *clusterLink) { out.Freeze(); in.Freeze() })
	case "mute":
		c.eachLink(h, func(out, in *clusterLink) {
			out.SetFault(faultproxy.Forward, frozen)
			in.SetFault(faultproxy.Backward, frozen)
		})
	case "deaf":
		c.eachLink(h, func(out, in *clusterLink) {
			out.SetFault(faultproxy.Backward, frozen)
			in.SetFault(faultproxy.Forward, frozen)
		})
	case "undialled":
		c.eachLink(h, func(out, in *clusterLink) {
			for _, l := range []*clusterLink{out, in} {
				l.isUnanswered.Store(true)
				l.Cut()
			}
		})
	}
}

// powerOff ends a host's process. Its connections do not end.
func (c *testCluster) powerOff(h *clusterHost) {
	c.eachLink(h, func(out, in *clusterLink) { out.Vanish(); in.Vanish() })
	h.kill()
}

// eachLink calls f for the links from a host to each other one and back.
func (c *testCluster) eachLink(h *clusterHost, f func(out, in *clusterLink)) {
	for _, other := range c.hosts {
		if other != h {
			f(h.links[other], other.links[h])
		}
	}
}

func (c *testCluster) endFault(h *clusterHost) {
	h.disk.resume()
	c.eachLink(h, func(out, in *clusterLink) {
		for _, l := range []*clusterLink{out, in} {
			l.isUnanswered.Store(false)
			l.Heal()
		}
	})
	if h.host == nil {
		h.start()
	}
}

// put sends a configuration with the next number to a random host and reports whether it was acknowledged.
func (s *lostDiskSoak) put(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(s.t.Context(), timeout)
	defer cancel()
	running := s.running()
	s.sent++
	_, err := running[s.targets.IntN(len(running))].host.PutConfiguration(ctx, s.sent, fmt.Append(nil, s.sent), "soak")
	if err == nil {
		s.acknowledged = s.sent
	}
	return err == nil
}

// tryChange sends a configuration now and then, which need not be accepted.
func (s *lostDiskSoak) tryChange() {
	if s.random.IntN(2) == 0 {
		s.put(maxStepDelay)
	}
}

// changeConfiguration sends configurations until one is acknowledged.
func (s *lostDiskSoak) changeConfiguration() {
	require.Eventually(s.t, func() bool { return s.put(clientTimeout) }, conditionTimeout, time.Millisecond, "no configuration is accepted")
}

// checkConfiguration checks that all hosts that run return the newest acknowledged configuration, or a newer
// one that was sent.
func (s *lostDiskSoak) checkConfiguration() {
	for _, h := range s.running() {
		var got state.Configuration
		require.Eventually(s.t, func() bool {
			ctx, cancel := context.WithTimeout(s.t.Context(), clientTimeout)
			defer cancel()
			var err error
			got, err = h.host.Configuration(ctx)
			return err == nil
		}, conditionTimeout, time.Millisecond, "%s does not return the configuration", h.name)
		require.Equal(s.t, strconv.FormatUint(got.Number, 10), string(got.Data))
		require.GreaterOrEqual(s.t, got.Number, s.acknowledged, "an acknowledged configuration is lost")
		require.LessOrEqual(s.t, got.Number, s.sent)
	}
}
