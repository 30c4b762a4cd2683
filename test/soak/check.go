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

// totalExecutions adds up what the stand-ins have carried out.
func totalExecutions(ctx context.Context, s *local.System) (standin.Report, error) {
	all := standin.Report{ByRequest: map[string]standin.Executions{}, ByKey: map[string]standin.Executions{}, Crashes: map[string]int{}}
	for _, a := range s.Agents {
		if a.Upstream.Name == groupStandIn {
			continue
		}
		r, err := local.Executions(ctx, a.Upstream)
		if err != nil {
			return all, errors.Wrap(err, a.Upstream.Name)
		}
		addExecutions(all.ByRequest, r.ByRequest)
		addExecutions(all.ByKey, r.ByKey)
		for prompt, n := range r.Crashes {
			all.Crashes[prompt] += n
		}
	}
	return all, nil
}

func addExecutions(to, from map[string]standin.Executions) {
	for id, e := range from {
		sum := to[id]
		sum.Begun += e.Begun
		sum.Finished += e.Finished
		to[id] = sum
	}
}

// checkExecutions compares what callers were told with what was carried out.
func (c *callerPool) checkExecutions(done standin.Report) {
	for key, e := range done.ByKey {
		if e.Begun > 1 {
			c.r.addViolation(AtMostOnce, "booking %s ran %d times", key, e.Begun)
		}
	}
	for key := range c.confirmed {
		if done.ByKey[key].Finished != 1 {
			c.r.addViolation(CompleteResponse, "booking %s was confirmed and made %d times", key, done.ByKey[key].Finished)
		}
	}
	for id := range c.notRun {
		if done.ByRequest[id].Begun > 0 || done.ByKey[id].Begun > 0 {
			c.r.addViolation(NotRun, "%s was told not to have run, and ran", id)
		}
	}
	for id, how := range c.interrupted {
		// One that crossed the close of its connection was not taken.
		if done.ByRequest[id].Begun > 0 || done.ByKey[id].Begun > 0 {
			c.r.addViolation(Shutdown, "%s was cut without an unplanned fault, %s", id, how)
		}
	}
}

// checkGroupMaps looks at the steps of the stand-in group.
func checkGroupMaps(ctx context.Context, s *local.System, r *record) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Agents[0].Upstream.Listen+"/group", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var g standin.GroupReport
	if err := json.NewDecoder(resp.Body).Decode(&g); err != nil {
		return err
	}
	if g.MixedSteps > 0 {
		r.addViolation(OneMap, "%d of %d steps with two maps", g.MixedSteps, g.Steps)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["steps"], r.counts["maps"] = int(g.Steps), g.Maps
	return nil
}

// checkRecovery waits until everything is served again.
func checkRecovery(ctx context.Context, s *local.System, r *record) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	began := time.Now()
	if err := s.AwaitServing(ctx); err != nil {
		r.addViolation(Recovery, "%s after the last fault: %v", time.Since(began).Round(time.Millisecond), err)
		return
	}
	if err := s.AwaitInForce(ctx); err != nil {
		r.addViolation(Configuration, "the newest configuration is not in force everywhere %s after the last fault: %v",
			time.Since(began).Round(time.Millisecond), err)
	}
}
