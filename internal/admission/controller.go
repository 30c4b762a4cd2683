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
	cfg      Config
	counters counters

	// mu guards the fields below.
	mu      sync.Mutex
	pools   map[string]*part
	quotas  map[uint64]*Quota
	divider *Allocator
}

// part is one pool with this host's part of it.
type part struct {
	pool *Pool
	part CapacityShare
}

type counters struct {
	admitted, waited, limited, full, late, empty, left metrics.Counter
	queued, running, capacity                          metrics.Gauge
	wait                                               metrics.Histogram
}

const sampleSize = 1028

func newCounters(r metrics.Registry) counters {
	return counters{
		admitted: metrics.GetOrRegisterCounter("admission.admitted", r),
		waited:   metrics.GetOrRegisterCounter("admission.waited", r),
		limited:  metrics.GetOrRegisterCounter("admission.refused.limit", r),
		full:     metrics.GetOrRegisterCounter("admission.refused.arrival", r),
		late:     metrics.GetOrRegisterCounter("admission.refused.queued", r),
		empty:    metrics.GetOrRegisterCounter("admission.refused.no-upstream", r),
		left:     metrics.GetOrRegisterCounter("admission.left", r),
		queued:   metrics.GetOrRegisterGauge("admission.queued", r),
		running:  metrics.GetOrRegisterGauge("admission.running", r),
		capacity: metrics.GetOrRegisterGauge("admission.capacity", r),
		wait:     metrics.GetOrRegisterHistogram("admission.wait-us", r, metrics.NewUniformSample(sampleSize)),
	}
}

// New returns a Controller.
func New(cfg Config) *Controller {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Controller{
		cfg:      cfg,
		counters: newCounters(cfg.Metrics),
		pools:    make(map[string]*part),
		quotas:   make(map[uint64]*Quota),
		divider:  NewAllocator(cfg.Now(), cfg.Hosts),
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
	t := c.ticket(now, r)
	c.mu.Lock()
	quota, refusal := c.takeQuota(now, &r, t)
	if refusal != nil {
		c.mu.Unlock()
		c.counters.limited.Inc(1)
		return nil, refusal
	}
	p := c.part(now, r.Pool)
	c.settle(p.pool.Submit(now, t))
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
	c.counters.admitted.Inc(1)
	return func() { c.release(p, quota, t) }, nil
}

func (c *Controller) ticket(now time.Duration, r Request) *Ticket {
	t := &Ticket{
		Workspace: r.Service + "\x00" + r.Workspace,
		Weight:    r.Share,
		Class:     min(r.Urgency, Classes-1),
		Cost:      max(float64(r.Cost), 1),
		Deadline:  now + r.Deadline,
		Jitter:    c.cfg.Rand(),
		wake:      make(chan struct{}),
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
	limits := c.inCentre(r.Limits)
	key := Key(r.Service, r.Workspace)
	q := c.quotas[key]
	if q == nil {
		q = NewQuota(now, limits, c.cfg.Hosts)
		c.quotas[key] = q
	}
	q.SetLimits(limits)
	service := c.part(now, r.Pool).pool.serviceTime(t.Class, 0)
	if refusal := q.Take(now, t.Cost, service, t.Jitter); refusal != nil {
		return nil, refusal
	}
	return q, nil
}

// inCentre is the data centre's part of the limits. A limit on concurrency stays one
// at least.
func (c *Controller) inCentre(l Limits) Limits {
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

// part requires mu.
func (c *Controller) part(now time.Duration, name string) *part {
	p := c.pools[name]
	if p == nil {
		p = &part{pool: NewPool(c.cfg.QueueLimit)}
		c.pools[name] = p
		c.update(now, name, p)
	}
	return p
}

// update requires mu.
func (c *Controller) update(now time.Duration, name string, p *part) {
	n := p.part.Update(now, c.cfg.Usage(name), p.pool.Running(), c.cfg.LiveHosts())
	c.settle(p.pool.SetCapacity(now, n))
}

// settle wakes the requests that were decided. It requires mu.
func (c *Controller) settle(tickets []*Ticket) {
	for _, t := range tickets {
		close(t.wake)
	}
}

// await sleeps until t is settled. The error is a *verdict.Error.
func (c *Controller) await(ctx context.Context, p *part, t *Ticket) error {
	began := c.cfg.Now()
	select {
	case <-t.wake:
		c.counters.wait.Update(0)
		return nil
	default:
	}
	c.counters.waited.Inc(1)
	for {
		timer := time.NewTimer(c.patience(p, t))
		select {
		case <-t.wake:
			timer.Stop()
			c.counters.wait.Update((c.cfg.Now() - began).Microseconds())
			return c.outcome(t)
		case <-ctx.Done():
			timer.Stop()
			return c.leave(p, t, ctx.Err())
		case <-timer.C:
			c.expire(p)
		}
	}
}

// patience is how long t may still wait.
func (c *Controller) patience(p *part, t *Ticket) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.pool.ExpiresAt(t) - c.cfg.Now()
}

func (c *Controller) expire(p *part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(p.pool.Expire(c.cfg.Now()))
}

func (c *Controller) outcome(t *Ticket) error {
	if t.err == nil {
		return nil
	}
	c.counters.late.Inc(1)
	return t.err
}

// leave gives up a request whose caller left, or whose time ended, while it waited.
func (c *Controller) leave(p *part, t *Ticket, cause error) error {
	c.mu.Lock()
	p.pool.Withdraw(t)
	c.settle(p.pool.Release(c.cfg.Now(), t))
	c.mu.Unlock()
	c.counters.left.Inc(1)
	code := verdict.CodeCancelled
	if errors.Is(cause, context.DeadlineExceeded) {
		code = verdict.CodeDeadline
	}
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Text: "ended while it waited", Cause: cause}
}

func (c *Controller) release(p *part, q *Quota, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(p.pool.Release(c.cfg.Now(), t))
	if q != nil {
		q.Done()
	}
}

func (c *Controller) countRefusal(t *Ticket) {
	if t.err.Code == verdict.CodeNoUpstream {
		c.counters.empty.Inc(1)
		return
	}
	c.counters.full.Inc(1)
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
		c.update(now, name, p)
		queued += p.pool.Queued()
		running += p.pool.Running()
		capacity += p.pool.Capacity()
	}
	c.counters.queued.Update(int64(queued))
	c.counters.running.Update(int64(running))
	c.counters.capacity.Update(int64(capacity))
}

