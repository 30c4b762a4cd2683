package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// newSharingScheduler returns a scheduler of one of the given number of hosts, to which requests come
// at a rate per second until now.
func newSharingScheduler(hosts int, perSecond int, now time.Duration) (*Scheduler, *service) {
	s := New(Config{Random: rand.New(rand.NewPCG(1, 1))})
	s.SetHostCount(hosts, 0)
	sv := s.service("s")
	sv.engineSpec = testEngine
	span := int(rateWindow / time.Second)
	for i := range perSecond * span {
		sv.demand.onTimeArrivals.add(now - rateWindow + rateWindow*time.Duration(i+1)/time.Duration(perSecond*span))
	}
	return s, sv
}

// Guards against hosts that together take more slots than there are, or leave slots to hosts that don't
// need them.
func TestSharesAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Minute - time.Millisecond // the end of a bucket of eventRate
		var all []*Scheduler
		var total float64
		rates := rapid.SliceOfN(rapid.IntRange(0, 50), 1, 20).Draw(t, "rates")
		for _, perSecond := range rates {
			s, _ := newSharingScheduler(len(rates), perSecond, now)
			for _, d := range s.ReportDemands(now) {
				total += d.PerSecond
			}
			all = append(all, s)
		}
		sum := 0.0
		for _, s := range all {
			for range rapid.IntRange(0, 100).Draw(t, "arrivals since the report") {
				s.service("s").demand.onTimeArrivals.add(now)
			}
			s.SetTotalDemands([]wire.ServiceDemand{{Service: "s", PerSecond: total}}, now)
			share := s.shareOf(s.service("s"), now)
			if share < equalPart/float64(len(rates))-1e-9 {
				t.Fatalf("share %g of %d hosts", share, len(rates))
			}
			sum += share
		}
		if sum < 0.999 || sum > 1.001 {
			t.Fatalf("the shares add up to %g", sum)
		}
	})
}

// Guards against a host that goes on using a large share by an outdated total, and one that takes the
// total of a control host that reaches only some of the hosts.
func TestShareByOutdatedOrPartialTotals(t *testing.T) {
	now := time.Minute - time.Millisecond // the end of a bucket of eventRate
	s, sv := newSharingScheduler(10, 20, now)
	require.InDelta(t, 0.1, s.shareOf(sv, now), 1e-9, "no total is known")
	s.ReportDemands(now)
	set := func(perSecond float64, at time.Duration) {
		s.SetTotalDemands([]wire.ServiceDemand{{Service: "s", PerSecond: perSecond}, {Service: "other", PerSecond: 1}}, at)
	}
	set(40, now)
	require.InDelta(t, equalPart*0.1+(1-equalPart)*0.5, s.shareOf(sv, now), 0.01)
	set(20, now+time.Millisecond)
	require.InDelta(t, equalPart*0.1+(1-equalPart)*0.5, s.shareOf(sv, now), 0.01, "a partial total")
	set(80, now+time.Millisecond)
	require.InDelta(t, equalPart*0.1+(1-equalPart)*0.25, s.shareOf(sv, now), 0.01)
	require.InDelta(t, 0.1, s.shareOf(sv, now+maxDemandAge+2*time.Millisecond), 1e-9, "an outdated total")
	set(40, now+2*demandHold)
	require.InDelta(t, 40.0, sv.totalDemand.perSecond, 1e-9, "a lower total after a while")
}
