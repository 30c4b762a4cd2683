package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/test/faultproxy"
)

const (
	// lossSoakTime is how long hosts are lost in a run of the soak.
	lossSoakTime = 15 * time.Second
	// maxLossTime is the longest time from the loss of a host until it, or its successor, is back. It is
	// longer than the time after which a silent voter is replaced.
	maxLossTime = 4 * time.Second
	// maxLossPause is the longest time in which a host is not lost that might be.
	maxLossPause = 500 * time.Millisecond
	// changeTimeout is the time that the users allow for a change while hosts are lost, ackTimeoutMs and
	// maxStretchMs.
	changeTimeout = 9 * time.Second
)

// Guards against a loss that, although no more hosts are lost at any time than the cluster can lose, leaves it
// unable to make changes or loses an acknowledged one: a voter that is gone for good and never replaced, or
// replaced at the cost of the quorum. Hosts are gone, lose their disks, restart, freeze and are cut off, at
// times that are independent of each other, and each counts as lost until catchUpTimeout after it is back.
func TestSoakOfLostHosts(t *testing.T) {
	t.Parallel()
	layouts, seeds := []lossLayout{{"five voters", 5, 0, 4}, {"five voters, spares", 5, 3, 4}, {"three voters", 3, 0, 3}, {"three voters, spares", 3, 2, 3}}, soakSeeds("LOSS")
	if testing.Short() {
		layouts, seeds = layouts[:1], seeds[:1]
	}
	for _, l := range layouts {
		for _, seed := range seeds {
			t.Run(fmt.Sprint(l.name, "/", seed), func(t *testing.T) {
				t.Parallel()
				newLossSoak(t, l, seed).run()
			})
		}
	}
}

// lossLayout is a cluster, the hosts of which are spread over data centres in turn.
type lossLayout struct {
	name                        string
	voters, spares, dataCentres int
}

// lossSoak is a run in which up to as many hosts as the cluster can lose are lost at any time.
type lossSoak struct {
	*testCluster
	random *rand.Rand
	log    lockedBuffer
	faults []string
	// mu guards the processes of the hosts, which are started and ended while configurations are sent.
	mu sync.Mutex
	// successors are the hosts that have not run yet.
	successors []*clusterHost
	losses     []*loss
	// acknowledged is the number of the newest acknowledged configuration, acknowledgedAt the time of it in
	// nanoseconds of the Unix epoch.
	acknowledged   atomic.Uint64
	acknowledgedAt atomic.Int64
	// longest is the longest time between two acknowledged configurations.
	longest time.Duration
	stale   chan string
}

// loss is one host that is lost, or the pause until the next one.
type loss struct {
	host  *clusterHost
	kind  string
	end   func()
	endAt time.Time
	// countsUntil is when the loss counts no longer, zero until its end.
	countsUntil time.Time
}

func newLossSoak(t *testing.T, l lossLayout, seed uint64) *lossSoak {
	s := &lossSoak{random: rand.New(rand.NewPCG(seed, uint64(10*l.voters+l.spares))), stale: make(chan string, 1)}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("faults:\n%v\n%s", s.faults, s.log.String())
		}
	})
	maxLosses := (l.voters - 1) / 2
	successors := maxLosses * int(lossSoakTime/catchUpTimeout+1)
	s.testCluster = newTestClusterWithTick(t, l.voters, l.spares+successors, &s.log, platformTick)
	for i, h := range s.hosts {
		h.kill()
		h.dataCentre = string(rune('a' + i%l.dataCentres))
	}
	running := l.voters + l.spares
	s.successors = s.hosts[running:]
	for _, h := range s.successors {
		h.disks++
	}
	for _, h := range s.hosts[:running] {
		h.start()
	}
	s.awaitAllVote()
	s.losses = make([]*loss, maxLosses)
	return s
}

// awaitAllVote waits until there are as many voters as there should be, all of them present.
func (s *lossSoak) awaitAllVote() {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.presentVoters() != nil
	}, catchUpTimeout, time.Millisecond, "voters are missing")
}

func (s *lossSoak) run() {
	ctx, cancel := context.WithCancel(s.t.Context())
	var wg sync.WaitGroup
	s.acknowledgedAt.Store(time.Now().UnixNano())
	wg.Go(func() { s.change(ctx) })
	defer func() { cancel(); wg.Wait() }()
	for began := time.Now(); time.Since(began) < lossSoakTime || s.isAnyLost(); {
		s.step(time.Since(began) < lossSoakTime)
		s.checkChanges()
		pause.For(ctx, time.Millisecond)
	}
	s.awaitAllVote()
	s.t.Logf("longest time without an acknowledged change: %v, faults: %v", s.longest.Round(time.Millisecond), s.faults)
}

func (s *lossSoak) isAnyLost() bool {
	return slices.ContainsFunc(s.losses, func(l *loss) bool { return l != nil })
}

// step ends the losses whose time is over and, if canBegin is set, begins others in their places.
func (s *lossSoak) step(canBegin bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i, l := range s.losses {
		switch {
		case l == nil && canBegin:
			s.losses[i] = s.begin(now)
		case l != nil && l.end != nil && now.After(l.endAt):
			l.end()
			l.end = nil
			l.countsUntil = time.Now().Add(catchUpTimeout)
			s.note("%s: end of %s", l.host.name, l.kind)
		case l != nil && l.end == nil && now.After(l.countsUntil):
			s.losses[i] = nil
		}
	}
}

