// Command members measures what membership and load reports cost a host of one data
// centre. It runs entry hosts and agents with their real sessions, tables and
// announcers on loopback, all in one process, and prints messages, bytes, CPU and
// memory per host.
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

// discoveryTimeout is how long all entry hosts may take to learn of a change.
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

// testHost is one entry host or agent of the measured data centre.
type testHost struct {
	host     directory.Host
	pool     *peer.Pool
	registry metrics.Registry
	service  *directory.Service
	// These are set for agents only. state is the upstream state that the agent announces, stop
	// ends its announcements.
	state     atomic.Uint32
	stop      context.CancelFunc
	announcer *directory.Announcer
}

// startTime is the zero time of the clock that now returns.
var startTime = time.Now()

func now() time.Duration { return time.Since(startTime) }

// run starts all hosts, measures their cost, and then measures how fast changes spread.
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

// measureChanges measures how long it takes until all entry hosts know that one agent is
// draining, and that another agent has stopped sending announcements.
func measureChanges(entries, agents []*testHost) error {
	draining, silent := agents[0], agents[1]
	draining.state.Store(uint32(wire.UpstreamDraining))
	draining.announcer.AnnounceNow()
	err := printTimeUntil("leaving agent", entries, draining, func(e directory.Entry) bool {
		return e.Upstream.State == wire.UpstreamDraining
	})
	if err != nil {
		return err
	}
	silent.stop()
	return printTimeUntil("silent agent", entries, silent, func(e directory.Entry) bool { return e.Suspect })
}

// printTimeUntil waits until ok holds for the agent's entry on all entry hosts, and prints how long
// that took.
func printTimeUntil(what string, entries []*testHost, agent *testHost, ok func(directory.Entry) bool) error {
	begin := time.Now()
	for _, h := range entries {
		for !entryMatches(h, agent.host.Name, ok) {
			if time.Since(begin) > discoveryTimeout {
				return fmt.Errorf("%s does not know of the %s", h.host.Name, what)
			}
			time.Sleep(time.Millisecond)
		}
	}
	fmt.Printf("%s known everywhere after %v\n", what, time.Since(begin).Round(time.Millisecond))
	return nil
}

// entryMatches reports whether ok holds for the named agent's entry in the directory of a host.
func entryMatches(h *testHost, name string, ok func(directory.Entry) bool) bool {
	for _, e := range h.service.Entries() {
		if e.Upstream.Name == name {
			return ok(e)
		}
	}
	return false
}

// newTestHost starts a peer listener and returns a host without a directory or announcer.
func newTestHost(name string, handler peer.Handler) (*testHost, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &testHost{host: directory.Host{Name: name, Address: l.Addr().String()}, registry: metrics.NewRegistry()}
	h.pool = peer.NewPool(peer.Config{
		Hello:   wire.Hello{Host: name, DataCentre: "centre-a", Address: h.host.Address},
		Secret:  secret,
		Handler: handler,
		Metrics: h.registry,
	})
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.NewServer(h.pool))
	go func() { _ = http.Serve(l, mux) }()
	return h, nil
}

// startEntries starts the entry hosts. Their addresses must be known before their directory
// services are created, so a listener that is up already ignores messages until then.
func startEntries(o options) ([]*testHost, error) {
	var entries []*testHost
	services := make([]atomic.Pointer[directory.Service], o.entries)
	for i := range o.entries {
		h, err := newTestHost(fmt.Sprintf("entry-%d", i), peer.HandlerFunc(func(s *peer.Session, call uint64, m wire.Message) {
			if d := services[i].Load(); d != nil {
				d.HandlePeer(s, call, m)
			}
		}))
		if err != nil {
			return nil, err
		}
		entries = append(entries, h)
	}
	var hosts []directory.Host
	for _, h := range entries {
		hosts = append(hosts, h.host)
	}
	for i, h := range entries {
		h.service = directory.NewService(directory.ServiceConfig{
			Self: h.host.Name, Hosts: hosts, Incarnation: 1, Pool: h.pool,
			Now: now, Log: slog.New(slog.DiscardHandler), Metrics: h.registry,
		})
		services[i].Store(h.service)
		go h.service.Run(context.Background())
	}
	return entries, nil
}