// DemandInterval is how often Demands is to be called.
const DemandInterval = reportEvery

// Demands returns what this host wants of limited workspaces beyond its floors, and
// forgets idle ones. Of too many, those come first that have not asked for longest.
func (c *Controller) Demands() []wire.DemandItem {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.divider.Expire(now)
	wanting := c.wanting(now)
	var out []wire.DemandItem
	for _, key := range wanting[:min(len(wanting), maxDemands)] {
		q := c.quotas[key]
		u, _ := q.Demand(now)
		q.ResetDemand(now)
		out = append(out, wire.DemandItem{Workspace: key, Limit: toWire(q.limits), Wanted: useToWire(u), Running: float32(q.RunningAboveFloor())})
	}
	return out
}

// wanting returns the workspaces whose floor is not enough. It requires mu.
func (c *Controller) wanting(now time.Duration) []uint64 {
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
		return cmp.Compare(c.quotas[a].askedAt, c.quotas[b].askedAt)
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
		given := c.divider.Allocate(now, host, item.Workspace, fromWire(item.Limit), useFromWire(item.Wanted), float64(item.Running))
		g.Items = append(g.Items, wire.GrantItem{Workspace: item.Workspace, Given: useToWire(given)})
	}
	return g
}

// ApplyGrant takes an owner's answer to a demand that was sent at the time asked.
func (c *Controller) ApplyGrant(asked time.Duration, g *wire.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range g.Items {
		if q := c.quotas[item.Workspace]; q != nil {
			q.Grant(asked, useFromWire(item.Given))
		}
	}
}

func toWire(l Limits) wire.LimitRates {
	return wire.LimitRates{Requests: float32(l.Requests), Tokens: float32(l.Tokens), Concurrent: float32(l.Concurrent)}
}

func fromWire(r wire.LimitRates) Limits {
	return Limits{Requests: float64(r.Requests), Tokens: float64(r.Tokens), Concurrent: int(r.Concurrent)}
}

func useToWire(u Amounts) wire.LimitRates {
	return wire.LimitRates{Requests: float32(u.Requests), Tokens: float32(u.Tokens), Concurrent: float32(u.Concurrent)}
}

func useFromWire(r wire.LimitRates) Amounts {
	return Amounts{Requests: float64(r.Requests), Tokens: float64(r.Tokens), Concurrent: float64(r.Concurrent)}
}
