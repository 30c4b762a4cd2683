// Command emulate simulates a deployment with package emulator over many seeds. It prints what
// callers get, as means with 95 % confidence intervals, and optionally the differences to an
// earlier output of the command.
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
	"github.com/spf13/pflag"
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

// options are the values of the flags.
type options struct {
	hosts, groups, ranks, slots int
	target, gap, callerTimeout  time.Duration
	callers, rate, skew         float64
	length, silence             time.Duration
	reportDelay                 time.Duration
	engine                      engineOptions
	outages, skewPeriods        []string
	load                        loadOptions
	seed                        uint64
	seeds, jobs                 int
	output, baselineFile        string
}

// engineOptions are the values of the flags that describe an engine.
type engineOptions struct {
	step, perRequest      time.Duration
	stride                int
	prompt, answer, reads float64
	expertWork            float64
}

func (e *engineOptions) addFlags(fs *pflag.FlagSet) {
	fs.DurationVar(&e.step, "step", 5*time.Millisecond, "time of a step without requests")
	fs.DurationVar(&e.perRequest, "per-request", 500*time.Microsecond, "time that each request adds to a step")
	fs.IntVar(&e.stride, "stride", 4, "steps of a pass")
	fs.Float64Var(&e.prompt, "prompt", 200, "tokens of a prompt")
	fs.Float64Var(&e.answer, "answer", 128, "tokens of an answer")
	fs.Float64Var(&e.reads, "prefill", 10_000, "tokens of prompts that are read in a second")
	fs.Float64Var(&e.expertWork, "expert-work", 0.5, "part of the work that experts do")
}

// engine returns the engine that the flags describe.
func (e *engineOptions) engine(slots int) routetable.Engine {
	return routetable.Engine{
		Slots: slots, StepTime: e.step, StepTimePerRequest: e.perRequest, StepsPerPass: e.stride,
		MeanPromptTokens: e.prompt, MeanAnswerTokens: e.answer, PrefillRate: e.reads,
		Experts: routetable.Experts{LayerSetCount: 1, ExpertsPerSet: 16, Slots: 4, WorkShare: e.expertWork},
	}
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
	fs.DurationVar(&o.callerTimeout, "patience", 7500*time.Millisecond, "time that a caller has")
	fs.Float64Var(&o.callers, "callers", 1, "callers, as a part of those that can be served with all places taken")
	fs.Float64Var(&o.rate, "rate", 0, "callers a second, in place of --callers")
	fs.DurationVar(&o.silence, "silence", 0, "time without an event after which a caller leaves; 0 means never")
	fs.DurationVar(&o.reportDelay, "report-delay", emulator.DefaultReportDelay, "age of a load report when it reaches the hosts")
	o.engine.addFlags(fs)
	fs.StringArrayVar(&o.skewPeriods, "skew-period", nil, "FROM-TO=SKEW, such as 7s-8s=2.9; may be given again")
	fs.Float64Var(&o.skew, "skew", 1, "load of the most loaded rank over the mean one")
	fs.DurationVar(&o.length, "for", 20*time.Second, "for how long callers come")
	fs.StringArrayVar(&o.outages, "outage", nil, "GROUP:FROM-TO, such as 0:5s-7s; may be given again")
	o.load.addFlags(fs)
	fs.Uint64Var(&o.seed, "seed", 1, "the first seed")
	fs.IntVar(&o.seeds, "seeds", 20, "how many seeds")
	fs.IntVar(&o.jobs, "jobs", runtime.NumCPU(), "seeds that are played at once")
	fs.StringVarP(&o.output, "output", "o", "text", "text or json")
	fs.StringVar(&o.baselineFile, "against", "", "file of an earlier answer in JSON, of the same seeds: the differences are told too")
	return cmd
}

