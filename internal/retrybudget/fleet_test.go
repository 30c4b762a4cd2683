package retrybudget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetParams has so little extra that a few requests for retries use it up.
var fleetParams = Params{Ratio: 0.2, Extra: 12, Window: 10 * time.Second}

// fleet simulates hosts and control hosts that share the budget of one service. Hosts start anew, are
// suspended and cut off, callers go from one host to another, control hosts start anew and take
// themselves for the leader, and retries wait before they are sent and are under way for some time.
type fleet struct {
	t     *rapid.T
	now   time.Duration
	hosts []*fleetHost
	// entry is the host to which all callers go at the moment; nil if they are spread over all.
	entry *fleetHost
	// ledgers are those of the control hosts, total is what the log has reserved, and settled the part of it
	// that is settled there.
	ledgers        []*Ledger
	total, settled uint64
	// proposals holds the reservations that were proposed and not yet confirmed.
	proposals []*proposal
	// requests holds when each request was sent, and retries when each retry arrived.
	requests, retries []time.Duration
}

type fleetHost struct {
	Budget
	// suspended is how long the host's monotonic clock has stood still, and unnoticed is set until the
	// host has noticed it.
	suspended time.Duration
	unnoticed bool
	// askedAt is when the host asked for what it awaits, and starts counts its processes.
	askedAt time.Duration
	starts  int
	// taken holds retries that were not sent.
	taken []Retry
}

// proposal is a reservation that a control host has proposed for a process of a host.
type proposal struct {
	ledger      *Ledger
	host        *fleetHost
	start       int
	n           int
	isCommitted bool
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t}
	for range rapid.IntRange(1, 5).Draw(t, "hosts") {
		f.hosts = append(f.hosts, &fleetHost{})
	}
	for range rapid.IntRange(1, 3).Draw(t, "control hosts") {
		f.ledgers = append(f.ledgers, NewLedger(fleetParams))
	}
	return f
}

func (f *fleet) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(f.t, name) }

// request sends a request to a host.
func (f *fleet) request() {
	h := f.entry
	if h == nil {
		h = f.hosts[f.draw("entry", len(f.hosts))]
	}
	h.AddRequest(fleetParams, f.clock(h))
	f.requests = append(f.requests, f.now)
}

// step makes the fleet do one thing. The most frequent one is that a host wants retries, gets them and
// sends them at once.
func (f *fleet) step() {
	h := f.hosts[f.draw("host", len(f.hosts))]
	switch f.draw("step", 17) {
	case 0, 1:
		f.take(h)
	case 2, 3:
		f.send(h)
	case 4:
		f.ask(h)
	case 5:
		f.commit()
	case 6:
		f.confirm()
	case 7:
		f.ledgers[f.draw("control", len(f.ledgers))].Observe(service, f.total, f.settled, f.now)
	case 8:
		f.restart(h)
	case 9:
		h.suspended += time.Duration(f.draw("suspended", 20_000)) * time.Millisecond
		h.unnoticed = true
	case 10:
		if f.entry = h; f.draw("spread", 2) == 0 {
			f.entry = nil
		}
	case 11:
		f.settle()
	default:
		f.take(h)
		f.ask(h)
		f.commit()
		f.confirm()
		f.take(h)
		f.send(h)
	}
}

// settle lets a control host record what is settled.
func (f *fleet) settle() {
	if total, ok := f.ledgers[f.draw("control", len(f.ledgers))].Unsettled(service, f.now); ok {
		f.settled = max(f.settled, total)
	}
}

// clock returns the time by the monotonic clock of a host.
func (f *fleet) clock(h *fleetHost) time.Duration { return f.now - h.suspended }

// restart makes a host or a control host start anew.
func (f *fleet) restart(h *fleetHost) {
	if i := f.draw("control", 2*len(f.ledgers)); i < len(f.ledgers) {
		f.ledgers[i] = NewLedger(fleetParams)
		return
	}
	*h = fleetHost{starts: h.starts + 1, suspended: h.suspended}
}

func (f *fleet) take(h *fleetHost) {
	for range f.draw("wanted", 30) {
		if r, ok := h.Take(f.clock(h)); ok {
			h.taken = append(h.taken, r)
		}
	}
}

// send sends what the host has taken, some of it after having waited.
func (f *fleet) send(h *fleetHost) {
	if h.unnoticed {
		h.unnoticed = false
		h.DropAll()
	}
	for _, r := range h.taken {
		if h.MaySend(r, f.clock(h)) {
			f.retries = append(f.retries, f.now+time.Duration(f.draw("under way", int(ArrivalTime)+1)))
		} else {
			h.Return(r, f.clock(h))
		}
	}
	h.taken = nil
}

