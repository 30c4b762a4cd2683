package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// requestTimeout limits one request of a caller, without its retries.
const requestTimeout = 15 * time.Second

// sentRequest is one request of a caller and its response.
type sentRequest struct {
	key, id  string
	isKeyed  bool
	response local.Response
	replayed bool
}

// requestLog records all requests of a test, so that their verdicts can be compared with what the
// stand-ins have executed.
type requestLog struct {
	s *system

	mu       sync.Mutex
	requests []sentRequest
}

// send sends a request with a new request id to an address and records it.
func (l *requestLog) send(address string, q local.Request) local.Response {
	ctx, cancel := context.WithTimeout(l.s.ctx, requestTimeout)
	defer cancel()
	return l.sendWithContext(ctx, address, q)
}

// sendWithContext is send with a context in place of the timeout.
func (l *requestLog) sendWithContext(ctx context.Context, address string, q local.Request) local.Response {
	l.mu.Lock()
	q.ID = fmt.Sprintf("sending-%d", len(l.requests))
	n := len(l.requests)
	l.requests = append(l.requests, sentRequest{key: q.Key, id: q.ID, isKeyed: q.Key != ""})
	l.mu.Unlock()
	a := local.Do(ctx, address, q)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[n].response = a
	l.requests[n].replayed = a.Header.Get("Idempotency-Replayed") != ""
	return a
}

// executions returns the summed counts of all stand-ins, by request id and by idempotency key.
func (s *system) executions() standin.Report {
	sum := standin.Report{ByRequest: map[string]standin.Executions{}, ByKey: map[string]standin.Executions{}}
	for _, h := range s.StandIns {
		r, err := local.Executions(s.ctx, h)
		require.NoError(s.t, err)
		add(sum.ByRequest, r.ByRequest)
		add(sum.ByKey, r.ByKey)
	}
	return sum
}

// add adds the counts of one stand-in to sum.
func add(sum, more map[string]standin.Executions) {
	for name, e := range more {
		t := sum[name]
		t.Started += e.Started
		t.Finished += e.Finished
		t.Cancelled += e.Cancelled
		sum[name] = t
	}
}

// verdictCounts counts requests by the verdict that callers got.
type verdictCounts struct{ ran, replayed, notRun, mayHaveRun, noResponse int }

// checkVerdicts compares every verdict with the executions: a request with the verdict not-run was
// never started, one with the verdict ran was, and no key was started twice.
func (l *requestLog) checkVerdicts() verdictCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	executed := l.s.executions()
	var counts verdictCounts
	for key, e := range executed.ByKey {
		require.LessOrEqual(l.s.t, e.Started, 1, "key %s ran more than once", key)
	}
	for _, sent := range l.requests {
		started := executed.ByRequest[sent.id].Started
		switch {
		case sent.response.Status == 0:
			counts.noResponse++
		case sent.replayed:
			counts.replayed++
			require.Equal(l.s.t, 1, executed.ByKey[sent.key].Started, "%s was replayed", sent.key)
		case sent.response.Verdict == verdict.NotRun:
			counts.notRun++
			require.Zero(l.s.t, started, "%s of key %q has the verdict not-run", sent.id, sent.key)
		case sent.response.Verdict == verdict.Ran && sent.isKeyed && sent.response.Status >= http.StatusBadRequest:
			require.Equal(l.s.t, 1, executed.ByKey[sent.key].Started)
		case sent.response.Verdict == verdict.Ran:
			counts.ran++
			require.Positive(l.s.t, started, "%s has the verdict ran", sent.id)
		default:
			counts.mayHaveRun++
		}
	}
	return counts
}

// counter reads one counter from a host's metrics, -1 if it can't.
func (s *system) counter(h *local.Host, name string) int {
	resp, err := http.Get("http://" + h.MetricsAddress + "/metrics")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for line := range strings.SplitSeq(string(text), "\n") {
		var n int
		if _, err := fmt.Sscanf(line, "sassafraspost_"+name+" %d", &n); err == nil {
			return n
		}
	}
	return -1
}

// Every verdict must agree with what the upstreams executed, for refusals of each kind. The test
// fails if, for example, an agent with a full queue refuses a request that its upstream already has,
// or if a request on a lost session counts as not run.
func TestVerdictsAgreeWithExecutions(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{
		Control: 1, Entries: 2, Engines: 2, Services: 1, HasProxies: true,
		EngineArgs: []string{"--step", "5ms"}, ServiceArgs: []string{"--delay", "50ms"},
	})
	l := &requestLog{s: s}
	startCallers := func(n, tokens int) *sync.WaitGroup {
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				e := s.Entries[i%len(s.Entries)]
				l.send(e.ListenAddress, local.CompletionRequest(fmt.Sprintf("crowd of %d, caller %d", n, i), tokens, i%2 == 0))
			})
			wg.Go(func() {
				q := local.BookingRequest(fmt.Sprintf("crowd-%d-%d-%d", n, tokens, i/2), fmt.Sprint("rider ", i/2))
				l.send(s.Entries[i%len(s.Entries)].ListenAddress, q)
			})
		}
		return &wg
	}
	for _, e := range s.Entries {
		l.send(e.ListenAddress, local.BookingRequest("sent-twice", "one rider"))
	}
	// More requests than slots and queues take, so that some are refused.
	startCallers(300, 20).Wait()
	// Upstreams close connections, refuse requests and truncate responses.
	for _, mode := range []standin.Mode{standin.Die, standin.Refuse, standin.Truncate} {
		for _, h := range s.StandIns {
			require.NoError(t, local.InjectFailure(s.ctx, h, standin.Failure{Mode: mode, After: 3, Times: 10}))
		}
		startCallers(20, 8).Wait()
	}
	// Links are cut while requests run.
	startedByEngines := func() int { return s.startedRequests(s.Agents[0]) + s.startedRequests(s.Agents[1]) }
	startedBefore := startedByEngines()
	wg := startCallers(60, 40)
	s.await("work in progress", func() bool { return startedByEngines() > startedBefore })
	for _, a := range s.Agents {
		s.Cut(a)
	}
	wg.Wait()
	startCallers(10, 7).Wait()
	for _, a := range s.Agents {
		s.Heal(a)
	}
	// Agents shut down until no upstream is left.
	s.await("links", func() bool {
		return local.Do(s.ctx, s.Entries[0].ListenAddress, local.CompletionRequest("links", 1, false)).Status == http.StatusOK
	})
	wg = startCallers(60, 30)
	for _, a := range s.Agents {
		a.Terminate()
	}
	wg.Wait()
	for _, a := range s.Agents {
		s.await("the end of "+a.Name, func() bool { return !a.IsRunning() })
	}
	startCallers(10, 9).Wait()
	counts := l.checkVerdicts()
	t.Logf("%d requests: %+v", len(l.requests), counts)
	require.Positive(t, counts.notRun)
	require.Positive(t, counts.ran)
	require.Positive(t, counts.replayed)
}
