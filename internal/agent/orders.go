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

// DefaultMaxOrderAge is how old an answer may be, by the agent's own clock since it
// asked, when the order in it is carried out.
const DefaultMaxOrderAge = 2 * time.Second

// ordersPath is where an engine takes orders.
const ordersPath = "/orders"

// The reasons that an answer is not carried out.
var (
	ErrUnexpectedAnswer  = errors.New("agent: answer to no outstanding question")
	ErrOrderExpired      = errors.New("agent: answer came too late")
	ErrStaleFencingToken = errors.New("agent: fencing number below the highest seen")
)

// Asker asks the control hosts.
type Asker interface {
	Ask(ctx context.Context, q *wire.OrderQuery) (*wire.OrderAnswer, error)
}

// EngineOrder is the body of POST /orders to an engine.
type EngineOrder struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// answerFilter decides whether an answer is carried out. Its clock is a monotonic duration
// since any fixed point. It is not safe for use by several goroutines.
type answerFilter struct {
	maxAge       time.Duration
	highestFence uint64
	// isOutstanding tells that nonce was asked at asked and not answered yet.
	isOutstanding bool
	nonce         [16]byte
	askedAt       time.Duration
}

// startQuery notes a question; an older one is outstanding no more.
func (g *answerFilter) startQuery(nonce [16]byte, now time.Duration) {
	g.isOutstanding = true
	g.nonce = nonce
	g.askedAt = now
}

// accept returns nil if the answer may be carried out until the end of the span. A
// question is answered once.
func (g *answerFilter) accept(a *wire.OrderAnswer, now time.Duration) error {
	if !g.isOutstanding || a.Nonce != g.nonce {
		return ErrUnexpectedAnswer
	}
	g.isOutstanding = false
	if g.timeLeft(now) <= 0 {
		return ErrOrderExpired
	}
	if a.Fence < g.highestFence {
		return ErrStaleFencingToken
	}
	g.highestFence = a.Fence
	return nil
}

// timeLeft is how long the answer to the last question may still be carried out.
func (g *answerFilter) timeLeft(now time.Duration) time.Duration { return g.maxAge - (now - g.askedAt) }

// OrderPullerConfig is what Orders needs.
type OrderPullerConfig struct {
	Upstream, Pool string
	// Group is the group of ranks that the upstream belongs to, empty if none.
	Group string
	// OnOrder, if set, gets each order that may be carried out, nil where there is none.
	OnOrder func(*wire.Order)
	// URL is the base of the engine.
	URL   string
	Asker Asker
	// Restarts counts the upstream's starts, as far as they were seen; nil counts none. One that
	// has started anew holds no order.
	Restarts func() int
	// MaxAge is DefaultOrderSpan if zero.
	MaxAge time.Duration
	// Clock returns a monotonic duration; the default counts from the start.
	Clock   func() time.Duration
	Metrics metrics.Registry
}

// OrderPuller pulls the order to one engine and passes it on. A new one has passed
// nothing on and knows no fencing number: it asks first. It is used by one goroutine.
type OrderPuller struct {
	cfg    OrderPullerConfig
	filter answerFilter
	client *http.Client
	// delivered is what the upstream was told in that start of it.
	delivered         *wire.OrderAnswer
	deliveredRestarts int
	refused           metrics.Counter
}

// NewOrderPuller returns an Orders that has not asked yet.
func NewOrderPuller(cfg OrderPullerConfig) *OrderPuller {
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = DefaultMaxOrderAge
	}
	if cfg.Clock == nil {
		start := time.Now()
		cfg.Clock = func() time.Duration { return time.Since(start) }
	}
	if cfg.Restarts == nil {
		cfg.Restarts = func() int { return 0 }
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &OrderPuller{
		cfg:     cfg,
		filter:  answerFilter{maxAge: cfg.MaxAge},
		client:  &http.Client{Transport: newTransport(1, true)},
		refused: metrics.GetOrRegisterCounter("agent.orders.refused", cfg.Metrics),
	}
}

// Run pulls each interval until ctx ends.
func (o *OrderPuller) Run(ctx context.Context, interval time.Duration) {
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
func (o *OrderPuller) Pull(ctx context.Context) error {
	q := &wire.OrderQuery{Upstream: o.cfg.Upstream, Pool: o.cfg.Pool, Group: o.cfg.Group, Seen: o.filter.highestFence}
	if _, err := rand.Read(q.Nonce[:]); err != nil {
		return errors.Wrap(err, "agent: make nonce")
	}
	o.filter.startQuery(q.Nonce, o.cfg.Clock())
	askCtx, cancel := context.WithTimeout(ctx, o.cfg.MaxAge)
	defer cancel()
	answer, err := o.cfg.Asker.Ask(askCtx, q)
	if err != nil {
		return err
	}
	if err := o.filter.accept(answer, o.cfg.Clock()); err != nil {
		o.refused.Inc(1)
		return err
	}
	if o.cfg.OnOrder != nil {
		o.cfg.OnOrder(answer.Order)
	}
	if answer.Order == nil || o.isDelivered(answer) {
		return nil
	}
	return o.deliver(ctx, answer)
}

func (o *OrderPuller) isDelivered(a *wire.OrderAnswer) bool {
	return o.delivered != nil && o.deliveredRestarts == o.cfg.Restarts() && o.delivered.Fence == a.Fence && reflect.DeepEqual(o.delivered.Order, a.Order)
}

func (o *OrderPuller) deliver(ctx context.Context, a *wire.OrderAnswer) error {
	left := o.filter.timeLeft(o.cfg.Clock())
	if left <= 0 {
		o.refused.Inc(1)
		return ErrOrderExpired
	}
	start := o.cfg.Restarts()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	body, err := json.Marshal(EngineOrder{
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
	o.delivered, o.deliveredRestarts = a, start
	return nil
}
