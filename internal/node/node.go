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

	"github.com/sassafraspost/sassafraspost/internal/gateway"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/telemetry"
	"github.com/sassafraspost/sassafraspost/internal/version"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// heldLimit is how long the other end of a watched session may be silent: well below the
	// time within which a host that is reachable again has to be up to date.
	heldLimit = 1500 * time.Millisecond
	// dialTimeout bounds an attempt to reach a host: many times a round trip between
	// data centres. A host that was dark at the first packet is dialled anew well before
	// that packet would be sent again.
	dialTimeout = 400 * time.Millisecond
	// pingInterval is the longest silence on a session that nobody watches.
	pingInterval = 3 * time.Second
	// headerTimeout bounds the head of a request of another host, an upstream or an
	// operator.
	headerTimeout = 3 * time.Second
	// secret is what hosts show one another. The platform gives none; its networks keep
	// strangers away, and this keeps away what dialled a wrong port.
	secret = "sassafraspost-node"
	// memoryPart is the part of the process's memory at which the collector works
	// harder; the rest is for stacks, the runtime and bytes on sockets.
	memoryPart = 0.6
	// collectAt is the heap's growth in percent between two collections. The heaps here
	// are a few MB, where memory is dearer than the time of a collection.
	collectAt = 60
)

// Platform translates for a process what stands outside the system.
type Platform struct {
	Dialect gateway.Dialect
	// Decode reads a packed configuration.
	Decode func(packed []byte) (*routetable.Table, error)
	// ControlAPI serves upstreams and operators at a control host.
	ControlAPI func(h ControlHost, address string, count func(name string)) http.Handler
	// Engine reaches the engine at an address.
	Engine func(address netip.AddrPort) rank.Client
	// ReadyPath is where an entry host is asked whether it wants callers.
	ReadyPath string
	// Reload reads the settings anew.
	Reload func() (Settings, error)
}

// Node is one process.
type Node struct {
	set      Settings
	platform Platform
	log      *slog.Logger
	metrics  metrics.Registry
	pool     *peer.Pool
	// handle takes the messages of sessions, up tells of new ones; the role sets both
	// before the sessions begin.
	handle func(s *peer.Session, call uint64, m wire.Message)
	up     func(s *peer.Session)
}

// role is what a process does.
type role interface {
	// run works until ctx ends. The error is what ended the role by itself.
	run(ctx context.Context) error
	// drain ends the role's work in the time that ctx leaves.
	drain(ctx context.Context)
	// keeper is what the role knows of requests under which upstreams ended; nil if nothing.
	keeper() *quarantine.Keeper
}

// Run runs the process until ctx ends, which starts the graceful end.
func Run(ctx context.Context, set Settings, p Platform, log *slog.Logger) error {
	debug.SetMemoryLimit(int64(float64(set.MemoryMB<<20) * memoryPart))
	debug.SetGCPercent(collectAt)
	log = log.With("host", set.Host)
	n := &Node{set: set, platform: p, log: log, metrics: metrics.NewRegistry()}
	r, err := n.build()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", set.peerAddress(set.IP))
	if err != nil {
		return errors.Wrap(err, "peer listener")
	}
	serve(listener, n.peerHandler())
	n.serveMetrics(r)
	ended := make(chan error, 1)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() { ended <- r.run(work) }()
	select {
	case err = <-ended:
		return errors.Wrap(err, "role ended")
	case <-ctx.Done():
	}
	log.Info("process is asked to end")
	deadline, cancel := context.WithTimeout(context.Background(), set.GracePeriod-endMargin)
	defer cancel()
	r.drain(deadline)
	n.pool.Close()
	return nil
}

// endMargin is how long before the end of the grace period a process ends by itself.
const endMargin = 700 * time.Millisecond

func (n *Node) build() (role, error) {
	n.log.Info("process starts", "version", version.Release, "role", n.set.role(), "data_centre", n.set.DataCentre,
		"seeds", n.set.seedPeers(), "first_start", n.set.FirstStart)
	switch n.set.role() {
	case "entry":
		return n.buildEntry()
	case "control":
		return n.buildControl()
	default:
		return n.buildAgent()
	}
}

// openPool makes the sessions' pool. Replica names the disk of a control host.
func (n *Node) openPool(replica string) {
	n.pool = peer.NewPool(peer.Config{
		Hello: wire.Hello{
			Host: n.set.Host, DataCentre: n.set.DataCentre, Address: n.set.peerAddress(n.set.IP),
			Incarnation: rand.Uint64(), Replica: replica,
		},
		Secret:  secret,
		Handler: peer.HandlerFunc(func(s *peer.Session, call uint64, m wire.Message) { n.handle(s, call, m) }),
		OnSession: func(s *peer.Session) {
			if n.up != nil {
				n.up(s)
			}
		},
		PingInterval: pingInterval, ProbeTimeout: heldLimit, DialTimeout: dialTimeout, Metrics: n.metrics, Log: n.log,
	})
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.NewServer(n.pool))
	return mux
}

// serve answers on the listener until the process ends.
func serve(l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() { _ = srv.Serve(l) }()
	return srv
}

// serveMetrics shows the metrics, and which requests are held. Without a listener the process
// goes on: they are not worth a request.
func (n *Node) serveMetrics(r role) {
	address := net.JoinHostPort(n.set.IP.String(), portText(n.set.MetricsPort))
	l, err := net.Listen("tcp", address)
	if err != nil {
		n.log.Warn("metrics can't be served", "address", address, "error", err.Error())
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.Handler(n.metrics))
	if k := r.keeper(); k != nil {
		h := quarantine.Handler(k)
		mux.Handle(quarantine.Path, h)
		mux.Handle(quarantine.Path+"/", h)
	}
	serve(l, mux)
}
