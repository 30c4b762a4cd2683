package agent

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"reflect"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// DefaultOrderSpan is how old an answer may be, by the agent's own clock since it
// asked, when the order in it is carried out.
const DefaultOrderSpan = 2 * time.Second

// ordersPath is where an engine takes orders.
const ordersPath = "/orders"

// The reasons that an answer is not carried out.
var (
	ErrNotAsked = errors.New("agent: answer to no outstanding question")
	ErrLate     = errors.New("agent: answer came too late")
	ErrOldFence = errors.New("agent: fencing number below the highest seen")
)

// Asker asks the control hosts.
type Asker interface {
	Ask(ctx context.Context, q *wire.OrderQuery) (*wire.OrderAnswer, error)
}

// OrderReport is the body of POST /orders to an engine.
type OrderReport struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// gate decides whether an answer is carried out. Its clock is a monotonic duration
// since any fixed point. It is not safe for use by several goroutines.
type gate struct {
	span  time.Duration
	fence uint64
	// outstanding tells that nonce was asked at asked and not answered yet.
	outstanding bool
	nonce       [16]byte
	asked       time.Duration
}

// ask notes a question; an older one is outstanding no more.
func (g *gate) ask(nonce [16]byte, now time.Duration) {
	g.outstanding = true
	g.nonce = nonce
	g.asked = now
}

// take returns nil if the answer may be carried out until the end of the span. A
// question is answered once.
func (g *gate) take(a *wire.OrderAnswer, now time.Duration) error {
	if !g.outstanding || a.Nonce != g.nonce {
		return ErrNotAsked
	}
	g.outstanding = false
	if g.left(now) <= 0 {
		return ErrLate
	}
	if a.Fence < g.fence {
		return ErrOldFence
	}
	g.fence = a.Fence
	return nil
}

// left is how long the answer to the last question may still be carried out.
func (g *gate) left(now time.Duration) time.Duration { return g.span - (now - g.asked) }

// OrdersConfig is what Orders needs.
type OrdersConfig struct {
	Upstream, Pool string
	// Group is the group of ranks that the upstream belongs to, empty if none.
	Group string
	// OnOrder, if set, gets each order that may be carried out, nil where there is none.
	OnOrder func(*wire.Order)
	// URL is the base of the engine.
	URL   string
	Asker Asker
	// Starts counts the upstream's starts, as far as they were seen; nil counts none. One that
	// has started anew holds no order.
	Starts func() int
	// Span is DefaultOrderSpan if zero.
	Span time.Duration
	// Clock returns a monotonic duration; the default counts from the start.
	Clock   func() time.Duration
	Metrics metrics.Registry
}

// Orders pulls the order to one engine and passes it on. A new one has passed
// nothing on and knows no fencing number: it asks first. It is used by one goroutine.
type Orders struct {
	cfg    OrdersConfig
	gate   gate
	client *http.Client
	// passed is what the upstream was told in that start of it.
	passed  *wire.OrderAnswer
	start   int
	refused metrics.Counter
}

// NewOrders returns an Orders that has not asked yet.
func NewOrders(cfg OrdersConfig) *Orders {
	if cfg.Span <= 0 {
		cfg.Span = DefaultOrderSpan
	}
	if cfg.Clock == nil {
		start := time.Now()
		cfg.Clock = func() time.Duration { return time.Since(start) }
	}
	if cfg.Starts == nil {
		cfg.Starts = func() int { return 0 }
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Orders{
		cfg:     cfg,
		gate:    gate{span: cfg.Span},
		client:  &http.Client{Transport: newTransport(1, true)},
		refused: metrics.GetOrRegisterCounter("agent.orders.refused", cfg.Metrics),
	}
}

// Run pulls each interval until ctx ends.
func (o *Orders) Run(ctx context.Context, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		_ = o.Pull(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Pull asks once and passes the order on, unless the engine has taken it before.
func (o *Orders) Pull(ctx context.Context) error {
	q := &wire.OrderQuery{Upstream: o.cfg.Upstream, Pool: o.cfg.Pool, Group: o.cfg.Group, HighestFencingToken: o.gate.fence}
	if _, err := rand.Read(q.Nonce[:]); err != nil {
		return errors.Wrap(err, "agent: make nonce")
	}
	o.gate.ask(q.Nonce, o.cfg.Clock())
	askCtx, cancel := context.WithTimeout(ctx, o.cfg.Span)
	defer cancel()
	answer, err := o.cfg.Asker.Ask(askCtx, q)
	if err != nil {
		return err
	}
	if err := o.gate.take(answer, o.cfg.Clock()); err != nil {
		o.refused.Inc(1)
		return err
	}
	if o.cfg.OnOrder != nil {
		o.cfg.OnOrder(answer.Order)
	}
	if answer.Order == nil || o.hasPassed(answer) {
		return nil
	}
	return o.pass(ctx, answer)
}

func (o *Orders) hasPassed(a *wire.OrderAnswer) bool {
	return o.passed != nil && o.start == o.cfg.Starts() && o.passed.Fence == a.Fence && reflect.DeepEqual(o.passed.Order, a.Order)
}

func (o *Orders) pass(ctx context.Context, a *wire.OrderAnswer) error {
	left := o.gate.left(o.cfg.Clock())
	if left <= 0 {
		o.refused.Inc(1)
		return ErrLate
	}
	start := o.cfg.Starts()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	body, err := json.Marshal(OrderReport{
		Fence:    a.Fence,
		Model:    a.Order.Model,
		Version:  a.Order.Version,
		Adapters: a.Order.Adapters,
		Role:     a.Order.Role,
	})
	if err != nil {
		return errors.Wrap(err, "agent: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, o.cfg.URL+ordersPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "agent: make order")
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "agent: pass order on")
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("agent: engine says %s to the order", resp.Status)
	}
	o.passed, o.start = a, start
	return nil
}