// ask sends the host's request for retries to some control host, which takes itself for the leader.
func (f *fleet) ask(h *fleetHost) {
	n := h.Ask(fleetParams, f.clock(h))
	if n == 0 {
		return
	}
	h.askedAt = f.clock(h)
	i := f.draw("leader", len(f.ledgers)+1)
	if i == len(f.ledgers) {
		h.Unanswered(f.clock(h))
		return
	}
	l := f.ledgers[i]
	if l.services[service] == nil || f.draw("observes", 2) == 0 {
		l.Observe(service, f.total, f.settled, f.now)
	}
	f.proposals = append(f.proposals, &proposal{ledger: l, host: h, start: h.starts, n: l.Propose(service, n, f.now)})
}

// commit puts a proposed reservation into the log.
func (f *fleet) commit() {
	for _, p := range f.proposals {
		if !p.isCommitted {
			p.isCommitted = true
			f.total += uint64(p.n)
			return
		}
	}
}

// confirm answers the first host whose reservation is in the log. An answer to a process that has ended
// reaches nobody.
func (f *fleet) confirm() {
	if len(f.proposals) == 0 || !f.proposals[0].isCommitted {
		return
	}
	p := f.proposals[0]
	f.proposals = f.proposals[1:]
	p.ledger.Observe(service, f.total, f.settled, f.now)
	n := p.ledger.Confirm(service, p.n, f.now)
	if p.host.starts == p.start {
		p.host.Granted(n, p.host.askedAt, 0, f.clock(p.host))
	}
}

// during counts the times after from, for a span.
func during(all []time.Duration, from, span time.Duration) float64 {
	n := 0.0
	for _, at := range all {
		if at > from && at <= from+span {
			n++
		}
	}
	return n
}

// requireBudgetKept checks each window that ends with a retry against the bound for the requests up to
// then.
func (f *fleet) requireBudgetKept(bound func(end time.Duration) float64) {
	for _, end := range f.retries {
		retries := during(f.retries, end-fleetParams.Window, fleetParams.Window)
		if allowed := bound(end) + fleetParams.Extra; retries > allowed {
			f.t.Fatalf("%v retries up to %v, allowed are %v", retries, end, allowed)
		}
	}
}

// requestPauses divide the window and Lifetime+ArrivalTime, so that equal spans have equally many
// requests.
var requestPauses = []time.Duration{10, 20, 25, 50, 100, 125, 250, 500}

// In any window, all hosts together send no more retries than the shared budget allows, whatever starts
// anew, is suspended, is cut off or takes itself for the leader, and wherever callers go. The bound is that
// of the users: the requests of the window, of the one before it, or of the one half a window before it.
func TestHostsTogetherStayWithinBudget(t *testing.T) {
	for _, pause := range requestPauses {
		t.Run(fmt.Sprint(int(pause)), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(t)
				for range rapid.IntRange(50, 600).Draw(t, "requests") {
					f.now += pause * time.Millisecond
					f.request()
					for range f.draw("steps", 2+int(pause)/100) {
						f.step()
					}
				}
				w := fleetParams.Window
				f.requireBudgetKept(func(end time.Duration) float64 {
					requests := max(during(f.requests, end-w, w), during(f.requests, end-2*w, w), during(f.requests, end-w*3/2, w))
					return fleetParams.Ratio * requests
				})
			})
		})
	}
}

// With requests that come at any times, retries are within the credit for the requests of
// [Params.Hold] before them.
func TestRetriesAreWithinTheCreditForRecentRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		maxPause := rapid.IntRange(1, 400).Draw(t, "pause")
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			f.now += time.Duration(f.draw("milliseconds", maxPause)) * time.Millisecond
			if f.draw("kind", 4) == 0 {
				f.request()
			} else {
				f.step()
			}
		}
		f.requireBudgetKept(func(end time.Duration) float64 {
			return fleetParams.credit() * during(f.requests, end-fleetParams.Hold(), fleetParams.Hold())
		})
	})
}

// With undisturbed hosts and requests at random times, the users' bound holds too.
func TestUndisturbedHostsStayWithinBudgetAtAnUnevenRate(t *testing.T) {
	p := Params{Ratio: 0.2, Extra: 90, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		budgets, l, total := make([]Budget, rapid.IntRange(1, 5).Draw(t, "hosts")), NewLedger(p), uint64(0)
		var requests, retries []time.Duration
		now := time.Duration(0)
		take := func(b *Budget) bool {
			if _, ok := b.Take(now); ok {
				return true
			}
			if n := b.Ask(p, now); n > 0 {
				b.Granted(reserve(l, &total, n, now), now, 0, now)
			}
			_, ok := b.Take(now)
			return ok
		}
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			b := &budgets[rapid.IntRange(0, len(budgets)-1).Draw(t, "host")]
			b.AddRequest(p, now)
			requests = append(requests, now)
			for rapid.Bool().Draw(t, "again") && take(b) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			w := p.Window
			most := max(during(requests, end-w, w), during(requests, end-2*w, w), during(requests, end-w*3/2, w))
			if n, bound := during(retries, end-w, w), p.Ratio*most+p.Extra; n > bound {
				t.Fatalf("%v retries up to %v, allowed are %v", n, end, bound)
			}
		}
	})
}
