// Command emulate asks a question of package emulator: what callers get of a deployment, over
// many seeds, with intervals of 95 %; and, against an earlier answer, what has changed.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/sassafraspost/sassafraspost/internal/emulator"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// options are what the command line says.
type options struct {
	hosts, groups, ranks, slots int
	target, gap, patience       time.Duration
	callers, skew               float64
	length                      time.Duration
	outages                     []string
	seed                        uint64
	seeds, jobs                 int
	output, against             string
}

func command() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "emulate",
		Short: "Play a deployment in virtual time over many seeds",
		Long: `Play a deployment in virtual time over many seeds, around the product's own decisions.

  emulate --callers 2 -o json > before.json
  ... change a decision ...
  emulate --callers 2 --against before.json`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd, &o) },
	}
	fs := cmd.Flags()
	fs.IntVar(&o.hosts, "hosts", 9, "entry hosts")
	fs.IntVar(&o.groups, "groups", 2, "groups of ranks")
	fs.IntVar(&o.ranks, "ranks", 8, "ranks of a group")
	fs.IntVar(&o.slots, "slots", 20, "requests that a rank works on at most")
	fs.DurationVar(&o.target, "target", 500*time.Millisecond, "within what the first event is on time")
	fs.DurationVar(&o.gap, "gap", 80*time.Millisecond, "longest pause between events that is on time")
	fs.DurationVar(&o.patience, "patience", 7500*time.Millisecond, "time that a caller has")
	fs.Float64Var(&o.callers, "callers", 1, "callers, as a part of those that can be served with all places taken")
	fs.Float64Var(&o.skew, "skew", 1, "load of the most loaded rank over the mean one")
	fs.DurationVar(&o.length, "for", 20*time.Second, "for how long callers come")
	fs.StringArrayVar(&o.outages, "outage", nil, "GROUP:FROM-TO, such as 0:5s-7s; may be given again")
	fs.Uint64Var(&o.seed, "seed", 1, "the first seed")
	fs.IntVar(&o.seeds, "seeds", 20, "how many seeds")
	fs.IntVar(&o.jobs, "jobs", runtime.NumCPU(), "seeds that are played at once")
	fs.StringVarP(&o.output, "output", "o", "text", "text or json")
	fs.StringVar(&o.against, "against", "", "file of an earlier answer in JSON, of the same seeds: the differences are told too")
	return cmd
}

func run(cmd *cobra.Command, o *options) error {
	if o.output != "text" && o.output != "json" {
		return errors.Errorf("--output %q is neither text nor json", o.output)
	}
	if o.seeds < 1 || o.jobs < 1 || o.callers <= 0 {
		return errors.New("--seeds, --jobs and --callers have to be above zero")
	}
	before, err := earlier(o)
	if err != nil {
		return err
	}
	all, err := play(cmd.Context(), o)
	if err != nil {
		return err
	}
	if o.output == "json" {
		return errors.Wrap(json.NewEncoder(cmd.OutOrStdout()).Encode(all), "output")
	}
	return write(cmd.OutOrStdout(), all, before)
}

// earlier reads the answer to compare with, nil if there is none.
func earlier(o *options) ([]outcome, error) {
	if o.against == "" {
		return nil, nil
	}
	data, err := os.ReadFile(o.against)
	if err != nil {
		return nil, errors.Wrap(err, "--against")
	}
	var out []outcome
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, errors.Wrapf(err, "--against %s", o.against)
	}
	if len(out) != o.seeds || out[0].Seed != o.seed {
		return nil, errors.Errorf("--against %s: not of the seeds %d to %d", o.against, o.seed, o.seed+uint64(o.seeds)-1)
	}
	return out, nil
}

// play plays all seeds.
func play(ctx context.Context, o *options) ([]outcome, error) {
	cfg, err := o.config()
	if err != nil {
		return nil, err
	}
	out := make([]outcome, o.seeds)
	seeds, ctx := errgroup.WithContext(ctx)
	seeds.SetLimit(o.jobs)
	for n := range o.seeds {
		seeds.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			one := cfg
			one.Seed = o.seed + uint64(n)
			r, err := emulator.Run(one)
			if err != nil {
				return err
			}
			out[n] = outcomeOf(one.Seed, r)
			return nil
		})
	}
	return out, seeds.Wait()
}

// config is the deployment that the command line describes.
func (o *options) config() (emulator.Config, error) {
	cfg := emulator.Config{
		ArrivalPeriod: o.length, Hosts: o.hosts, Groups: o.groups, Ranks: o.ranks, Skew: o.skew,
		Engine: routetable.Engine{
			Slots: o.slots, StepTime: 5 * time.Millisecond, StepTimePerRequest: 500 * time.Microsecond, StepsPerPass: 4,
			MeanPromptTokens: 200, MeanAnswerTokens: 128, PrefillRate: 10_000,
			Experts: routetable.Experts{LayerSetCount: 1, ExpertsPerSet: 16, Slots: 4, WorkShare: 0.5},
		},
		Target: o.target, MaxEventGap: o.gap, CallerTimeout: o.patience,
		RetryBudget: retrybudget.Params{Ratio: 0.2, Extra: 10, Window: 10 * time.Second},
	}
	places := schedule.ConcurrencyLimit(&cfg.Engine, o.gap)
	rate := o.callers * float64(o.groups*o.ranks*places) / schedule.ServiceTime(&cfg.Engine, places).Seconds()
	cfg.ArrivalRate = func(time.Duration) float64 { return rate }
	for _, text := range o.outages {
		outage, err := parseOutage(text)
		if err != nil {
			return cfg, err
		}
		cfg.Outages = append(cfg.Outages, outage)
	}
	return cfg, nil
}

// parseOutage reads GROUP:FROM-TO.
func parseOutage(text string) (emulator.Outage, error) {
	group, span, _ := strings.Cut(text, ":")
	from, to, _ := strings.Cut(span, "-")
	n, err := strconv.Atoi(group)
	begin, err1 := time.ParseDuration(from)
	end, err2 := time.ParseDuration(to)
	if err != nil || err1 != nil || err2 != nil {
		return emulator.Outage{}, errors.Errorf("--outage %q is not of the form 0:5s-7s", text)
	}
	return emulator.Outage{Group: n, From: begin, To: end}, nil
}
