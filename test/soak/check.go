package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// totalExecutions returns the sum of the executions and crashes that all stand-ins counted.
func totalExecutions(ctx context.Context, s *local.System) (standin.Report, error) {
	total := standin.Report{ByRequest: map[string]standin.Executions{}, ByKey: map[string]standin.Executions{}, Crashes: map[string]int{}}
	for _, a := range s.Agents {
		if a.Upstream.Name == groupStandIn {
			continue
		}
		report, err := local.Executions(ctx, a.Upstream)
		if err != nil {
			return total, errors.Wrap(err, a.Upstream.Name)
		}
		addExecutions(total.ByRequest, report.ByRequest)
		addExecutions(total.ByKey, report.ByKey)
		for prompt, n := range report.Crashes {
			total.Crashes[prompt] += n
		}
	}
	return total, nil
}

// addExecutions adds the numbers of begun and finished executions in from to those in to.
func addExecutions(to, from map[string]standin.Executions) {
	for id, e := range from {
		sum := to[id]
		sum.Started += e.Started
		sum.Finished += e.Finished
		to[id] = sum
	}
}

// checkExecutions compares the responses that callers got with what the upstreams executed.
func (c *callerPool) checkExecutions(executions standin.Report) {
	for key, e := range executions.ByKey {
		if e.Started > 1 {
			c.r.addViolation(AtMostOnce, "booking %s ran %d times", key, e.Started)
		}
	}
	for key := range c.confirmed {
		if executions.ByKey[key].Finished != 1 {
			c.r.addViolation(CompleteResponse, "booking %s was confirmed and made %d times", key, executions.ByKey[key].Finished)
		}
	}
	for id := range c.notRun {
		if executions.ByRequest[id].Started > 0 || executions.ByKey[id].Started > 0 {
			c.r.addViolation(NotRun, "%s was told not to have run, and ran", id)
		}
	}
	for id, description := range c.interrupted {
		// The request does not count if no upstream began to execute it: it was sent while the
		// process closed the connection, and was never accepted.
		if executions.ByRequest[id].Started > 0 || executions.ByKey[id].Started > 0 {
			c.r.addViolation(Shutdown, "%s was cut without an unplanned fault, %s", id, description)
		}
	}
}

// checkGroupMaps checks that the stand-in group used one expert map in each step, and adds its
// steps and maps to the counts.
func checkGroupMaps(ctx context.Context, s *local.System, r *record) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Agents[0].Upstream.ListenAddress+"/group", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var report standin.GroupReport
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return err
	}
	if report.MixedSteps > 0 {
		r.addViolation(OneMap, "%d of %d steps with two maps", report.MixedSteps, report.Steps)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["steps"], r.counts["maps"] = int(report.Steps), report.Maps
	return nil
}

// checkRecovery checks that, within recoveryTimeout, all entry hosts and engines serve again and
// the newest configuration is in force everywhere.
func checkRecovery(ctx context.Context, s *local.System, r *record) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	start := time.Now()
	if err := s.AwaitServing(ctx); err != nil {
		r.addViolation(Recovery, "%s after the last fault: %v", time.Since(start).Round(time.Millisecond), err)
		return
	}
	if err := s.AwaitInForce(ctx); err != nil {
		r.addViolation(Configuration, "the newest configuration is not in force everywhere %s after the last fault: %v",
			time.Since(start).Round(time.Millisecond), err)
	}
}
