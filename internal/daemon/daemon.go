// Package daemon creates the roles of one host from its settings and runs them until it is told to
// stop.
package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/control"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/journal"
	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/settings"
	"github.com/sassafraspost/sassafraspost/internal/standstill"
	"github.com/sassafraspost/sassafraspost/internal/telemetry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// flushTimeout bounds how long a process that shuts down waits for other hosts to read the messages
// sent to them.
const flushTimeout = 3 * time.Second

// role is one of the roles of a daemon: entry host, control host or agent.
type role interface {
	// onSessionUp is called once for each new session.
	onSessionUp(s *peer.Session)
	// handlePeer handles a message from another host and reports whether the role knows its kind.
	handlePeer(s *peer.Session, call uint64, m wire.Message) bool
	// run does the role's background work until ctx ends, which happens after drain. An error
	// stops the daemon.
	run(ctx context.Context) error
	// drain refuses new work and waits until the work in progress or ctx ends.
	drain(ctx context.Context) error
}

// Daemon is one host of the system.
type Daemon struct {
	set     *settings.Settings
	log     *slog.Logger
	metrics metrics.Registry
	// start is the origin of the monotonic clock. incarnation identifies this start of the process;
	// later starts have a higher one.
	start       time.Time
	incarnation uint64

	pool *peer.Pool
	// standstills finds out that the process was frozen.
	standstills *standstill.Watch
	// memory counts what the process holds for its clients, machine is what it may use, and guard has its listeners.
	memory  *memory.Budget
	machine inbound.Machine
	guard   *inbound.Guard
	// journal, recovered and transport are used by the control role only.
	journal   *journal.Journal
	recovered journal.Recovered
	transport *control.Transport

	roles           []role
	servers         []*server
	unknownMessages metrics.Counter
}

// New creates a daemon and opens its listeners. It fails if a listener, file or setting can't be
// used.
func New(set *settings.Settings, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{
		set:         set,
		log:         log.With("host", set.Host.Name),
		metrics:     metrics.NewRegistry(),
		start:       time.Now(),
		incarnation: uint64(time.Now().UnixNano()),
	}
	d.unknownMessages = metrics.GetOrRegisterCounter("peer.messages.unknown", d.metrics)
	d.standstills = standstill.NewWatch(func(span time.Duration) {
		d.log.Warn("host stood still", "for_ms", span.Milliseconds())
		metrics.GetOrRegisterCounter("host.standstills", d.metrics).Inc(1)
	})
	d.machine = machineOf(set.Host)
	d.memory = memory.NewBudget(bufferLimits(d.machine.MemoryMB))
	d.guard = inbound.NewGuard(inbound.Config{
		Memory: d.memory, Now: d.now, RetryAfter: entry.DefaultRetryAfter, Log: d.log, Metrics: d.metrics,
	})
	if err := d.build(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) build() error {
	if slices.Contains(d.set.Host.Roles, settings.RoleControl) {
		if err := d.openJournal(); err != nil {
			return err
		}
	}
	if err := d.buildPool(); err != nil {
		return err
	}
	builders := map[settings.Role]func() (role, error){
		settings.RoleControl: d.buildControl,
		settings.RoleEntry:   d.buildEntry,
		settings.RoleAgent:   d.buildAgent,
	}
	for _, name := range []settings.Role{settings.RoleControl, settings.RoleEntry, settings.RoleAgent} {
		if !slices.Contains(d.set.Host.Roles, name) {
			continue
		}
		r, err := builders[name]()
		if err != nil {
			return errors.Wrapf(err, "role %s", name)
		}
		d.roles = append(d.roles, r)
	}
	if !d.set.Metrics.Listen.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", telemetry.Handler(d.metrics))
	_, err := d.serve("metrics", d.set.Metrics.Listen.String(), inbound.MetricsConnections, d.guard.Heads(mux), settings.TLS{})
	return err
}

// now returns the time since the start of the process, from the monotonic clock.
func (d *Daemon) now() time.Duration { return time.Since(d.start) }

func (d *Daemon) buildPool() error {
	p := d.set.Peer
	tlsConfig, err := peerTLS(p)
	if err != nil {
		return err
	}
	config := peer.Config{
		Hello: wire.Hello{
			Host:        d.set.Host.Name,
			DataCentre:  d.set.Host.DataCentre,
			Address:     p.Advertise.String(),
			Incarnation: d.incarnation,
		},
		Secret:      string(p.Secret),
		Handler:     peer.HandlerFunc(d.handlePeer),
		OnSession:   d.sessionUp,
		MaxSessions: d.machine.Shares().Sessions,
		TLS:         tlsConfig,
		Metrics:     d.metrics,
		Log:         d.log,
	}
	if d.transport != nil {
		config.Hello.Replica = string(control.ID(d.set.Host.Name, d.recovered))
	}
	d.pool = peer.NewPool(config)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.NewServer(d.pool))
	_, err = d.serve("peer", p.Listen.String(), d.machine.Shares().Peer, d.guard.Heads(mux), p.TLS)
	return err
}

