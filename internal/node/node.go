package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/gateway"
	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/standstill"
	"github.com/sassafraspost/sassafraspost/internal/telemetry"
	"github.com/sassafraspost/sassafraspost/internal/version"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// watchedSilenceLimit is how long the other end may be silent on a session that something is
	// waiting for. It is well below the time within which a host that is reachable again must be
	// up to date.
	watchedSilenceLimit = 1500 * time.Millisecond
	// dialTimeout bounds one attempt to connect to a host. It is many times the round trip between
	// data centres, and well below TCP's first retransmission: a host that was unreachable when
	// the first packet was sent is dialled again earlier.
	dialTimeout = 400 * time.Millisecond
	// pingInterval is the longest silence on a session that nothing is waiting for.
	pingInterval = 3 * time.Second
	// readHeaderTimeout bounds the time to read the headers of a request, unless the configuration sets another
	// bound for callers.
	readHeaderTimeout = 3 * time.Second
	// ownHeadBytes bounds the heads of requests of other hosts, upstreams, operators and the platform, of which none
	// sends a kilobyte.
	ownHeadBytes = 8 << 10
	// requestTimeout bounds the time to read a whole request of theirs, idleTimeout that between two, and
	// writeTimeout that for which they may accept nothing of a response.
	requestTimeout = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	writeTimeout   = 15 * time.Second
	// sessionReceiveBuffer is the receive buffer of a session with another host, in bytes.
	sessionReceiveBuffer = 256 << 10
	// peerSecret authenticates hosts to each other. The platform doesn't provide one.
	// Its private networks keep strangers out; this constant only rejects processes that have
	// dialled the wrong port.
	peerSecret = "sassafraspost-node"
	// memoryLimitFraction is the fraction of the process's memory above which the garbage collector
	// runs more often. The rest is for stacks, the runtime and socket buffers.
	memoryLimitFraction = 0.6
	// gcPercent is the growth of the heap in percent that triggers a collection. The heaps are only
	// a few MB, so memory is scarcer than the CPU time of a collection.
	gcPercent = 60
)

// Platform adapts a process to the platform on which it runs: its formats, protocols and settings.
type Platform struct {
	Dialect gateway.Dialect
	// DecodeTable decodes a packed configuration.
	DecodeTable func(packed []byte) (*routetable.Table, error)
	// ControlAPI returns the handler for requests of upstreams and operators to a control host.
	ControlAPI func(h ControlHost, address string, count func(name string), log *slog.Logger) http.Handler
	// MaxControlBody is the size of the largest body of such a request, in bytes.
	MaxControlBody int64
	// NewEngine returns a client of the engine at an address.
	NewEngine func(address netip.AddrPort) rank.Client
	// ReadyPath is the path of an entry host's readiness check.
	ReadyPath string
	// ReloadSettings reads the current settings.
	ReloadSettings func() (Settings, error)
}

// Node holds what all roles of a process have in common.
type Node struct {
	settings Settings
	platform Platform
	log      *slog.Logger
	metrics  metrics.Registry
	pool     *peer.Pool
	// standstills finds out that the process was frozen.
	standstills *standstill.Watch
	// memory counts what the process holds for its clients, with times of now.
	memory *memory.Budget
	now    func() time.Duration
	// inbound has all listeners.
	inbound *inbound.Guard
	// handleMessage is called for each message of a session, onSessionUp for each new session. The
	// role sets both before any session begins.
	handleMessage func(s *peer.Session, call uint64, m wire.Message)
	onSessionUp   func(s *peer.Session)
}

// role is the work of a process: entry host, control host or agent.
type role interface {
	// run works until ctx ends. It returns earlier only if the role has failed.
	run(ctx context.Context) error
	// drain ends the role's work gracefully before ctx ends.
	drain(ctx context.Context)
	// keeper returns the role's records of requests during which upstreams crashed, nil if it has
	// none.
	keeper() *quarantine.Keeper
	// notices returns notices of the upstreams that accept fewer requests than others, as far as the
	// role knows them.
	notices() []backpressure.Notice
}

