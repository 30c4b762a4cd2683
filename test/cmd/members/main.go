// Command members measures what membership and load reports cost a node of one data
// centre: it runs entry hosts and agents with their real sessions, tables and
// announcers on loopback, all in one process, and prints messages, bytes, CPU and
// memory a node.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	secret   = "secret of the measurement"
	patience = time.Minute
)

type options struct {
	entries, agents int
	span            time.Duration
	interval        time.Duration
	hasDispatch     bool
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use:          "members",
		Short:        "Measure what membership costs a node of a data centre",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(o) },
	}
	fs := cmd.Flags()
	fs.IntVar(&o.entries, "entries", 9, "entry hosts")
	fs.IntVar(&o.agents, "agents", 15, "agents")
	fs.DurationVar(&o.span, "span", 20*time.Second, "how long to measure")
	fs.DurationVar(&o.interval, "interval", time.Second, "time between announcements of an agent")
	fs.BoolVar(&o.hasDispatch, "dispatch", true, "hold a session from each entry host to each agent, as requests do")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

// node is one host of the measured data centre.
type node struct {
	host     directory.Host
	pool     *peer.Pool
	registry metrics.Registry
	service  *directory.Service
	// state and stop belong to an agent: what it announces, and the end of announcing.
	state     atomic.Uint32
	stop      context.CancelFunc
	announcer *directory.Announcer
}

var started = time.Now()

func now() time.Duration { return time.Since(started) }

func run(o options) error {
	before := heap()
	entries, err := startEntries(o)
	if err != nil {
		return err
	}
	agents, err := startAgents(o, entries)
	if err != nil {
		return err
	}
	if err := awaitKnown(entries, o.agents); err != nil {
		return err
	}
	if o.hasDispatch {
		if err := dialAgents(entries, agents); err != nil {
			return err
		}
	}
	measure(o, entries, agents, before)
	return change(entries, agents)
}

// change measures how long it takes until all entry hosts know that an agent leaves,
// and that another one has fallen silent.
func change(entries, agents []*node) error {
	leaving, silent := agents[0], agents[1]
	leaving.state.Store(uint32(wire.UpstreamDraining))
	leaving.announcer.AnnounceNow()
	err := timeUntil("leaving agent", entries, leaving, func(e directory.Entry) bool {
		return e.Upstream.State == wire.UpstreamDraining
	})
	if err != nil {
		return err
	}
	silent.stop()
	return timeUntil("silent agent", entries, silent, func(e directory.Entry) bool { return e.Suspect })
}

func timeUntil(what string, entries []*node, agent *node, ok func(directory.Entry) bool) error {
	begin := time.Now()
	for _, n := range entries {
		for !knows(n, agent.host.Name, ok) {
			if time.Since(begin) > patience {
				return fmt.Errorf("%s does not know of the %s", n.host.Name, what)
			}
			time.Sleep(time.Millisecond)
		}
	}
	fmt.Printf("%s known everywhere after %v\n", what, time.Since(begin).Round(time.Millisecond))
	return nil
}

func knows(n *node, name string, ok func(directory.Entry) bool) bool {
	for _, e := range n.service.Entries() {
		if e.Upstream.Name == name {
			return ok(e)
		}
	}
	return false
}

func newNode(name string, handler peer.Handler) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{host: directory.Host{Name: name, Address: l.Addr().String()}, registry: metrics.NewRegistry()}
	n.pool = peer.NewPool(peer.Config{
		Hello:   wire.Hello{Host: name, DataCentre: "centre-a", Address: n.host.Address},
		Secret:  secret,
		Handler: handler,
		Metrics: n.registry,
	})
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.NewServer(n.pool))
	go func() { _ = http.Serve(l, mux) }()
	return n, nil
}