// startAgents starts agents that announce themselves, with changing load, to all entry hosts.
func startAgents(o options, entries []*testHost) ([]*testHost, error) {
	var hosts []directory.Host
	for _, h := range entries {
		hosts = append(hosts, h.host)
	}
	var agents []*testHost
	for i := range o.agents {
		h, err := newTestHost(fmt.Sprintf("worker-a-%03d", i), peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}))
		if err != nil {
			return nil, err
		}
		h.state.Store(uint32(wire.UpstreamReady))
		var tick atomic.Uint32
		h.announcer = directory.NewAnnouncer(directory.AnnouncerConfig{
			Hosts: hosts, Pool: h.pool, Interval: o.interval, Now: now, Log: slog.New(slog.DiscardHandler),
			RaiseIncarnation: func(uint64) {},
			Record: func() (wire.Upstream, []wire.CacheEvent) {
				t := tick.Add(1)
				return wire.Upstream{
					Name: h.host.Name, DataCentre: "centre-a", Address: h.host.Address, Incarnation: 1,
					State: wire.UpstreamState(h.state.Load()), Pool: "drafter", Version: "v3", Role: "unified", Group: "drafter-a",
					Load: wire.Load{Running: 30 + t%8, Queued: t % 4, Capacity: 64, FirstTokenUS: 180_000 + uint64(t%1000), TokensPerSecond: 3500, CacheFree: 0.25, StepUS: 30_000, AgeMS: 100 + t%900},
				}, nil
			},
		})
		var ctx context.Context
		ctx, h.stop = context.WithCancel(context.Background())
		go h.announcer.Run(ctx)
		agents = append(agents, h)
	}
	return agents, nil
}

// awaitKnown waits until all entry hosts know this number of agents.
func awaitKnown(entries []*testHost, agents int) error {
	begin := time.Now()
	for _, h := range entries {
		for len(h.service.Entries()) != agents {
			if time.Since(begin) > discoveryTimeout {
				return fmt.Errorf("%s knows %d of %d agents", h.host.Name, len(h.service.Entries()), agents)
			}
			time.Sleep(time.Millisecond)
		}
	}
	fmt.Printf("all agents known everywhere after %v\n", time.Since(begin).Round(time.Millisecond))
	return nil
}

// dialAgents opens a session from each entry host to each agent.
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

// traffic is the sum of the messages and bytes that some hosts have sent and received.
type traffic struct{ sentMessages, sentBytes, receivedMessages, receivedBytes int64 }

func totalTraffic(hosts []*testHost) traffic {
	var total traffic
	for _, h := range hosts {
		total.sentMessages += counterValue(h, "sent.messages")
		total.sentBytes += counterValue(h, "sent.bytes")
		total.receivedMessages += counterValue(h, "received.messages")
		total.receivedBytes += counterValue(h, "received.bytes")
	}
	return total
}

func counterValue(h *testHost, name string) int64 {
	return metrics.GetOrRegisterCounter("peer.control."+name, h.registry).Count()
}

// measureCost waits for the measured duration, and prints the traffic, CPU time and memory per host
// in that time. before is the memory in use before the hosts were started.
func measureCost(o options, entries, agents []*testHost, before uint64) {
	e0, a0, cpu0 := totalTraffic(entries), totalTraffic(agents), cpuTime()
	time.Sleep(o.duration)
	e1, a1, cpu1 := totalTraffic(entries), totalTraffic(agents), cpuTime()
	seconds := o.duration.Seconds()
	printTraffic("entry host", e0, e1, float64(o.entries)*seconds)
	printTraffic("agent", a0, a1, float64(o.agents)*seconds)
	hosts := float64(o.entries + o.agents)
	fmt.Printf("cpu: %.3f%% of a core a node\n", 100*(cpu1-cpu0).Seconds()/seconds/hosts)
	fmt.Printf("heap: %.1f KiB a node\n", float64(memoryInUse()-before)/1024/hosts)
}

func printTraffic(role string, before, after traffic, hostSeconds float64) {
	fmt.Printf("%s: sends %.1f messages/s, %.0f B/s; receives %.1f messages/s, %.0f B/s\n", role,
		float64(after.sentMessages-before.sentMessages)/hostSeconds, float64(after.sentBytes-before.sentBytes)/hostSeconds,
		float64(after.receivedMessages-before.receivedMessages)/hostSeconds, float64(after.receivedBytes-before.receivedBytes)/hostSeconds)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the heap and stack memory in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
