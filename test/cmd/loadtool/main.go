// Command loadtool runs a whole system on loopback and measures it under load. It
// measures an overload by a few large and many small workspaces, failing upstreams,
// the latency that the system adds to a request, the request rate of one entry host,
// and the memory of idle processes. It prints Markdown tables.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/test/local"
)

// scenario is one measurement. Each scenario starts a system of its own.
type scenario struct {
	name, short string
	layout      local.Layout
	run         func(ctx context.Context, s *local.System) error
}

var scenarios = []scenario{
	{"overload", "Offer up to three times the capacity, from large and small workspaces", loadLayout, measureOverload},
	{"failing", "Let a third of the upstreams fail", loadLayout, measureFailures},
	{"limits", "Offer more than the limits of two workspaces", loadLayout, measureLimits},
	{"path", "Compare the path with direct calls and load one entry host", pathLayout, measurePath},
}

func main() {
	root := &cobra.Command{Use: "loadtool", Short: "Measure a local system under load", SilenceUsage: true}
	var timeout time.Duration
	root.PersistentFlags().DurationVar(&timeout, "timeout", 2*time.Minute, "time for one scenario")
	for _, sc := range scenarios {
		root.AddCommand(&cobra.Command{
			Use: sc.name, Short: sc.short, Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				return sc.start(ctx)
			},
		})
	}
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func (sc *scenario) start(ctx context.Context) error {
	return local.WithSystem(sc.layout, func(s *local.System) error { return sc.prepareAndRun(ctx, s) })
}

func (sc *scenario) prepareAndRun(ctx context.Context, s *local.System) error {
	if err := s.Prepare(ctx, document()); err != nil {
		return err
	}
	fmt.Printf("## %s\n\n", sc.name)
	return sc.run(ctx, s)
}