func run(cmd *cobra.Command, o *options) error {
	if o.output != "text" && o.output != "json" {
		return errors.Errorf("--output %q is neither text nor json", o.output)
	}
	if o.seeds < 1 || o.jobs < 1 || o.callers <= 0 {
		return errors.New("--seeds, --jobs and --callers have to be above zero")
	}
	before, err := readBaseline(o)
	if err != nil {
		return err
	}
	all, err := runSeeds(cmd.Context(), o)
	if err != nil {
		return err
	}
	if o.output == "json" {
		return errors.Wrap(json.NewEncoder(cmd.OutOrStdout()).Encode(all), "output")
	}
	return writeTable(cmd.OutOrStdout(), all, before)
}

// readBaseline reads the earlier output to compare with. It returns nil if the flag is not set.
func readBaseline(o *options) ([]outcome, error) {
	if o.baselineFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(o.baselineFile)
	if err != nil {
		return nil, errors.Wrap(err, "--against")
	}
	var out []outcome
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, errors.Wrapf(err, "--against %s", o.baselineFile)
	}
	if len(out) != o.seeds || out[0].Seed != o.seed {
		return nil, errors.Errorf("--against %s: not of the seeds %d to %d", o.baselineFile, o.seed, o.seed+uint64(o.seeds)-1)
	}
	return out, nil
}

// runSeeds simulates all seeds, several of them in parallel, and returns their outcomes by seed.
func runSeeds(ctx context.Context, o *options) ([]outcome, error) {
	cfg, err := o.config()
	if err != nil {
		return nil, err
	}
	outcomes := make([]outcome, o.seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(o.jobs)
	for n := range o.seeds {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			seedConfig := cfg
			seedConfig.Seed = o.seed + uint64(n)
			report, err := emulator.Run(seedConfig)
			if err != nil {
				return err
			}
			outcomes[n] = outcomeOf(seedConfig.Seed, report)
			return nil
		})
	}
	return outcomes, group.Wait()
}

// config returns the deployment that the flags describe.
func (o *options) config() (emulator.Config, error) {
	cfg := emulator.Config{
		ArrivalPeriod: o.length, Hosts: o.hosts, Groups: o.groups, Ranks: o.ranks, Skew: o.skew,
		Engine: o.engine.engine(o.slots),
		Target: o.target, MaxEventGap: o.gap, CallerTimeout: o.callerTimeout, SilenceTimeout: o.silence, ReportDelay: o.reportDelay,
		RetryBudget: retrybudget.Params{Ratio: 0.2, Extra: 10, Window: 10 * time.Second},
	}
	concurrency := schedule.ConcurrencyLimit(&cfg.Engine, o.gap)
	rate := o.callers * float64(o.groups*o.ranks*concurrency) / schedule.ServiceTime(&cfg.Engine, concurrency).Seconds()
	if o.rate > 0 {
		rate = o.rate
	}
	for _, text := range o.outages {
		outage, err := parseOutage(text)
		if err != nil {
			return cfg, err
		}
		cfg.Outages = append(cfg.Outages, outage)
	}
	for _, text := range o.skewPeriods {
		period, err := parseSkewPeriod(text)
		if err != nil {
			return cfg, err
		}
		cfg.SkewPeriods = append(cfg.SkewPeriods, period)
	}
	return cfg, o.load.apply(&cfg, rate)
}

// parseSkewPeriod parses a period of the form FROM-TO=SKEW.
func parseSkewPeriod(text string) (emulator.SkewPeriod, error) {
	span, skew, _ := strings.Cut(text, "=")
	from, to, _ := strings.Cut(span, "-")
	n, err := strconv.ParseFloat(skew, 64)
	begin, err1 := time.ParseDuration(from)
	end, err2 := time.ParseDuration(to)
	if err != nil || err1 != nil || err2 != nil {
		return emulator.SkewPeriod{}, errors.Errorf("--skew-period %q is not of the form 7s-8s=2.9", text)
	}
	return emulator.SkewPeriod{From: begin, To: end, Skew: n}, nil
}

// parseOutage parses an outage of the form GROUP:FROM-TO.
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
