package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// DefaultDialTimeout is the default of Config.DialTimeout.
	DefaultDialTimeout = 2 * time.Second
	// minHandshakeTimeout is how long a host that has accepted a connection may take for
	// the handshake, which is the WebSocket upgrade and the exchange of Hello messages. The
	// timeout doubles with each handshake that exceeds it, up to maxHandshakeTimeout. A host
	// that has hundreds of handshakes to do needs that time; dialling it again too soon only
	// adds to its work.
	minHandshakeTimeout = time.Second
	maxHandshakeTimeout = 4 * time.Second
	// redialDelay is how long an address is not dialled again after a failure, so that
	// callers that need a dead host fail at once instead of each waiting for a dial.
	redialDelay = 50 * time.Millisecond
)

// Config configures a Pool.
type Config struct {
	// Hello describes this host to its peers.
	Hello wire.Hello
	// Secret authenticates the processes of the system to each other.
	Secret string
	// Handler receives the messages of all sessions.
	Handler Handler
	// TLS is the client configuration for dialling peers; nil means no TLS.
	TLS *tls.Config
	// OnSession, if set, is called once for each new session, dialled or accepted.
	OnSession func(*Session)
	// PingInterval is the longest time that this host sends nothing on a live session; zero
	// means DefaultPingInterval. A host with many sessions should use a longer interval.
	PingInterval time.Duration
	// ProbeTimeout is how long the peer of a probed session may be silent (see
	// Session.StartProbing); zero means DefaultProbeTimeout. The peer is probed four times
	// within this time.
	ProbeTimeout time.Duration
	// DialContext opens a connection to an address; nil means over TCP.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds how long a host may take to accept a connection over TCP; zero means
	// DefaultDialTimeout. The handshake has a timeout of its own.
	DialTimeout time.Duration
	// MaxSessions bounds the sessions that other hosts have dialled, with those in handshakes; 0 means no bound.
	// Control hosts have maxControlSessions beside it.
	MaxSessions int
	// BeforeHandshake, if set, is called before each handshake with a host that dialled.
	BeforeHandshake func()
	// Metrics is the registry for the traffic counters; nil means a private one.
	Metrics metrics.Registry
	// Log receives the errors of messages that can't be decoded or whose handler panicked; nil discards
	// them.
	Log *slog.Logger
}

// Pool holds the live sessions with other hosts, by the address of the host.
type Pool struct {
	cfg     Config
	client  *http.Client
	traffic *traffic

	// mu guards the fields below. It is not locked while dialling.
	mu sync.Mutex
	// allSessions contains every live session, sessionsByAddress those of each address, the
	// latest last. Two hosts that dial each other at the same time have two sessions, and
	// either can be the one that ends.
	allSessions       map[*Session]bool
	sessionsByAddress map[string][]*Session
	dials             map[string]*dial
	// handshakeTimeouts are the handshake timeouts of hosts, by address. A host that is not
	// listed has minHandshakeTimeout.
	handshakeTimeouts map[string]time.Duration
	closed            bool
}

// dial is one attempt to connect to an address, shared by all callers that wait for it.
type dial struct {
	done       chan struct{}
	s          *Session
	err        error
	finishedAt time.Time
}

// NewPool returns an empty Pool.
func NewPool(cfg Config) *Pool {
	if cfg.PingInterval <= 0 {
		cfg.PingInterval = DefaultPingInterval
	}
	if cfg.ProbeTimeout <= 0 {
		cfg.ProbeTimeout = DefaultProbeTimeout
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	cfg.Hello.PingMS = uint64(cfg.PingInterval / time.Millisecond)
	if cfg.DialContext == nil {
		cfg.DialContext = (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext
	}
	transport := &http.Transport{TLSClientConfig: cfg.TLS, DialContext: cfg.DialContext, MaxResponseHeaderBytes: maxHandshakeBytes}
	return &Pool{
		cfg:               cfg,
		client:            &http.Client{Transport: transport},
		traffic:           newTraffic(cfg.Metrics, cfg.Log),
		allSessions:       make(map[*Session]bool),
		sessionsByAddress: make(map[string][]*Session),
		dials:             make(map[string]*dial),
		handshakeTimeouts: make(map[string]time.Duration),
	}
}

// Get returns the live session with the host at address. It dials if there is none. If it
// returns an error, nothing was sent.
func (p *Pool) Get(ctx context.Context, address string) (*Session, error) {
	if s := p.LiveSession(address); s != nil {
		return s, nil
	}
	d, err := p.sharedDial(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-d.done:
		return d.s, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// LiveSession returns the live session with the host at address on which to send, see
// LatestAnswering, or nil.
func (p *Pool) LiveSession(address string) *Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := make([]*Session, 0, len(p.sessionsByAddress[address]))
	for _, s := range p.sessionsByAddress[address] {
		if s.Alive() {
			live = append(live, s)
		}
	}
	return LatestAnswering(live)
}

// Sessions returns all live sessions.
func (p *Pool) Sessions() []*Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Session, 0, len(p.allSessions))
	for s := range p.allSessions {
		if s.Alive() {
			out = append(out, s)
		}
	}
	return out
}

// sharedDial returns the dial to address that is in progress or failed less than
// redialDelay ago, or starts one.
func (p *Pool) sharedDial(address string) (*dial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if d := p.dials[address]; d != nil && (!d.finished() || time.Since(d.finishedAt) < redialDelay && d.err != nil) {
		return d, nil
	}
	d := &dial{done: make(chan struct{})}
	p.dials[address] = d
	go p.dial(address, d)
	return d, nil
}

func (d *dial) finished() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

func (p *Pool) dial(address string, d *dial) {
	p.traffic.dials.Inc(1)
	limit := p.handshakeTimeout(address)
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.DialTimeout+limit)
	defer cancel()
	s, err := p.connectRepeatedly(ctx, address)
	p.recordHandshake(address, limit, ctx.Err() != nil)
	if err == nil {
		p.register(address, s)
		go s.run(p.cfg.Handler)
		p.notify(s)
	}
	d.s, d.err, d.finishedAt = s, err, time.Now()
	close(d.done)
}

