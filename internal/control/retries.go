package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/contention"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// retryAskInterval is the mean time between two requests of any hosts for retries.
	retryAskInterval = 5 * time.Millisecond
	// minRetryPause is how long a host waits before it asks again, after it got less than it wanted.
	minRetryPause = 250 * time.Millisecond
	// reserveTimeout bounds the reservation of retries. It is shorter than hosts wait for them.
	reserveTimeout = 400 * time.Millisecond
)

// retryGrantor grants retries to entry hosts while this control host leads. It reserves them in the log
// first, so that whoever leads next counts them. One reservation is proposed at a time; the requests that
// come meanwhile go into the next one.
type retryGrantor struct {
	h       *Host
	started time.Time

	// mu guards the fields below. It is not held while a reservation is proposed.
	mu      sync.Mutex
	ledger  *retrybudget.Ledger
	askers  *contention.Askers
	pending []*retryClaim
	// isReserving is set while a goroutine proposes reservations, and isSettling while one proposes what is
	// settled.
	isReserving, isSettling bool
}

// retryClaim is what was proposed for one request.
type retryClaim struct {
	service string
	count   int
	// granted receives the number of granted retries. It has a buffer of one.
	granted chan int
}

func newRetryGrantor(h *Host) *retryGrantor {
	return &retryGrantor{
		h: h, started: time.Now(), ledger: retrybudget.NewLedger(h.cfg.RetryBudget), askers: contention.NewAskers(retryAskInterval),
	}
}

// handleRetryRequest grants retries to an entry host.
func (h *Host) handleRetryRequest(ctx context.Context, s *peer.Session, m *wire.RetryRequest) (wire.Message, error) {
	if err := h.requireLeader(); err != nil {
		return nil, err
	}
	if m.Service == "" || len(m.Service) > state.MaxNameBytes {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the name of the service is missing or too long")
	}
	return h.retries.grant(ctx, s.Remote().Host, m.Service, min(m.Count, retrybudget.MaxAsked)), nil
}

// grant grants up to wanted retries of a service to a host.
func (g *retryGrantor) grant(ctx context.Context, host, service string, wanted int) *wire.Retries {
	c, pause := g.claim(host, service, wanted)
	granted := 0
	if c != nil {
		select {
		case granted = <-c.granted:
		case <-ctx.Done():
		}
	}
	if granted < wanted {
		pause = max(pause, minRetryPause)
	}
	g.count("asked", wanted)
	g.count("granted", granted)
	return &wire.Retries{Count: granted, AgainMS: pause.Milliseconds()}
}

func (g *retryGrantor) count(name string, n int) {
	metrics.GetOrRegisterCounter("control.retries."+name, g.h.cfg.Metrics).Inc(int64(max(n, 0)))
}

// claim queues the reservation of up to wanted retries. The claim is nil if none is free. The pause is how
// long the host must wait before it asks again.
func (g *retryGrantor) claim(host, service string, wanted int) (*retryClaim, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.askers.Record(host, now)
	pause := g.askers.Pause(rand.Float64())
	g.observe(service)
	n := g.ledger.Propose(service, wanted, now)
	if n == 0 {
		return nil, pause
	}
	c := &retryClaim{service: service, count: n, granted: make(chan int, 1)}
	g.pending = append(g.pending, c)
	if !g.isReserving {
		g.isReserving = true
		go g.reservePending()
	}
	return c, pause
}

// reservePending proposes reservations until no claim is left.
func (g *retryGrantor) reservePending() {
	for {
		g.mu.Lock()
		claims := g.pending
		g.pending = nil
		g.isReserving = len(claims) > 0
		g.mu.Unlock()
		if len(claims) == 0 {
			return
		}
		err := g.propose(reservationOf(claims))
		if err != nil {
			g.h.cfg.Log.Info("retries not reserved", "claims", len(claims), "error", err.Error())
		}
		g.settle(claims, err == nil)
	}
}

// reservationOf returns the command that reserves the retries of claims.
func reservationOf(claims []*retryClaim) state.ReserveRetries {
	var c state.ReserveRetries
	for _, claim := range claims {
		c.All = append(c.All, state.RetryReservation{Service: claim.service, Count: uint64(claim.count)})
	}
	return c
}

// propose puts reservations into the log. After an error they may be there.
func (g *retryGrantor) propose(c state.ReserveRetries) error {
	data, err := state.Encode(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	result, err := localProposer{g.h}.Propose(ctx, data)
	if err != nil {
		return err
	}
	if rejected, ok := result.(state.Rejected); ok {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, string(rejected.Reason))
	}
	return nil
}

// settle tells the claims how many retries are granted.
func (g *retryGrantor) settle(claims []*retryClaim, isReserved bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range claims {
		if !isReserved {
			g.ledger.Abandon(c.service, c.count)
			c.granted <- 0
			continue
		}
		g.observe(c.service)
		c.granted <- g.ledger.Confirm(c.service, c.count, g.now())
	}
}

// observe lets the ledger count what the log has reserved of a service. The caller holds mu.
func (g *retryGrantor) observe(service string) {
	t := g.h.tables.ReservedRetriesOf(service)
	g.ledger.Observe(service, t.Reserved, t.Settled, g.now())
}

// observeAll lets the ledger count what the log has reserved of all services, also while another control
// host leads. The leader records what is settled.
func (g *retryGrantor) observeAll(isLeader bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var c state.ReserveRetries
	for _, t := range g.h.tables.ReservedRetries() {
		g.ledger.Observe(t.Service, t.Reserved, t.Settled, g.now())
		if total, ok := g.ledger.Unsettled(t.Service, g.now()); ok {
			c.Settled = append(c.Settled, state.RetryReservation{Service: t.Service, Count: total})
		}
	}
	if isLeader && len(c.Settled) > 0 && !g.isSettling {
		g.isSettling = true
		go g.settleTotals(c)
	}
}

// settleTotals records what is settled. After an error it is proposed again.
func (g *retryGrantor) settleTotals(c state.ReserveRetries) {
	if err := g.propose(c); err != nil {
		g.h.cfg.Log.Info("settled retries not recorded", "services", len(c.Settled), "error", err.Error())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isSettling = false
}

func (g *retryGrantor) now() time.Duration { return time.Since(g.started) }
