package admission

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Request is what admission has to know of a request.
type Request struct {
	// Service is the name of the document, Workspace that of the workspace in it.
	Service, Workspace string
	Pool               string
	// Urgency is that of RFC 9218: 0 goes first, 7 last.
	Urgency uint8
	// Share is the weight of the workspace; one if it is not above zero.
	Share  float64
	Limits Limits
	// Cost is the expected work in tokens.
	Cost uint64
	// Deadline is how long the whole answer may take from now on.
	Deadline time.Duration
}

// Config is what a Controller needs.
type Config struct {
	// QueueLimit bounds how many requests wait for one pool.
	QueueLimit int
	// Hosts is how many entry hosts of the data centre the limits are divided among;
	// DataCentres how many data centres have an equal part of each. One if zero.
	Hosts, DataCentres int
	// Usage returns what the load reports say of a pool; Live how many entry hosts
	// of the data centre are alive, this one included.
	Usage     func(pool string) Usage
	LiveHosts func() int
	// Now is a monotonic clock; Rand is uniform in [0, 1) and safe for concurrent use.
	Now     func() time.Duration
	Rand    func() float64
	Metrics metrics.Registry
}

// Controller lets requests in. It is safe for concurrent use. One lock guards all
// its decisions, which do no I/O; waiting requests sleep outside of it.
type Controller struct {
	cfg         Config
	instruments instruments

	// mu guards the fields below.
	mu        sync.Mutex
	pools     map[string]*poolState
	quotas    map[uint64]*Quota
	allocator *Allocator
}

// poolState is one pool with this host's part of it.
type poolState struct {
	pool  *Pool
	share CapacityShare
}

type instruments struct {
	admitted, waited, refusedByLimit, refusedOnArrival, refusedInQueue, refusedNoUpstream, abandoned metrics.Counter
	queued, running, capacity                                                                        metrics.Gauge
	wait                                                                                             metrics.Histogram
}

const waitSampleSize = 1028

func newInstruments(r metrics.Registry) instruments {
	return instruments{
		admitted:          metrics.GetOrRegisterCounter("admission.admitted", r),
		waited:            metrics.GetOrRegisterCounter("admission.waited", r),
		refusedByLimit:    metrics.GetOrRegisterCounter("admission.refused.limit", r),
		refusedOnArrival:  metrics.GetOrRegisterCounter("admission.refused.arrival", r),
		refusedInQueue:    metrics.GetOrRegisterCounter("admission.refused.queued", r),
		refusedNoUpstream: metrics.GetOrRegisterCounter("admission.refused.no-upstream", r),
		abandoned:         metrics.GetOrRegisterCounter("admission.left", r),
		queued:            metrics.GetOrRegisterGauge("admission.queued", r),
		running:           metrics.GetOrRegisterGauge("admission.running", r),
		capacity:          metrics.GetOrRegisterGauge("admission.capacity", r),
		wait:              metrics.GetOrRegisterHistogram("admission.wait-us", r, metrics.NewUniformSample(waitSampleSize)),
	}
}

// New returns a Controller.
func New(cfg Config) *Controller {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Controller{
		cfg:         cfg,
		instruments: newInstruments(cfg.Metrics),
		pools:       make(map[string]*poolState),
		quotas:      make(map[uint64]*Quota),
		allocator:   NewAllocator(cfg.Now(), cfg.Hosts),
	}
}

// Key identifies a workspace among those of all documents.
func Key(service, workspace string) uint64 {
	return xxhash.Sum64String(service + "\x00" + workspace)
}

// Admit lets a request in, waits for its turn, or refuses it with a *verdict.Error
// that says NotRun. It waits no longer than ctx lasts. release is to be called once
// when the request has ended.
func (c *Controller) Admit(ctx context.Context, r Request) (release func(), err error) {
	now := c.cfg.Now()
	t := c.newTicket(now, r)
	c.mu.Lock()
	quota, refusal := c.takeQuota(now, &r, t)
	if refusal != nil {
		c.mu.Unlock()
		c.instruments.refusedByLimit.Inc(1)
		return nil, refusal
	}
	p := c.poolFor(now, r.Pool)
	c.notify(p.pool.Submit(now, t))
	if t.state == stateRefused {
		c.refund(quota, t)
		c.mu.Unlock()
		c.countRefusal(t)
		return nil, t.err
	}
	c.mu.Unlock()
	if err := c.await(ctx, p, t); err != nil {
		c.mu.Lock()
		c.refund(quota, t)
		c.mu.Unlock()
		return nil, err
	}
	c.instruments.admitted.Inc(1)
	return func() { c.release(p, quota, t) }, nil
}