func startEntries(o options) ([]*node, error) {
	var nodes []*node
	services := make([]atomic.Pointer[directory.Service], o.entries)
	for i := range o.entries {
		n, err := newNode(fmt.Sprintf("entry-%d", i), peer.HandlerFunc(func(s *peer.Session, call uint64, m wire.Message) {
			if d := services[i].Load(); d != nil {
				d.HandlePeer(s, call, m)
			}
		}))
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	var hosts []directory.Host
	for _, n := range nodes {
		hosts = append(hosts, n.host)
	}
	for i, n := range nodes {
		n.service = directory.NewService(directory.ServiceConfig{
			Self: n.host.Name, Hosts: hosts, Incarnation: 1, Pool: n.pool,
			Now: now, Log: slog.New(slog.DiscardHandler), Metrics: n.registry,
		})
		services[i].Store(n.service)
		go n.service.Run(context.Background())
	}
	return nodes, nil
}

func startAgents(o options, entries []*node) ([]*node, error) {
	var hosts []directory.Host
	for _, n := range entries {
		hosts = append(hosts, n.host)
	}
	var nodes []*node
	for i := range o.agents {
		n, err := newNode(fmt.Sprintf("worker-a-%03d", i), peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}))
		if err != nil {
			return nil, err
		}
		n.state.Store(uint32(wire.UpstreamReady))
		var tick atomic.Uint32
		n.announcer = directory.NewAnnouncer(directory.AnnouncerConfig{
			Hosts: hosts, Pool: n.pool, Interval: o.interval, Now: now, Log: slog.New(slog.DiscardHandler),
			RaiseIncarnation: func(uint64) {},
			Record: func() (wire.Upstream, []wire.CacheEvent) {
				t := tick.Add(1)
				return wire.Upstream{
					Name: n.host.Name, DataCentre: "centre-a", Address: n.host.Address, Incarnation: 1,
					State: wire.UpstreamState(n.state.Load()), Pool: "drafter", Version: "v3", Role: "unified", Group: "drafter-a",
					Load: wire.Load{Running: 30 + t%8, Queued: t % 4, Capacity: 64, FirstTokenUS: 180_000 + uint64(t%1000), TokensPerSecond: 3500, CacheFree: 0.25, StepUS: 30_000, AgeMS: 100 + t%900},
				}, nil
			},
		})
		var ctx context.Context
		ctx, n.stop = context.WithCancel(context.Background())
		go n.announcer.Run(ctx)
		nodes = append(nodes, n)
	}
	return nodes, nil
}

func awaitKnown(entries []*node, agents int) error {
	begin := time.Now()
	for _, n := range entries {
		for len(n.service.Entries()) != agents {
			if time.Since(begin) > patience {
				return fmt.Errorf("%s knows %d of %d agents", n.host.Name, len(n.service.Entries()), agents)
			}
			time.Sleep(time.Millisecond)
		}
	}
	fmt.Printf("all agents known everywhere after %v\n", time.Since(begin).Round(time.Millisecond))
	return nil
}

func dialAgents(entries, agents []*node) error {
	for _, e := range entries {
		for _, a := range agents {
			if _, err := e.pool.Get(context.Background(), a.host.Address); err != nil {
				return err
			}
		}
	}
	return nil
}

// cost is what nodes spent, summed.
type cost struct{ sentMessages, sentBytes, receivedMessages, receivedBytes int64 }

func spent(nodes []*node) cost {
	var c cost
	for _, n := range nodes {
		c.sentMessages += count(n, "sent.messages")
		c.sentBytes += count(n, "sent.bytes")
		c.receivedMessages += count(n, "received.messages")
		c.receivedBytes += count(n, "received.bytes")
	}
	return c
}

func count(n *node, name string) int64 {
	return metrics.GetOrRegisterCounter("peer.control."+name, n.registry).Count()
}

func measure(o options, entries, agents []*node, before uint64) {
	e0, a0, cpu0 := spent(entries), spent(agents), cpu()
	time.Sleep(o.span)
	e1, a1, cpu1 := spent(entries), spent(agents), cpu()
	seconds := o.span.Seconds()
	show("entry host", e0, e1, float64(o.entries)*seconds)
	show("agent", a0, a1, float64(o.agents)*seconds)
	nodes := float64(o.entries + o.agents)
	fmt.Printf("cpu: %.3f%% of a core a node\n", 100*(cpu1-cpu0).Seconds()/seconds/nodes)
	fmt.Printf("heap: %.1f KiB a node\n", float64(heap()-before)/1024/nodes)
}

func show(who string, a, b cost, per float64) {
	fmt.Printf("%s: sends %.1f messages/s, %.0f B/s; receives %.1f messages/s, %.0f B/s\n", who,
		float64(b.sentMessages-a.sentMessages)/per, float64(b.sentBytes-a.sentBytes)/per,
		float64(b.receivedMessages-a.receivedMessages)/per, float64(b.receivedBytes-a.receivedBytes)/per)
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
