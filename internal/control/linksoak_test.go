package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/test/faultproxy"
)

const (
	// linkSoakRounds is how often faults begin and end in a run of the soak, maxLinkFaults how many begin in
	// one round, and maxLinkFaultTime the latest time at which one ends.
	linkSoakRounds   = 2
	maxLinkFaults    = 5
	maxLinkFaultTime = 2500 * time.Millisecond
	// maxLinkDelay is the longest delay of the bytes of a link.
	maxLinkDelay = 200 * time.Millisecond
)

// linkSoakSeeds returns the seeds of every run, or as many as LINK_SOAK_SEEDS says, from LINK_SOAK_FIRST on.
func linkSoakSeeds() []uint64 {
	count, err := strconv.Atoi(os.Getenv("LINK_SOAK_SEEDS"))
	if err != nil {
		return []uint64{1, 2, 3}
	}
	first, err := strconv.ParseUint(os.Getenv("LINK_SOAK_FIRST"), 10, 64)
	if err != nil {
		first = 1
	}
	var seeds []uint64
	for i := range count {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

// Guards against any course of faults of the links, beside a kill, a lost disk and disks that hang, after
// whose end the control hosts find no leader or accept no change in time.
func TestControlHostsAcceptChangesAfterLinkFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range linkSoakSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var log lockedBuffer
			s := &linkSoak{testCluster: newTestCluster(t, 3, 0, &log), random: rand.New(rand.NewPCG(seed, 65))}
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("faults:\n%s\nlog:\n%s", strings.Join(s.faults, "\n"), log.String())
				}
			})
			for range linkSoakRounds {
				s.round()
			}
			t.Logf("longest time to a change: %v", s.longest)
		})
	}
}

// linkSoak is a run in which faults of links, hosts and disks overlap.
type linkSoak struct {
	*testCluster
	random *rand.Rand
	// number is that of the last configuration, longest the longest time to an accepted one.
	number  uint64
	longest time.Duration
	// hasLostDisk is set once a host has lost its disk in this round: the loss of a second one before the
	// first is replaced may cost the quorum for good.
	hasLostDisk bool
	// faults describes the faults of all rounds.
	faults []string
}

// action begins or ends a fault at a time after the beginning of the round.
type action struct {
	at   time.Duration
	what string
	do   func()
}

// round brings faults about, ends them, and checks that each host accepts a change in time.
func (s *linkSoak) round() {
	s.hasLostDisk = false
	var actions []action
	for range 1 + s.random.IntN(maxLinkFaults) {
		from := s.upTo(maxLinkFaultTime)
		actions = append(actions, s.fault(from, from+s.upTo(maxLinkFaultTime-from))...)
	}
	slices.SortStableFunc(actions, func(a, b action) int { return int(a.at - b.at) })
	began := time.Now()
	for _, a := range actions {
		pause.For(s.t.Context(), a.at-time.Since(began))
		s.faults = append(s.faults, fmt.Sprintf("%s %v %s", time.Now().Format("05.000"), a.at, a.what))
		a.do()
	}
	s.heal()
	s.faults = append(s.faults, time.Now().Format("05.000")+" all is healed")
	s.requireChanges()
	s.awaitVoters(s.hosts...)
}

func (s *linkSoak) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// fault returns the beginning and the end of a random fault.
func (s *linkSoak) fault(from, to time.Duration) []action {
	if s.random.IntN(4) > 0 {
		return s.linkFault(from, to)
	}
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch s.random.IntN(4) {
	case 0:
		return []action{{from, h.name + " is killed", h.kill}, {to, h.name + " starts", func() {
			if h.host == nil {
				h.start()
			}
		}}}
	case 1:
		if s.hasLostDisk {
			return nil
		}
		s.hasLostDisk = true
		return []action{{from, h.name + " loses its disk", h.wipe}}
	default:
		var out []action
		for _, h := range s.someHosts() {
			out = append(out, action{from, "the disk of " + h.name + " hangs", h.disk.hang}, action{to, "the disk of " + h.name + " works", h.disk.resume})
		}
		return out
	}
}