func (c *Controller) newTicket(now time.Duration, r Request) *Ticket {
	t := &Ticket{
		Workspace: r.Service + "\x00" + r.Workspace,
		Weight:    r.Share,
		Class:     min(r.Urgency, Classes-1),
		Cost:      max(float64(r.Cost), 1),
		Deadline:  now + r.Deadline,
		Jitter:    c.cfg.Rand(),
		decided:   make(chan struct{}),
	}
	if t.Weight <= 0 {
		t.Weight = 1
	}
	return t
}

// takeQuota requires mu.
func (c *Controller) takeQuota(now time.Duration, r *Request, t *Ticket) (*Quota, error) {
	if !r.Limits.IsSet() {
		return nil, nil
	}
	limits := c.dataCentreLimits(r.Limits)
	key := Key(r.Service, r.Workspace)
	q := c.quotas[key]
	if q == nil {
		q = NewQuota(now, limits, c.cfg.Hosts)
		c.quotas[key] = q
	}
	q.SetLimits(limits)
	service := c.poolFor(now, r.Pool).pool.serviceTime(t.Class, 0)
	if refusal := q.Take(now, t.Cost, service, t.Jitter); refusal != nil {
		return nil, refusal
	}
	return q, nil
}

// dataCentreLimits is the data centre's part of the limits. A limit on concurrency stays one
// at least.
func (c *Controller) dataCentreLimits(l Limits) Limits {
	n := max(c.cfg.DataCentres, 1)
	l.Requests /= float64(n)
	l.Tokens /= float64(n)
	l.Concurrent = (l.Concurrent + n - 1) / n
	return l
}

// refund requires mu.
func (c *Controller) refund(q *Quota, t *Ticket) {
	if q != nil {
		q.Refund(t.Cost)
	}
}

// poolFor requires mu.
func (c *Controller) poolFor(now time.Duration, name string) *poolState {
	p := c.pools[name]
	if p == nil {
		p = &poolState{pool: NewPool(c.cfg.QueueLimit)}
		c.pools[name] = p
		c.refreshCapacity(now, name, p)
	}
	return p
}

// refreshCapacity requires mu.
func (c *Controller) refreshCapacity(now time.Duration, name string, p *poolState) {
	n := p.share.Update(now, c.cfg.Usage(name), p.pool.Running(), c.cfg.LiveHosts())
	c.notify(p.pool.SetCapacity(now, n))
}

// notify wakes the requests that were decided. It requires mu.
func (c *Controller) notify(tickets []*Ticket) {
	for _, t := range tickets {
		close(t.decided)
	}
}

// await sleeps until t is settled. The error is a *verdict.Error.
func (c *Controller) await(ctx context.Context, p *poolState, t *Ticket) error {
	began := c.cfg.Now()
	select {
	case <-t.decided:
		c.instruments.wait.Update(0)
		return nil
	default:
	}
	c.instruments.waited.Inc(1)
	for {
		timer := time.NewTimer(c.remainingWait(p, t))
		select {
		case <-t.decided:
			timer.Stop()
			c.instruments.wait.Update((c.cfg.Now() - began).Microseconds())
			return c.result(t)
		case <-ctx.Done():
			timer.Stop()
			return c.abandon(p, t, ctx.Err())
		case <-timer.C:
			c.expire(p)
		}
	}
}

// remainingWait is how long t may still wait.
func (c *Controller) remainingWait(p *poolState, t *Ticket) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.pool.ExpiresAt(t) - c.cfg.Now()
}

func (c *Controller) expire(p *poolState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify(p.pool.Expire(c.cfg.Now()))
}

func (c *Controller) result(t *Ticket) error {
	if t.err == nil {
		return nil
	}
	c.instruments.refusedInQueue.Inc(1)
	return t.err
}