// sessionUp passes a new session to the transport and the roles.
func (d *Daemon) sessionUp(s *peer.Session) {
	if d.transport != nil {
		d.transport.SessionUp(s)
	}
	for _, r := range d.roles {
		r.onSessionUp(s)
	}
}

// handlePeer passes a message to the roles until one of them handles it.
func (d *Daemon) handlePeer(s *peer.Session, call uint64, m wire.Message) {
	for _, r := range d.roles {
		if r.handlePeer(s, call, m) {
			return
		}
	}
	d.unknownMessages.Inc(1)
}

// serve opens a listener for a handler of short requests, with up to the given number of connections. Run starts to
// accept connections.
func (d *Daemon) serve(name, address string, connections int, h http.Handler, t settings.TLS) (*server, error) {
	limits := inbound.Limits{
		Connections: connections, HeadBytes: maxHeaderBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: writeTimeout,
	}
	// The requests of one connection of HTTP/2 would have to be bounded too.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	server := &http.Server{Handler: h, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes, Protocols: protocols}
	return d.serveWith(address, server, t, inbound.ListenerConfig{
		Name: name, Limits: func() inbound.Limits { return limits }, SessionBuffer: sessionReceiveBuffer,
	})
}

// serveWith is like serve, for an http.Server and a listener with their own limits.
func (d *Daemon) serveWith(address string, h *http.Server, t settings.TLS, config inbound.ListenerConfig) (*server, error) {
	l, err := d.guard.Listen(address, config)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", config.Name)
	}
	h.ReadHeaderTimeout, h.ConnState = readHeaderTimeout, l.ConnState
	s, err := newServer(config.Name, l, h, t)
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	d.servers = append(d.servers, s)
	return s, nil
}

// Run serves until ctx ends, then shuts down gracefully: it aborts requests in progress only after
// the shutdown grace period of the settings. The error says what failed or was aborted.
func (d *Daemon) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go d.standstills.Run(workCtx)
	go d.guard.Run(workCtx)
	failed := make(chan error, len(d.roles)+len(d.servers))
	for _, s := range d.servers {
		go func() { failed <- s.run() }()
	}
	for _, r := range d.roles {
		go func() {
			if err := r.run(workCtx); err != nil {
				failed <- err
			}
		}()
	}
	d.log.Info("started", "roles", d.set.Host.Roles, "data_centre", d.set.Host.DataCentre)
	select {
	case err := <-failed:
		d.log.Error("stopped after a failure", "error", err)
		d.close()
		return err
	case <-ctx.Done():
	}
	err := d.shutdown()
	stop()
	d.close()
	return err
}

// shutdown drains the roles in the reverse order of their creation and then flushes the sessions.
// The entry role stops taking callers before the control role stops.
func (d *Daemon) shutdown() error {
	d.log.Info("shutting down", "grace", d.set.Host.ShutdownGrace)
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Host.ShutdownGrace)
	defer cancel()
	var firstErr error
	for _, r := range slices.Backward(d.roles) {
		if err := r.drain(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	flushCtx, cancelFlush := context.WithTimeout(context.Background(), flushTimeout)
	defer cancelFlush()
	d.pool.Shutdown(flushCtx)
	if firstErr != nil {
		d.log.Error("shutdown aborted work in progress", "error", firstErr)
		return firstErr
	}
	d.log.Info("shut down")
	return nil
}

func (d *Daemon) close() {
	if d.pool != nil {
		d.pool.Close()
	}
	for _, s := range d.servers {
		s.close()
	}
}