// Run runs the process until ctx ends, then shuts it down gracefully.
func Run(ctx context.Context, settings Settings, p Platform, log *slog.Logger) error {
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryLimitFraction))
	debug.SetGCPercent(gcPercent)
	log = log.With("host", settings.Host)
	n := &Node{settings: settings, platform: p, log: log, metrics: metrics.NewRegistry()}
	n.standstills = standstill.NewWatch(func(d time.Duration) {
		n.log.Warn("host stood still", "for_ms", d.Milliseconds())
		metrics.GetOrRegisterCounter("host.standstills", n.metrics).Inc(1)
	})
	started := time.Now()
	n.now = func() time.Duration { return time.Since(started) }
	n.memory = memory.NewBudget(memory.LimitsFor(settings.MemoryMB))
	n.inbound = inbound.NewGuard(inbound.Config{
		Memory: n.memory, Now: n.now, RetryAfter: gateway.RefusedRetryAfter, Log: log, Metrics: n.metrics,
	})
	r, err := n.build()
	if err != nil {
		return err
	}
	if _, err := n.serve("peers", settings.peerAddress(settings.IP), n.shares().Peer, n.inbound.Heads(n.peerHandler())); err != nil {
		return errors.Wrap(err, "peer listener")
	}
	n.serveMetrics(r)
	roleDone := make(chan error, 1)
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go n.standstills.Run(workCtx)
	go n.inbound.Run(workCtx)
	go func() { roleDone <- r.run(workCtx) }()
	select {
	case err = <-roleDone:
		return errors.Wrap(err, "role ended")
	case <-ctx.Done():
	}
	log.Info("process is asked to end")
	deadline, cancel := context.WithTimeout(context.Background(), settings.GracePeriod-exitMargin)
	defer cancel()
	r.drain(deadline)
	n.pool.Close()
	return nil
}

// exitMargin is how long before the end of the grace period the process must have shut down.
const exitMargin = 700 * time.Millisecond

func (n *Node) build() (role, error) {
	n.log.Info("process starts", "version", version.Release, "role", n.settings.role(), "data_centre", n.settings.DataCentre,
		"seeds", n.settings.seedPeers(), "first_start", n.settings.FirstStart)
	switch n.settings.role() {
	case "entry":
		return n.buildEntry()
	case "control":
		return n.buildControl()
	default:
		return n.buildAgent()
	}
}

// openPool creates the pool of sessions with other hosts. replica identifies the disk of a control
// host; it is empty for the other roles.
func (n *Node) openPool(replica string) {
	n.pool = peer.NewPool(peer.Config{
		Hello: wire.Hello{
			Host: n.settings.Host, DataCentre: n.settings.DataCentre, Address: n.settings.peerAddress(n.settings.IP),
			Incarnation: rand.Uint64(), Replica: replica,
		},
		Secret:  peerSecret,
		Handler: peer.HandlerFunc(func(s *peer.Session, call uint64, m wire.Message) { n.handleMessage(s, call, m) }),
		OnSession: func(s *peer.Session) {
			if n.onSessionUp != nil {
				n.onSessionUp(s)
			}
		},
		MaxSessions: n.shares().Sessions, PingInterval: pingInterval, ProbeTimeout: watchedSilenceLimit, DialTimeout: dialTimeout, Metrics: n.metrics, Log: n.log,
	})
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.NewServer(n.pool))
	return mux
}

// shares returns how many connections the process may have at its listeners.
func (n *Node) shares() inbound.Shares {
	return inbound.Machine{MemoryMB: n.settings.MemoryMB, Descriptors: n.settings.Descriptors}.Shares()
}

// serve starts an HTTP server for other hosts, upstreams, operators or the platform, with up to the given number of
// connections. It runs until the process ends or the server is shut down.
func (n *Node) serve(name, address string, connections int, h http.Handler) (*http.Server, error) {
	limits := inbound.Limits{
		Connections: connections, HeadBytes: ownHeadBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
	}
	l, err := n.inbound.Listen(address, inbound.ListenerConfig{
		Name: name, Limits: func() inbound.Limits { return limits }, SessionBuffer: sessionReceiveBuffer,
	})
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: h, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: ownHeadBytes, ConnState: l.ConnState}
	go func() { _ = srv.Serve(l) }()
	return srv, nil
}

// serveMetrics serves the metrics, the list of quarantined requests and that of upstreams with rate
// limits. If it can't listen, the
// process continues without them, because serving requests is more important.
func (n *Node) serveMetrics(r role) {
	address := net.JoinHostPort(n.settings.IP.String(), portText(n.settings.MetricsPort))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.Handler(n.metrics))
	if keeper := r.keeper(); keeper != nil {
		h := quarantine.Handler(keeper)
		mux.Handle(quarantine.Path, h)
		mux.Handle(quarantine.Path+"/", h)
		mux.Handle("GET "+backpressure.Path, backpressure.Handler(r.notices))
	}
	if _, err := n.serve("metrics", address, inbound.MetricsConnections, n.inbound.Heads(mux)); err != nil {
		n.log.Warn("can't serve metrics", "address", address, "error", err.Error())
	}
}