// abandon gives up a request whose caller left, or whose time ended, while it waited.
func (c *Controller) abandon(p *poolState, t *Ticket, cause error) error {
	c.mu.Lock()
	p.pool.Withdraw(t)
	c.notify(p.pool.Release(c.cfg.Now(), t))
	c.mu.Unlock()
	c.instruments.abandoned.Inc(1)
	code := verdict.CodeCancelled
	if errors.Is(cause, context.DeadlineExceeded) {
		code = verdict.CodeDeadline
	}
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Text: "ended while it waited", Cause: cause}
}

func (c *Controller) release(p *poolState, q *Quota, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify(p.pool.Release(c.cfg.Now(), t))
	if q != nil {
		q.Done()
	}
}

func (c *Controller) countRefusal(t *Ticket) {
	if t.err.Code == verdict.CodeNoUpstream {
		c.instruments.refusedNoUpstream.Inc(1)
		return
	}
	c.instruments.refusedOnArrival.Inc(1)
}

// CapacityUpdateInterval is how often Update is to be called: how long a change of the
// capacity waits to be used.
const CapacityUpdateInterval = 100 * time.Millisecond

// Update takes the capacity that the load reports now show.
func (c *Controller) Update() {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var queued, running, capacity int
	for name, p := range c.pools {
		c.refreshCapacity(now, name, p)
		queued += p.pool.Queued()
		running += p.pool.Running()
		capacity += p.pool.Capacity()
	}
	c.instruments.queued.Update(int64(queued))
	c.instruments.running.Update(int64(running))
	c.instruments.capacity.Update(int64(capacity))
}

// DemandInterval is how often Demands is to be called.
const DemandInterval = demandInterval

// Demands returns what this host wants of limited workspaces beyond its floors, and
// forgets idle ones. Of too many, those come first that have not asked for longest.
func (c *Controller) Demands() []wire.DemandItem {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allocator.Expire(now)
	wanting := c.workspacesAboveFloor(now)
	var out []wire.DemandItem
	for _, key := range wanting[:min(len(wanting), maxDemandsPerReport)] {
		q := c.quotas[key]
		u, _ := q.Demand(now)
		q.ResetDemand(now)
		out = append(out, wire.DemandItem{Workspace: key, Limit: limitsToWire(q.limits), Wanted: amountsToWire(u), Running: float32(q.RunningAboveFloor())})
	}
	return out
}

// workspacesAboveFloor returns the workspaces whose floor is not enough. It requires mu.
func (c *Controller) workspacesAboveFloor(now time.Duration) []uint64 {
	var keys []uint64
	for key, q := range c.quotas {
		if q.IsIdle(now) {
			delete(c.quotas, key)
			continue
		}
		if _, ok := q.Demand(now); !ok {
			q.ResetDemand(now)
			continue
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uint64) int {
		return cmp.Compare(c.quotas[a].demandSince, c.quotas[b].demandSince)
	})
	return keys
}

// Allocate answers a host's demand, as the owner of the workspaces in it.
func (c *Controller) Allocate(host string, d *wire.Demand) *wire.Grant {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	g := &wire.Grant{Seq: d.Seq}
	for _, item := range d.Items {
		given := c.allocator.Allocate(now, host, item.Workspace, limitsFromWire(item.Limit), amountsFromWire(item.Wanted), float64(item.Running))
		g.Items = append(g.Items, wire.GrantItem{Workspace: item.Workspace, Given: amountsToWire(given)})
	}
	return g
}

// ApplyGrant takes an owner's answer to a demand that was sent at the time asked.
func (c *Controller) ApplyGrant(asked time.Duration, g *wire.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range g.Items {
		if q := c.quotas[item.Workspace]; q != nil {
			q.Grant(asked, amountsFromWire(item.Given))
		}
	}
}

func limitsToWire(l Limits) wire.LimitRates {
	return wire.LimitRates{Requests: float32(l.Requests), Tokens: float32(l.Tokens), Concurrent: float32(l.Concurrent)}
}

func limitsFromWire(r wire.LimitRates) Limits {
	return Limits{Requests: float64(r.Requests), Tokens: float64(r.Tokens), Concurrent: int(r.Concurrent)}
}

func amountsToWire(u Amounts) wire.LimitRates {
	return wire.LimitRates{Requests: float32(u.Requests), Tokens: float32(u.Tokens), Concurrent: float32(u.Concurrent)}
}

func amountsFromWire(r wire.LimitRates) Amounts {
	return Amounts{Requests: float64(r.Requests), Tokens: float64(r.Tokens), Concurrent: float64(r.Concurrent)}
}