// handshakeTimeout returns how long the host at address may take for the handshake.
func (p *Pool) handshakeTimeout(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.handshakeTimeouts[address], minHandshakeTimeout)
}

// recordHandshake doubles the handshake timeout of a host that exceeded it, and resets it
// otherwise.
func (p *Pool) recordHandshake(address string, limit time.Duration, isLate bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.handshakeTimeouts, address)
	if isLate {
		p.traffic.lateHandshakes.Inc(1)
		p.handshakeTimeouts[address] = min(2*limit, maxHandshakeTimeout)
	}
}

// connectResult is the result of one attempt to connect.
type connectResult struct {
	s   *Session
	err error
}

// connectRepeatedly connects to a host. If this is a control host, it makes another attempt whenever the
// ones before have taken longer than minHandshakeTimeout: their connections may have lost bytes for good,
// and no leader can be elected as long as control hosts wait for them. Control hosts are few, so this
// is no burden to a host that is only slow.
func (p *Pool) connectRepeatedly(ctx context.Context, address string) (*Session, error) {
	if p.cfg.Hello.Replica == "" {
		return p.connect(ctx, address)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan connectResult)
	attempt := func() {
		s, err := p.connect(ctx, address)
		results <- connectResult{s, err}
	}
	again := time.NewTicker(minHandshakeTimeout)
	defer again.Stop()
	running := 1
	go attempt()
	for {
		select {
		case <-again.C:
			p.traffic.dials.Inc(1)
			running++
			go attempt()
		case r := <-results:
			running--
			if r.err != nil && running > 0 {
				continue
			}
			go closeAll(results, running)
			return r.s, r.err
		}
	}
}

// closeAll closes the sessions of a number of attempts whose results are not needed.
func closeAll(results <-chan connectResult, attempts int) {
	for range attempts {
		if r := <-results; r.err == nil {
			_ = r.s.conn.CloseNow()
		}
	}
}

// maxHandshakeBytes limits the header of the answer to a handshake.
const maxHandshakeBytes = 64 << 10

func (p *Pool) connect(ctx context.Context, address string) (*Session, error) {
	opts := &websocket.DialOptions{
		HTTPClient:      p.client,
		HTTPHeader:      p.dialHeader(),
		CompressionMode: websocket.CompressionDisabled,
	}
	conn, _, err := websocket.Dial(ctx, p.url(address), opts)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: dial %s", address)
	}
	conn.SetReadLimit(wire.MaxMessageBytes)
	if err := sendHello(ctx, conn, p.cfg.Hello); err != nil {
		_ = conn.CloseNow()
		return nil, errors.Wrapf(err, "peer: send hello to %s", address)
	}
	remote, err := receiveHello(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, errors.Wrapf(err, "peer: receive hello from %s", address)
	}
	return p.newSession(conn, remote), nil
}

// dialHeader returns the HTTP header of the WebSocket upgrade request.
func (p *Pool) dialHeader() http.Header {
	h := http.Header{"Authorization": {"Bearer " + p.cfg.Secret}}
	if p.cfg.Hello.Replica != "" {
		h.Set(replicaHeader, p.cfg.Hello.Replica)
	}
	return h
}

func (p *Pool) url(address string) string {
	if p.cfg.TLS != nil {
		return "wss://" + address + Path
	}
	return "ws://" + address + Path
}

// registerAccepted registers an accepted session under the address in the peer's Hello.
func (p *Pool) registerAccepted(s *Session) {
	p.register(s.remote.Address, s)
	p.notify(s)
}

func (p *Pool) register(address string, s *Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		s.Close()
		return
	}
	p.allSessions[s] = true
	p.traffic.sessions.Update(int64(len(p.allSessions)))
	if address != "" {
		p.sessionsByAddress[address] = append(p.sessionsByAddress[address], s)
	}
	go p.removeWhenDone(address, s)
}

func (p *Pool) removeWhenDone(address string, s *Session) {
	<-s.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.allSessions, s)
	p.traffic.sessions.Update(int64(len(p.allSessions)))
	others := slices.DeleteFunc(p.sessionsByAddress[address], func(other *Session) bool { return other == s })
	if len(others) == 0 {
		delete(p.sessionsByAddress, address)
		return
	}
	p.sessionsByAddress[address] = others
}

func (p *Pool) notify(s *Session) {
	if p.cfg.OnSession != nil {
		p.cfg.OnSession(s)
	}
}

// Shutdown refuses new sessions. It closes each live session when the peer has read
// everything that was sent to it, or when ctx is done.
func (p *Pool) Shutdown(ctx context.Context) {
	p.mu.Lock()
	p.closed = true
	open := slices.Collect(maps.Keys(p.allSessions))
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range open {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = s.shutdown(ctx)
			s.Close()
		}()
	}
	wg.Wait()
}

// Close refuses new sessions and closes all live ones immediately.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	open := slices.Collect(maps.Keys(p.allSessions))
	p.mu.Unlock()
	for _, s := range open {
		s.Close()
	}
}
