package inbound

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/telemetry"
)

// tick is how often connections are checked for timeouts. Timeouts count ticks, so the time for which the process
// stood still does not count.
const tick = time.Second

// Config holds the parameters of a Guard.
type Config struct {
	// Memory counts the heads of all listeners.
	Memory *memory.Budget
	// Now returns the time since some start, as the budget's other users have it.
	Now func() time.Duration
	// RetryAfter is the Retry-After of a request for which no memory is left.
	RetryAfter time.Duration
	Log        *slog.Logger
	Metrics    metrics.Registry
}

// retryAfter returns the value of the header Retry-After, in seconds.
func (g *Guard) retryAfter() string {
	return strconv.FormatFloat(g.cfg.RetryAfter.Seconds(), 'f', -1, 64)
}

// Guard has the listeners of a process. It is safe for concurrent use.
type Guard struct {
	cfg Config
	// ticks counts the ticks so far.
	ticks atomic.Int64
	lines telemetry.LineLimit

	mu        sync.Mutex
	listeners []*Listener
}

// NewGuard returns a Guard without listeners.
func NewGuard(cfg Config) *Guard { return &Guard{cfg: cfg} }

// Run closes connections whose time is over, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, tick)
		g.sweep()
	}
}

// sweep counts one tick and closes the connections whose time is over.
func (g *Guard) sweep() {
	now := g.ticks.Add(1)
	g.mu.Lock()
	listeners := g.listeners
	g.mu.Unlock()
	for _, l := range listeners {
		for _, c := range l.expired(now) {
			l.end(c, "timeout")
		}
	}
}

// Listen opens a listener on an address.
func (g *Guard) Listen(address string, cfg ListenerConfig) (*Listener, error) {
	size := ReceiveBuffer
	if cfg.ReceiveBuffer > 0 {
		size = cfg.ReceiveBuffer
	}
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return setReceiveBuffer(c, size) }}
	tcp, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	setBacklog(tcp, cfg.Limits().Connections)
	l := &Listener{Listener: tcp, guard: g, cfg: cfg, open: make(map[*conn]struct{})}
	metrics.NewRegisteredFunctionalGauge("inbound."+cfg.Name+".connections", g.cfg.Metrics, func() int64 { return int64(l.Connections()) })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, l)
	return l, nil
}

// setReceiveBuffer bounds the bytes that the kernel holds for each connection of a listener. A platform that can't
// do so keeps its own bound.
func setReceiveBuffer(c syscall.RawConn, size int) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
}

// minBacklog is the least number of connections that may wait to be accepted.
const minBacklog = 64

// setBacklog lets half as many connections as a listener may have wait to be accepted, for which the kernel holds
// unread bytes too while the process stands still. A platform that can't do so keeps its own bound.
func setBacklog(l net.Listener, connections int) {
	s, ok := l.(syscall.Conn)
	if !ok || connections == 0 {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), max(connections/2, minBacklog)) })
}

// tell counts that a client was refused or its connection closed for the given reason, and logs a line if none was
// logged lately.
func (g *Guard) tell(listener, reason string, client net.Addr) {
	metrics.GetOrRegisterCounter("inbound."+listener+"."+reason, g.cfg.Metrics).Inc(1)
	if count := g.lines.Count(listener+" "+reason, time.Now()); count > 0 {
		host, _, _ := net.SplitHostPort(client.String())
		g.cfg.Log.Warn("client exceeds a bound", "listener", listener, "reason", reason, "count", count, "last_from", host)
	}
}
