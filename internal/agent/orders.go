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

// DefaultMaxOrderAge is how old an answer may be when its order is sent to the engine. The age
// is measured with the agent's own clock, from the time at which the agent sent the query.
const DefaultMaxOrderAge = 2 * time.Second

// ordersPath is the path at which an engine receives orders.
const ordersPath = "/orders"

// The reasons for ignoring an answer.
var (
	ErrUnexpectedAnswer  = errors.New("agent: answer without an outstanding query")
	ErrOrderExpired      = errors.New("agent: order has expired")
	ErrStaleFencingToken = errors.New("agent: fencing token is lower than the highest one seen")
)

// OrderQuerier sends queries to the control hosts.
type OrderQuerier interface {
	QueryOrder(ctx context.Context, q *wire.OrderQuery) (*wire.OrderAnswer, error)
}

// EngineOrder is the body of POST /orders, which tells an engine what to serve.
type EngineOrder struct {
	FencingToken uint64   `json:"fence"`
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// answerFilter decides whether the order in an answer may be sent to the engine. Times are
// durations since an arbitrary fixed point on a monotonic clock. It is not safe for concurrent
// use.
type answerFilter struct {
	maxAge              time.Duration
	highestFencingToken uint64
	// isOutstanding is set while the query with nonce, sent at askedAt, has no answer.
	isOutstanding bool
	nonce         [16]byte
	askedAt       time.Duration
}

// startQuery records a new query. Answers to earlier queries are no longer accepted.
func (f *answerFilter) startQuery(nonce [16]byte, now time.Duration) {
	f.isOutstanding = true
	f.nonce = nonce
	f.askedAt = now
}

// accept returns nil if the order in the answer may be sent to the engine, for as long as
// timeLeft is positive. It accepts at most one answer to a query.
func (f *answerFilter) accept(a *wire.OrderAnswer, now time.Duration) error {
	if !f.isOutstanding || a.Nonce != f.nonce {
		return ErrUnexpectedAnswer
	}
	f.isOutstanding = false
	if f.timeLeft(now) <= 0 {
		return ErrOrderExpired
	}
	if a.FencingToken < f.highestFencingToken {
		return ErrStaleFencingToken
	}
	f.highestFencingToken = a.FencingToken
	return nil
}

// timeLeft returns how long the answer to the latest query remains valid.
func (f *answerFilter) timeLeft(now time.Duration) time.Duration { return f.maxAge - (now - f.askedAt) }

// OrderPullerConfig holds the parameters of an OrderPuller.
type OrderPullerConfig struct {
	Upstream, Pool string
	// Group is the group of ranks that the upstream belongs to, empty if none.
	Group string
	// OnOrder, if set, is called with the order of each accepted answer, nil if the answer has
	// none.
	OnOrder func(*wire.Order)
	// URL is the base URL of the engine.
	URL          string
	OrderQuerier OrderQuerier
	// Restarts returns how many restarts of the engine have been observed; nil means that
	// restarts are not observed. A restarted engine has lost its order and must get it again.
	Restarts func() int
	// MaxAge is the maximum age of an answer; zero means DefaultMaxOrderAge.
	MaxAge time.Duration
	// Clock returns a monotonic time; the default is the time since NewOrderPuller.
	Clock   func() time.Duration
	Metrics metrics.Registry
}

// OrderPuller queries the control hosts for the order to one engine and sends the order to the
// engine. It keeps no state across restarts: a new one knows no fencing token and first sends a
// query. It must be used by one goroutine only.
type OrderPuller struct {
	cfg    OrderPullerConfig
	filter answerFilter
	client *http.Client
	// delivered is the last answer whose order was sent to the engine, and deliveredRestarts the
	// number of restarts that had been observed at that time.
	delivered         *wire.OrderAnswer
	deliveredRestarts int
	refused           metrics.Counter
}

// NewOrderPuller returns an OrderPuller that has not sent a query yet.
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
		client:  &http.Client{Transport: newTransport()},
		refused: metrics.GetOrRegisterCounter("agent.orders.refused", cfg.Metrics),
	}
}

// Run calls Pull once per interval until ctx ends.
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

// Pull sends one query and sends the returned order to the engine, unless the engine has
// already accepted it.
func (o *OrderPuller) Pull(ctx context.Context) error {
	query := &wire.OrderQuery{Upstream: o.cfg.Upstream, Pool: o.cfg.Pool, Group: o.cfg.Group, HighestFencingToken: o.filter.highestFencingToken}
	if _, err := rand.Read(query.Nonce[:]); err != nil {
		return errors.Wrap(err, "agent: make nonce")
	}
	o.filter.startQuery(query.Nonce, o.cfg.Clock())
	askCtx, cancel := context.WithTimeout(ctx, o.cfg.MaxAge)
	defer cancel()
	answer, err := o.cfg.OrderQuerier.QueryOrder(askCtx, query)
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
	return o.delivered != nil && o.deliveredRestarts == o.cfg.Restarts() && o.delivered.FencingToken == a.FencingToken && reflect.DeepEqual(o.delivered.Order, a.Order)
}

func (o *OrderPuller) deliver(ctx context.Context, a *wire.OrderAnswer) error {
	timeLeft := o.filter.timeLeft(o.cfg.Clock())
	if timeLeft <= 0 {
		o.refused.Inc(1)
		return ErrOrderExpired
	}
	restarts := o.cfg.Restarts()
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	body, err := json.Marshal(EngineOrder{
		FencingToken: a.FencingToken,
		Model:        a.Order.Model,
		Version:      a.Order.Version,
		Adapters:     a.Order.Adapters,
		Role:         a.Order.Role,
	})
	if err != nil {
		return errors.Wrap(err, "agent: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, o.cfg.URL+ordersPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "agent: create order request")
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "agent: send order")
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("agent: engine refused the order: %s", resp.Status)
	}
	o.delivered, o.deliveredRestarts = a, restarts
	return nil
}