func (s *lossSoak) note(format string, args ...any) {
	s.faults = append(s.faults, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...)+"\n")
}

// begin loses a random host that is not lost, every other time the leader, or returns a pause.
func (s *lossSoak) begin(now time.Time) *loss {
	if s.random.IntN(3) == 0 {
		return &loss{countsUntil: now.Add(s.upTo(maxLossPause))}
	}
	candidates := slices.DeleteFunc(slices.Clone(s.hosts), func(h *clusterHost) bool {
		return h.host == nil || slices.ContainsFunc(s.losses, func(l *loss) bool { return l != nil && l.host == h })
	})
	h := candidates[s.random.IntN(len(candidates))]
	if i := slices.IndexFunc(candidates, func(h *clusterHost) bool { return h.host.replica.IsLeader() }); i >= 0 && s.random.IntN(2) == 0 {
		h = candidates[i]
	}
	l := &loss{host: h, endAt: now.Add(s.upTo(maxLossTime))}
	s.lose(l)
	s.note("%s: %s for %v", h.name, l.kind, l.endAt.Sub(now).Round(time.Millisecond))
	return l
}

// lose draws what happens to a host, brings it about and sets how it ends.
func (s *lossSoak) lose(l *loss) {
	h := l.host
	end := []func(){h.kill, func() { s.powerOff(h) }, func() { s.leave(h) }}[s.random.IntN(3)]
	kinds := []string{"disk lost", "restart", "frozen", "cut off"}
	if len(s.successors) > 0 {
		kinds = append(kinds, "gone", "gone", "gone", "gone")
	}
	l.kind = kinds[s.random.IntN(len(kinds))]
	switch l.kind {
	case "gone":
		end()
		l.end = s.startSuccessor(l)
	case "disk lost":
		end()
		h.disks++
		l.end = h.start
	case "restart":
		end()
		l.end = h.start
	case "frozen":
		frozen := faultproxy.Fault{Frozen: true}
		h.disk.hang()
		l.end = s.fault(h, &linkFault{forward: frozen, backward: frozen})
	case "cut off":
		l.end = s.fault(h, &linkFault{isCut: true, isUnanswered: true})
	}
}

// startSuccessor returns a function that starts the next successor in the place of a host that is gone.
func (s *lossSoak) startSuccessor(l *loss) func() {
	next := s.successors[0]
	s.successors = s.successors[1:]
	if s.random.IntN(2) == 0 {
		next.dataCentre = l.host.dataCentre
	}
	return func() {
		next.start()
		l.host = next
	}
}

// leave ends a host's process in an orderly way.
func (s *lossSoak) leave(h *clusterHost) {
	ctx, cancel := context.WithTimeout(s.t.Context(), contactTimeout)
	defer cancel()
	_ = h.host.Close(ctx)
	h.kill()
}

// fault begins a fault of all links of a host and returns a function that ends it.
func (s *lossSoak) fault(h *clusterHost, f *linkFault) func() {
	s.eachLink(h, func(out, in *clusterLink) { out.begin(f); in.begin(f) })
	return func() {
		h.disk.resume()
		s.eachLink(h, func(out, in *clusterLink) { out.end(f); in.end(f) })
	}
}

func (s *lossSoak) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// checkChanges checks that a configuration was acknowledged of late and that none was read that was too old.
func (s *lossSoak) checkChanges() {
	s.t.Helper()
	since := time.Since(time.Unix(0, s.acknowledgedAt.Load()))
	s.longest = max(s.longest, since)
	require.Less(s.t, since, changeTimeout, "no configuration is acknowledged")
	select {
	case read := <-s.stale:
		require.Fail(s.t, read)
	default:
	}
}

// change sends one configuration after the other to random hosts, and reads each that is acknowledged back at
// another, until ctx ends.
func (s *lossSoak) change(ctx context.Context) {
	for number := uint64(1); ctx.Err() == nil; number++ {
		if s.put(ctx, number) {
			s.acknowledged.Store(number)
			s.acknowledgedAt.Store(time.Now().UnixNano())
			s.read(ctx, number)
		}
		pause.For(ctx, retryDelay)
	}
}

// anyHost returns a host that runs, which may be ended at any time.
func (s *lossSoak) anyHost() (string, *Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := slices.DeleteFunc(slices.Clone(s.hosts), func(h *clusterHost) bool { return h.host == nil })
	h := running[rand.IntN(len(running))]
	return h.name, h.host
}

func (s *lossSoak) put(ctx context.Context, number uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, host := s.anyHost()
	_, err := host.PutConfiguration(ctx, number, fmt.Append(nil, number), "soak")
	return err == nil
}

// read reads a configuration at any host, which may fail to answer but may not answer with an older one.
func (s *lossSoak) read(ctx context.Context, acknowledged uint64) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	name, host := s.anyHost()
	got, err := host.Configuration(ctx)
	if err == nil && (got.Number < acknowledged || string(got.Data) != strconv.FormatUint(got.Number, 10)) {
		select {
		case s.stale <- fmt.Sprintf("%s returns configuration %d, %q, after %d was acknowledged", name, got.Number, got.Data, acknowledged):
		default:
		}
	}
}
