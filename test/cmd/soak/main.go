// Command soak runs whole systems of real processes on loopback under seeded series of faults,
// one run after the other, and prints which promises of the system were broken.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/soak"
)

// startStopTimeout is the time that a run may take in addition to its fault injection: to start
// the system, to recover and to stop.
const startStopTimeout = 3 * time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// options are the values of the flags.
type options struct {
	seed      uint64
	seeds     int
	size      int
	faultTime time.Duration
	only      []string
	evacuates bool
	keepDir   string
}

func command() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Play seeded faults against whole systems and check their promises",
		Long: `Play seeded faults against whole systems of real processes on loopback, one after the
other, and check their promises by what callers, operators and stand-ins see. Ends with
exit status 1 where a promise was broken.`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), o) },
	}
	flags := cmd.Flags()
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the first run")
	flags.IntVar(&o.seeds, "seeds", 1, "number of runs, each with the next seed")
	flags.IntVar(&o.size, "size", 1, fmt.Sprintf("size of the system, 1 to %d: 21 to 176 processes", soak.MaxSize))
	flags.DurationVar(&o.faultTime, "for", 20*time.Second, "how long faults are played in a run")
	flags.StringSliceVar(&o.only, "only", nil, "kinds of faults to play: kill, terminate, pause, cut, silence, delay, reset, poison, slow-disk (default: all but slow-disk)")
	flags.BoolVar(&o.evacuates, "evacuate", false, "evacuate data centres in series; the system then has two of them")
	flags.StringVar(&o.keepDir, "keep", "", "folder for the logs of runs with a broken promise")
	return cmd
}

// run plays one run for each seed. It returns an error if a promise was broken in any of them.
func run(ctx context.Context, o options) error {
	only, err := parseKinds(o.only)
	if err != nil {
		return err
	}
	if o.size < 1 || o.size > soak.MaxSize {
		return errors.Errorf("--size %d is not from 1 to %d", o.size, soak.MaxSize)
	}
	dir, err := os.MkdirTemp("", "sassafraspost-soak-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin := filepath.Join(dir, "bin")
	if err := local.Build(bin); err != nil {
		return err
	}
	broken := 0
	for n := range o.seeds {
		cfg := soak.Config{Seed: o.seed + uint64(n), Size: o.size, FaultTime: o.faultTime, Evacuates: o.evacuates, OnlyKinds: only, Bin: bin}
		r, err := runSeed(ctx, dir, cfg, o.keepDir)
		if err != nil {
			return errors.Wrapf(err, "seed %d", cfg.Seed)
		}
		r.Write(os.Stdout)
		if len(r.Violations) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return errors.Errorf("promises were broken in %d of %d runs", broken, o.seeds)
	}
	return nil
}

// runSeed plays one run in a folder of its own. If the run failed and keep is set, it copies the
// folder, which holds the logs, to keep. It removes the folder unless the run returned an error.
func runSeed(ctx context.Context, dir string, cfg soak.Config, keep string) (*soak.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.FaultTime+startStopTimeout)
	defer cancel()
	cfg.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", cfg.Seed))
	if err := os.Mkdir(cfg.Dir, 0o700); err != nil {
		return nil, err
	}
	r, err := soak.Run(ctx, cfg)
	if keep != "" && (err != nil || len(r.Violations) > 0) {
		if copyErr := os.CopyFS(filepath.Join(keep, fmt.Sprintf("%s-%d", filepath.Base(cfg.Dir), time.Now().Unix())), os.DirFS(cfg.Dir)); copyErr != nil {
			fmt.Fprintln(os.Stderr, "the logs are not kept:", copyErr)
		}
	}
	if err != nil {
		return nil, err
	}
	return r, os.RemoveAll(cfg.Dir)
}

// parseKinds returns the kinds of faults with these names.
func parseKinds(names []string) ([]soak.Kind, error) {
	var out []soak.Kind
	for _, name := range names {
		k := soak.Kind(name)
		if k != soak.SlowDisk && !slices.Contains(soak.Kinds, k) {
			return nil, errors.Errorf("no kind of fault %q: there are %v and %s", name, soak.Kinds, soak.SlowDisk)
		}
		out = append(out, k)
	}
	return out, nil
}