// someHosts returns one to three hosts.
func (s *linkSoak) someHosts() []*clusterHost {
	all := slices.Clone(s.hosts)
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+s.random.IntN(len(all))]
}

// linkFault returns the beginning and the end of a fault of one link, of all links of a host, or of all.
func (s *linkSoak) linkFault(from, to time.Duration) []action {
	f := s.randomLinkFault()
	var out []action
	for _, l := range s.someLinks() {
		out = append(out,
			action{from, fmt.Sprintf("%s: %+v", l.name, f), func() { l.begin(f) }},
			action{to, fmt.Sprintf("%s: end of %+v", l.name, f), func() { l.end(f) }})
	}
	return out
}

func (s *linkSoak) randomLinkFault() *linkFault {
	f := &linkFault{}
	delay := faultproxy.Fault{Delay: s.upTo(maxLinkDelay)}
	switch s.random.IntN(8) {
	case 0:
		f.forward.Frozen = true
	case 1:
		f.backward.Frozen = true
	case 2:
		f.forward.Frozen, f.backward.Frozen = true, true
	case 3:
		f.isCut = true
	case 4:
		f.isUnanswered = true
	case 5:
		f.isUnanswered, f.forward.Frozen, f.backward.Frozen = true, true, true
	case 6:
		f.isLossy = true
	default:
		f.forward, f.backward = delay, delay
	}
	return f
}

// someLinks returns one link, both links of a pair, the links to, from or of a host, or all links.
func (s *linkSoak) someLinks() []*clusterLink {
	pair := s.random.Perm(len(s.hosts))
	a, b := s.hosts[pair[0]], s.hosts[pair[1]]
	mode := s.random.IntN(6)
	var out []*clusterLink
	for _, from := range s.hosts {
		for _, to := range s.hosts {
			isChosen := false
			switch mode {
			case 0:
				isChosen = from == a && to == b
			case 1:
				isChosen = from == a && to == b || from == b && to == a
			case 2:
				isChosen = from == a
			case 3:
				isChosen = to == a
			case 4:
				isChosen = from == a || to == a
			default:
				isChosen = true
			}
			if isChosen && from != to {
				out = append(out, from.links[to])
			}
		}
	}
	return out
}

// heal ends all faults.
func (s *linkSoak) heal() {
	for _, h := range s.hosts {
		h.disk.resume()
		for _, l := range h.links {
			l.endAll()
		}
	}
	for _, h := range s.hosts {
		if h.host == nil {
			h.start()
		}
	}
}

// requireChanges requires that each host accepts a new configuration and reads it back in time. Callers try
// again after an error.
func (s *linkSoak) requireChanges() {
	began := time.Now()
	ctx, cancel := context.WithTimeout(s.t.Context(), contactTimeout)
	defer cancel()
	took, errs := make([]time.Duration, len(s.hosts)), make([]error, len(s.hosts))
	var wg sync.WaitGroup
	for i, h := range s.hosts {
		number := s.number + 1 + uint64(i)
		wg.Go(func() {
			errs[i] = putUntilAccepted(ctx, h, number)
			took[i] = time.Since(began)
		})
	}
	wg.Wait()
	s.number += uint64(len(s.hosts))
	for i, h := range s.hosts {
		require.NoError(s.t, errs[i], "%s after %v", h.name, took[i])
		s.longest = max(s.longest, took[i])
	}
}

// putUntilAccepted proposes a configuration at a host until it is accepted, and reads it back.
func putUntilAccepted(ctx context.Context, h *clusterHost, number uint64) error {
	var last error
	for {
		_, err := h.host.PutConfiguration(ctx, number, []byte("c"), h.name)
		if err == nil {
			if _, err = h.host.Configuration(ctx); err == nil {
				return nil
			}
		}
		if ctx.Err() != nil && last != nil {
			return last
		}
		last = err
		if ctx.Err() != nil {
			return err
		}
		pause.For(ctx, retryDelay)
	}
}
