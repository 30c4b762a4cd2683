// Command standin runs a stand-in for a model engine, a plain service or a group of ranks.
package main

import (
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/test/standin"
)

type flags struct {
	listen, kind    string
	delay, downtime time.Duration
	engine          standin.EngineConfig
	group           standin.GroupConfig
}

func main() {
	var f flags
	cmd := &cobra.Command{
		Use:          "standin",
		Short:        "Run a stand-in for a model engine or a plain service",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return f.run() },
	}
	fs := cmd.Flags()
	fs.StringVar(&f.listen, "listen", "127.0.0.1:8000", "address to listen on")
	fs.StringVar(&f.kind, "kind", "engine", "engine, service or group")
	fs.DurationVar(&f.delay, "delay", 0, "time of one booking of a service")
	fs.DurationVar(&f.downtime, "away", 0, "for how long an engine is away that a prompt has ended; zero lets none end it")
	fs.DurationVar(&f.engine.Step, "step", 5*time.Millisecond, "time of one engine step")
	fs.IntVar(&f.engine.Concurrency, "concurrency", 64, "requests that an engine runs at once")
	fs.DurationVar(&f.engine.LoadReportAge, "lag", 100*time.Millisecond, "age of load reports")
	fs.DurationVar(&f.engine.EventDelay, "event-delay", 50*time.Millisecond, "lateness of cache events")
	fs.Uint64Var(&f.engine.DropEvery, "event-gap", 0, "drop each cache event whose number this divides")
	fs.BoolVar(&f.engine.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	fs.StringVar(&f.engine.Version, "version", "", "version that an engine has loaded at its start")
	fs.IntVar(&f.group.Ranks, "ranks", 8, "ranks of a group")
	fs.IntVar(&f.group.Experts, "experts", 64, "experts in each layer of a group")
	fs.IntVar(&f.group.Layers, "layers", 4, "layers of a group")
	fs.DurationVar(&f.group.LoadTime, "load-time", 50*time.Millisecond, "time to load the weights of a map")
	fs.Uint64Var(&f.group.DriftSteps, "drift-steps", 0, "steps between changes of the experts' popularity")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

func (f *flags) run() error {
	s := &server{flags: f}
	if f.downtime > 0 {
		f.engine.Crash = s.crash
	}
	var h http.Handler
	switch f.kind {
	case "engine":
		h = standin.NewEngine(f.engine)
	case "service":
		h = standin.NewService(f.delay)
	case "group":
		h = newGroup(f)
	default:
		return errors.Errorf("unknown kind %q", f.kind)
	}
	s.handler = h
	return s.run()
}

// server serves a stand-in over HTTP. The stand-in may crash and restart; its counts survive.
type server struct {
	*flags
	handler http.Handler

	// mu guards current, which is nil after a crash until the restart.
	mu      sync.Mutex
	current *http.Server
}

// run serves until the listener fails. After a crash it serves again once downtime has passed.
func (s *server) run() error {
	for {
		srv := &http.Server{Addr: s.listen, Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
		s.mu.Lock()
		s.current = srv
		s.mu.Unlock()
		if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-time.After(s.downtime)
	}
}

// crash closes the listener and all connections, as a crash of the process would.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		_ = s.current.Close()
		s.current = nil
	}
}

// newGroup returns a handler for the ranks of a group and, on the other paths, for one engine.
func newGroup(f *flags) http.Handler {
	f.group.Step = f.engine.Step
	g := standin.NewGroup(f.group)
	mux := http.NewServeMux()
	mux.Handle("/ranks/", g)
	mux.Handle("/group", g)
	mux.Handle("/", standin.NewEngine(f.engine))
	return mux
}
