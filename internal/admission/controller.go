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

// Request describes a request to be admitted.
type Request struct {
	// Service is the name of a service's document, and Workspace the name of a workspace
	// in that document.
	Service, Workspace string
	Pool               string
	// Urgency is the urgency of RFC 9218, from 0 (most urgent) to 7 (least urgent).
	Urgency uint8
	// Share is the weight of the workspace in fair queueing. Zero or less counts as one.
	Share  float64
	Limits Limits
	// Cost is the expected number of tokens that the request takes.
	Cost uint64
	// Deadline is how much time is left until the answer must be complete.
	Deadline time.Duration
}

// Config configures a Controller.
type Config struct {
	// QueueLimit is the maximum number of requests that wait for one pool.
	QueueLimit int
	// DataCentres is the number of data centres, each of which gets an equal share of every
	// limit. Hosts is the number of entry hosts that divide a data centre's share. Zero
	// counts as one.
	Hosts, DataCentres int
	// Usage returns the sum of the latest load reports of a pool. LiveHosts returns the
	// number of live entry hosts of the data centre, including this one.
	Usage     func(pool string) Usage
	LiveHosts func() int
	// Now is a monotonic clock. Rand returns uniform values in [0, 1) and must be safe for
	// concurrent use.
	Now     func() time.Duration
	Rand    func() float64
	Metrics metrics.Registry
}

// Controller admits or refuses requests. It is safe for concurrent use. One lock guards
// all decisions, which do no I/O. Waiting requests block without holding the lock.
type Controller struct {
	cfg         Config
	instruments instruments

	// mu guards the fields below.
	mu        sync.Mutex
	pools     map[string]*poolState
	quotas    map[uint64]*Quota
	allocator *Allocator
}

// poolState is one pool and this host's share of its capacity.
type poolState struct {
	pool  *Pool
	share CapacityShare
}

// instruments are the metrics of a Controller.
type instruments struct {
	admitted, waited, refusedByLimit, refusedOnArrival, refusedInQueue, refusedNoUpstream, abandoned metrics.Counter
	queued, running, capacity                                                                        metrics.Gauge
	wait                                                                                             metrics.Histogram
}

// waitSampleSize is the number of samples that the wait-time histogram keeps.
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

// New returns a Controller without pools; each pool is added with its first request.
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

// Key returns a hash that identifies a workspace of a service on all hosts.
func Key(service, workspace string) uint64 {
	return xxhash.Sum64String(service + "\x00" + workspace)
}

// Admit returns once the request may run, or with a *verdict.Error of verdict NotRun if it
// is refused or ctx ends while it waits in the queue. The caller must call release once,
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

// takeQuota charges the request to its workspace's quota. It returns nil for both results
// if the workspace has no limits. The caller holds mu.
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
	serviceTime := c.poolFor(now, r.Pool).pool.serviceTime(t.Class, 0)
	if refusal := q.Take(now, t.Cost, serviceTime, t.Jitter); refusal != nil {
		return nil, refusal
	}
	return q, nil
}

// dataCentreLimits returns this data centre's share of the limits. A concurrency limit is
// rounded up, so it never becomes zero, which means unlimited.
func (c *Controller) dataCentreLimits(l Limits) Limits {
	n := max(c.cfg.DataCentres, 1)
	l.Requests /= float64(n)
	l.Tokens /= float64(n)
	l.Concurrent = (l.Concurrent + n - 1) / n
	return l
}

// refund undoes takeQuota for a request that did not run. The caller holds mu.
func (c *Controller) refund(q *Quota, t *Ticket) {
	if q != nil {
		q.Refund(t.Cost)
	}
}

// poolFor returns the state of a pool and creates it if necessary. The caller holds mu.
func (c *Controller) poolFor(now time.Duration, name string) *poolState {
	p := c.pools[name]
	if p == nil {
		p = &poolState{pool: NewPool(c.cfg.QueueLimit)}
		c.pools[name] = p
		c.refreshCapacity(now, name, p)
	}
	return p
}

// refreshCapacity sets a pool's capacity from the latest load reports. The caller holds mu.
func (c *Controller) refreshCapacity(now time.Duration, name string, p *poolState) {
	capacity := p.share.Update(now, c.cfg.Usage(name), p.pool.Running(), c.cfg.LiveHosts())
	c.notify(p.pool.SetCapacity(now, capacity))
}

// notify wakes the goroutines that wait for these tickets. The caller holds mu.
func (c *Controller) notify(tickets []*Ticket) {
	for _, t := range tickets {
		close(t.decided)
	}
}

// await blocks until t is running, is refused, or ctx ends. The error is a *verdict.Error.
func (c *Controller) await(ctx context.Context, p *poolState, t *Ticket) error {
	waitStart := c.cfg.Now()
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
			c.instruments.wait.Update((c.cfg.Now() - waitStart).Microseconds())
			return c.result(t)
		case <-ctx.Done():
			timer.Stop()
			return c.abandon(p, t, ctx.Err())
		case <-timer.C:
			c.expire(p)
		}
	}
}

// remainingWait returns how long t may still wait before it expires.
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

// abandon removes a request whose ctx was cancelled or timed out while it waited. It may
// have been admitted at the same moment, in which case its slot is released.
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

// CapacityUpdateInterval is how often Update must be called. It bounds the delay until a
// change of the capacity takes effect.
const CapacityUpdateInterval = 100 * time.Millisecond

// Update applies the capacity of the latest load reports to all pools.
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

// DemandInterval is how often Demands must be called.
const DemandInterval = demandInterval

// LeaseDuration is how long a grant is valid, counted from the demand that it answers.
const LeaseDuration = leaseDuration

// Demands returns this host's demand for limited workspaces, as far as it exceeds the floor
// that the host may use without a grant. It drops the quotas of idle workspaces. If more
// than maxDemandsPerReport workspaces have a demand, those reported longest ago come first.
func (c *Controller) Demands() []wire.DemandItem {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allocator.Expire(now)
	keys := c.workspacesAboveFloor(now)
	var out []wire.DemandItem
	for _, key := range keys[:min(len(keys), maxDemandsPerReport)] {
		q := c.quotas[key]
		demand, _ := q.Demand(now)
		q.ResetDemand(now)
		out = append(out, wire.DemandItem{Workspace: key, Limit: limitsToWire(q.limits), Wanted: amountsToWire(demand), Running: float32(q.RunningAboveFloor())})
	}
	return out
}

// workspacesAboveFloor returns the workspaces whose demand exceeds this host's floor, the
// one reported longest ago first. The caller holds mu.
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

// Allocate answers a host's demand with a grant. This host must own the workspaces in it.
func (c *Controller) Allocate(host string, demand *wire.Demand) *wire.Grant {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	grant := &wire.Grant{Seq: demand.Seq}
	for _, item := range demand.Items {
		granted := c.allocator.Allocate(now, host, item.Workspace, limitsFromWire(item.Limit), amountsFromWire(item.Wanted), float64(item.Running))
		grant.Items = append(grant.Items, wire.GrantItem{Workspace: item.Workspace, Granted: amountsToWire(granted)})
	}
	return grant
}

// ApplyGrant applies an owner's answer to a demand that this host sent at sentAt.
func (c *Controller) ApplyGrant(sentAt time.Duration, g *wire.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range g.Items {
		if q := c.quotas[item.Workspace]; q != nil {
			q.Grant(sentAt, amountsFromWire(item.Granted))
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
