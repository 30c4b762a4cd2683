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

// executed adds up what the stand-ins have carried out.
func executed(ctx context.Context, s *local.System) (standin.Report, error) {
	all := standin.Report{ByRequest: map[string]standin.Executions{}, ByKey: map[string]standin.Executions{}, Ends: map[string]int{}}
	for _, a := range s.Agents {
		if a.Upstream.Name == groupStandIn {
			continue
		}
		r, err := local.Executions(ctx, a.Upstream)
		if err != nil {
			return all, errors.Wrap(err, a.Upstream.Name)
		}
		add(all.ByRequest, r.ByRequest)
		add(all.ByKey, r.ByKey)
		for prompt, n := range r.Ends {
			all.Ends[prompt] += n
		}
	}
	return all, nil
}

func add(to, from map[string]standin.Executions) {
	for id, e := range from {
		sum := to[id]
		sum.Started += e.Started
		sum.Finished += e.Finished
		to[id] = sum
	}
}

// checkExecutions compares what callers were told with what was carried out.
func (c *callers) checkExecutions(done standin.Report) {
	for key, e := range done.ByKey {
		if e.Started > 1 {
			c.r.fail(Once, "booking %s ran %d times", key, e.Started)
		}
	}
	for key := range c.booked {
		if done.ByKey[key].Finished != 1 {
			c.r.fail(Whole, "booking %s was confirmed and made %d times", key, done.ByKey[key].Finished)
		}
	}
	for id := range c.refused {
		if done.ByRequest[id].Started > 0 || done.ByKey[id].Started > 0 {
			c.r.fail(NotRun, "%s was told not to have run, and ran", id)
		}
	}
	for id, how := range c.lost {
		// One that crossed the close of its connection was not taken.
		if done.ByRequest[id].Started > 0 || done.ByKey[id].Started > 0 {
			c.r.fail(Shutdown, "%s was cut without an unplanned fault, %s", id, how)
		}
	}
}

// checkGroup looks at the steps of the stand-in group.
func checkGroup(ctx context.Context, s *local.System, r *record) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Agents[0].Upstream.ListenAddress+"/group", nil)
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
	if g.Mixed > 0 {
		r.fail(OneMap, "%d of %d steps with two maps", g.Mixed, g.Steps)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["steps"], r.counts["maps"] = int(g.Steps), g.Maps
	return nil
}

// checkRecovery waits until everything is served again.
func checkRecovery(ctx context.Context, s *local.System, r *record) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTime)
	defer cancel()
	began := time.Now()
	if err := s.AwaitServing(ctx); err != nil {
		r.fail(Recovery, "%s after the last fault: %v", time.Since(began).Round(time.Millisecond), err)
		return
	}
	if err := s.AwaitInForce(ctx); err != nil {
		r.fail(Configuration, "the newest configuration is not in force everywhere %s after the last fault: %v",
			time.Since(began).Round(time.Millisecond), err)
	}
}
