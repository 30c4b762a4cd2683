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
	secret           = "secret of the measurement"
	discoveryTimeout = time.Minute
)

type options struct {
	entries, agents int
	duration        time.Duration
	interval        time.Duration
	dialsAgents     bool
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
	fs.DurationVar(&o.duration, "span", 20*time.Second, "how long to measure")
	fs.DurationVar(&o.interval, "interval", time.Second, "time between announcements of an agent")
	fs.BoolVar(&o.dialsAgents, "dispatch", true, "hold a session from each entry host to each agent, as requests do")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

// testHost is one host of the measured data centre.
type testHost struct {
	host     directory.Host
	pool     *peer.Pool
	registry metrics.Registry
	service  *directory.Service
	// state and stop belong to an agent: what it announces, and the end of announcing.
	state     atomic.Uint32
	stop      context.CancelFunc
	announcer *directory.Announcer
}

var startTime = time.Now()

func now() time.Duration { return time.Since(startTime) }

func run(o options) error {
	before := memoryInUse()
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
	if o.dialsAgents {
		if err := dialAgents(entries, agents); err != nil {
			return err
		}
	}
	measureCost(o, entries, agents, before)
	return measureChanges(entries, agents)
}

// measureChanges measures how long it takes until all entry hosts know that an agent leaves,
// and that another one has fallen silent.
func measureChanges(entries, agents []*testHost) error {
	leaving, silent := agents[0], agents[1]
	leaving.state.Store(uint32(wire.UpstreamLeaving))
	leaving.announcer.AnnounceNow()
	err := printTimeUntil("leaving agent", entries, leaving, func(e directory.Entry) bool {
		return e.Upstream.State == wire.UpstreamLeaving
	})
	if err != nil {
		return err
	}
	silent.stop()
	return printTimeUntil("silent agent", entries, silent, func(e directory.Entry) bool { return e.Suspect })
}

func printTimeUntil(what string, entries []*testHost, agent *testHost, ok func(directory.Entry) bool) error {
	begin := time.Now()
	for _, n := range entries {
		for !entryMatches(n, agent.host.Name, ok) {
			if time.Since(begin) > discoveryTimeout {
				return fmt.Errorf("%s does not know of the %s", n.host.Name, what)
			}
			time.Sleep(time.Millisecond)
		}
	}
	fmt.Printf("%s known everywhere after %v\n", what, time.Since(begin).Round(time.Millisecond))
	return nil
}

func entryMatches(n *testHost, name string, ok func(directory.Entry) bool) bool {
	for _, e := range n.service.Entries() {
		if e.Upstream.Name == name {
			return ok(e)
		}
	}
	return false
}

func newTestHost(name string, handler peer.Handler) (*testHost, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &testHost{host: directory.Host{Name: name, Address: l.Addr().String()}, registry: metrics.NewRegistry()}
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

func startEntries(o options) ([]*testHost, error) {
	var nodes []*testHost
	services := make([]atomic.Pointer[directory.Service], o.entries)
	for i := range o.entries {
		n, err := newTestHost(fmt.Sprintf("entry-%d", i), peer.HandlerFunc(func(s *peer.Session, call uint64, m wire.Message) {
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

func startAgents(o options, entries []*testHost) ([]*testHost, error) {
	var hosts []directory.Host
	for _, n := range entries {
		hosts = append(hosts, n.host)
	}
	var nodes []*testHost
	for i := range o.agents {
		n, err := newTestHost(fmt.Sprintf("worker-a-%03d", i), peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}))
		if err != nil {
			return nil, err
		}
		n.state.Store(uint32(wire.UpstreamReady))
		var tick atomic.Uint32
		n.announcer = directory.NewAnnouncer(directory.AnnouncerConfig{
			Hosts: hosts, Pool: n.pool, Interval: o.interval, Now: now, Log: slog.New(slog.DiscardHandler),
			Raise: func(uint64) {},
			Record: func() (wire.Upstream, []wire.CacheEvent) {
				t := tick.Add(1)
				return wire.Upstream{
					Name: n.host.Name, DataCentre: "centre-a", Address: n.host.Address, Incarnation: 1,
					State: wire.UpstreamState(n.state.Load()), Pool: "drafter", Version: "v3", Role: "unified", Group: "drafter-a",
					Load: wire.Load{Running: 30 + t%8, Queued: t % 4, Capacity: 64, FirstTokenUS: 180_000 + uint64(t%1000), Tokens: 3500, CacheFree: 0.25, StepUS: 30_000, AgeMS: 100 + t%900},
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

func awaitKnown(entries []*testHost, agents int) error {
	begin := time.Now()
	for _, n := range entries {
		for len(n.service.Entries()) != agents {
			if time.Since(begin) > discoveryTimeout {
				return fmt.Errorf("%s knows %d of %d agents", n.host.Name, len(n.service.Entries()), agents)
			}
			time.Sleep(time.Millisecond)
		}
	}
	fmt.Printf("all agents known everywhere after %v\n", time.Since(begin).Round(time.Millisecond))
	return nil
}

func dialAgents(entries, agents []*testHost) error {
	for _, e := range entries {
		for _, a := range agents {
			if _, err := e.pool.Get(context.Background(), a.host.Address); err != nil {
				return err
			}
		}
	}
	return nil
}

// traffic is what nodes spent, summed.
type traffic struct{ sentMessages, sentBytes, receivedMessages, receivedBytes int64 }

func totalTraffic(nodes []*testHost) traffic {
	var c traffic
	for _, n := range nodes {
		c.sentMessages += counterValue(n, "sent.messages")
		c.sentBytes += counterValue(n, "sent.bytes")
		c.receivedMessages += counterValue(n, "received.messages")
		c.receivedBytes += counterValue(n, "received.bytes")
	}
	return c
}

func counterValue(n *testHost, name string) int64 {
	return metrics.GetOrRegisterCounter("peer.control."+name, n.registry).Count()
}

func measureCost(o options, entries, agents []*testHost, before uint64) {
	e0, a0, cpu0 := totalTraffic(entries), totalTraffic(agents), cpuTime()
	time.Sleep(o.duration)
	e1, a1, cpu1 := totalTraffic(entries), totalTraffic(agents), cpuTime()
	seconds := o.duration.Seconds()
	printTraffic("entry host", e0, e1, float64(o.entries)*seconds)
	printTraffic("agent", a0, a1, float64(o.agents)*seconds)
	nodes := float64(o.entries + o.agents)
	fmt.Printf("cpu: %.3f%% of a core a node\n", 100*(cpu1-cpu0).Seconds()/seconds/nodes)
	fmt.Printf("heap: %.1f KiB a node\n", float64(memoryInUse()-before)/1024/nodes)
}

func printTraffic(who string, a, b traffic, per float64) {
	fmt.Printf("%s: sends %.1f messages/s, %.0f B/s; receives %.1f messages/s, %.0f B/s\n", who,
		float64(b.sentMessages-a.sentMessages)/per, float64(b.sentBytes-a.sentBytes)/per,
		float64(b.receivedMessages-a.receivedMessages)/per, float64(b.receivedBytes-a.receivedBytes)/per)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
