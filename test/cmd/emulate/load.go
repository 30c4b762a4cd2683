package main

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"

	"github.com/sassafraspost/sassafraspost/internal/emulator"
)

// loadOptions are the values of the flags that describe how arrivals change over time.
type loadOptions struct {
	swing           float64
	period          time.Duration
	classes, bursts []string
	planReturns     bool
}

func (o *loadOptions) addFlags(fs *pflag.FlagSet) {
	fs.Float64Var(&o.swing, "swing", 0, "amplitude of periodic arrivals, as a part of their mean rate")
	fs.BoolVar(&o.planReturns, "plan-returns", false, "hosts plan the returns of refused callers")
	fs.DurationVar(&o.period, "period", 0, "period of periodic arrivals; 0 means a steady rate")
	fs.StringArrayVar(&o.classes, "class", nil, "PRIORITY:TARGET=SHARE, such as 2:1s=0.3, SHARE of all arrivals; may be given again")
	fs.StringArrayVar(&o.bursts, "burst", nil, "PRIORITY:FROM-TO=FACTOR, such as 2:5s-11s=2.4; may be given again")
}

// burst is a period in which the callers of one priority arrive at factor times their usual rate.
type burst struct {
	priority int
	from, to time.Duration
	factor   float64
}

// apply sets the arrivals and phases of a simulation to those that the flags describe. The mean
// rate of all callers is given in callers per second. The outages must be set already.
func (o *loadOptions) apply(cfg *emulator.Config, rate float64) error {
	if o.swing < 0 || o.swing > 1 || o.period < 0 || o.swing > 0 && o.period == 0 {
		return errors.New("--swing has to be from 0 to 1, and needs a --period above zero")
	}
	bursts, err := o.parseBursts()
	if err != nil {
		return err
	}
	cfg.PlanReturns = o.planReturns
	cfg.ArrivalRate = o.arrivals(rate, 0, bursts)
	for _, text := range o.classes {
		class, share, err := parseClass(text)
		if err != nil {
			return err
		}
		class.ArrivalRate = o.arrivals(rate*share, class.Priority, bursts)
		cfg.Classes = append(cfg.Classes, class)
	}
	cfg.Phase = o.phases(cfg, bursts)
	return nil
}

// arrivals returns the arrival rate of a class with the given mean rate.
func (o *loadOptions) arrivals(mean float64, priority int, bursts []burst) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		rate := mean * (1 + o.swing*o.wave(at))
		for _, b := range bursts {
			if b.priority == priority && b.from <= at && at < b.to {
				rate *= b.factor
			}
		}
		return rate
	}
}

// wave returns the deviation of a periodic load from its mean, from -1 to 1.
func (o *loadOptions) wave(at time.Duration) float64 {
	if o.period == 0 {
		return 0
	}
	return math.Sin(2 * math.Pi * at.Seconds() / o.period.Seconds())
}

// phases returns the function that names the phase of the load. The phase after an outage or a
// burst lasts for as long as callers that arrived in it may still be waiting or returning.
func (o *loadOptions) phases(cfg *emulator.Config, bursts []burst) func(time.Duration) string {
	outages, callerTimeout := cfg.Outages, cfg.CallerTimeout
	return func(at time.Duration) string {
		phase := ""
		switch wave := o.wave(at); {
		case wave > 0:
			phase = "peak"
		case wave < 0:
			phase = "trough"
		}
		for _, b := range bursts {
			phase = phaseWithin(phase, "burst", at, b.from, b.to, callerTimeout)
		}
		for _, out := range outages {
			phase = phaseWithin(phase, "outage", at, out.From, out.To, callerTimeout)
		}
		return phase
	}
}

// phaseWithin returns name during a period, "after" and name for some time after it, and
// otherwise the given phase.
func phaseWithin(otherwise, name string, at, from, to, after time.Duration) string {
	switch {
	case from <= at && at < to:
		return name
	case to <= at && at < to+after:
		return "after " + name
	}
	return otherwise
}

// parseClass parses a class of the form PRIORITY:TARGET=SHARE.
func parseClass(text string) (class emulator.Class, share float64, err error) {
	left, shareText, _ := strings.Cut(text, "=")
	priority, target, _ := strings.Cut(left, ":")
	var err1, err2 error
	class.Priority, err = strconv.Atoi(priority)
	class.Target, err1 = time.ParseDuration(target)
	share, err2 = strconv.ParseFloat(shareText, 64)
	if err != nil || err1 != nil || err2 != nil || share <= 0 {
		return class, 0, errors.Errorf("--class %q is not of the form 2:1s=0.3", text)
	}
	return class, share, nil
}

func (o *loadOptions) parseBursts() ([]burst, error) {
	var out []burst
	for _, text := range o.bursts {
		left, factor, _ := strings.Cut(text, "=")
		priority, span, _ := strings.Cut(left, ":")
		from, to, _ := strings.Cut(span, "-")
		p, err := strconv.Atoi(priority)
		begin, err1 := time.ParseDuration(from)
		end, err2 := time.ParseDuration(to)
		f, err3 := strconv.ParseFloat(factor, 64)
		if err != nil || err1 != nil || err2 != nil || err3 != nil || f <= 0 || end <= begin {
			return nil, errors.Errorf("--burst %q is not of the form 2:5s-11s=2.4", text)
		}
		out = append(out, burst{priority: p, from: begin, to: end, factor: f})
	}
	return out, nil
}
