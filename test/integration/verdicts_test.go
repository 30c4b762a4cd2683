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

// requestTimeout bounds one sending of a caller.
const requestTimeout = 15 * time.Second

// sentRequest is one request of a caller and what came back.
type sentRequest struct {
	key, id  string
	isKeyed  bool
	response local.Response
	replayed bool
}

// requestLog holds all sendings of a test, to be held against what was executed.
type requestLog struct {
	s *system

	mu       sync.Mutex
	requests []sentRequest
}

// send gives the request an id of its own and sends it to an address.
func (l *requestLog) send(address string, q local.Request) local.Response {
	ctx, cancel := context.WithTimeout(l.s.ctx, requestTimeout)
	defer cancel()
	return l.sendWithContext(ctx, address, q)
}

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

// executions sums what all stand-ins have done.
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

func add(sum, more map[string]standin.Executions) {
	for name, e := range more {
		t := sum[name]
		t.Begun += e.Begun
		t.Finished += e.Finished
		t.Cancelled += e.Cancelled
		sum[name] = t
	}
}

// verdictCounts counts the verdicts that callers saw.
type verdictCounts struct{ ran, replayed, notRun, mayHaveRun, noResponse int }

// checkVerdicts holds every verdict against the executions: what is called not run was not
// begun, what ran was, and no key was begun twice.
func (l *requestLog) checkVerdicts() verdictCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := l.s.executions()
	var count verdictCounts
	for key, e := range done.ByKey {
		require.LessOrEqual(l.s.t, e.Begun, 1, "key %s ran more than once", key)
	}
	for _, x := range l.requests {
		begun := done.ByRequest[x.id].Begun
		switch {
		case x.response.Status == 0:
			count.noResponse++
		case x.replayed:
			count.replayed++
			require.Equal(l.s.t, 1, done.ByKey[x.key].Begun, "%s was replayed", x.key)
		case x.response.Verdict == verdict.NotRun:
			count.notRun++
			require.Zero(l.s.t, begun, "%s of key %q was called not run", x.id, x.key)
		case x.response.Verdict == verdict.Ran && x.isKeyed && x.response.Status >= http.StatusBadRequest:
			require.Equal(l.s.t, 1, done.ByKey[x.key].Begun)
		case x.response.Verdict == verdict.Ran:
			count.ran++
			require.Positive(l.s.t, begun, "%s was called run", x.id)
		default:
			count.mayHaveRun++
		}
	}
	return count
}

// counter reads one counter of a host.
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

// Every verdict agrees with what the upstreams did, over refusals of each kind.
// Where the agent's refusals of a full queue came after the upstream had the
// request, or a lost session counted as not run, this would fail.
func TestVerdictsAgreeWithExecutions(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{
		Control: 1, Entries: 2, Engines: 2, Services: 1, HasProxies: true,
		EngineArgs: []string{"--step", "5ms"}, ServiceArgs: []string{"--delay", "50ms"},
	})
	l := &requestLog{s: s}
	crowd := func(n, tokens int) *sync.WaitGroup {
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				e := s.Entries[i%len(s.Entries)]
				l.send(e.ListenAddress, local.Completion(fmt.Sprintf("crowd of %d, caller %d", n, i), tokens, i%2 == 0))
			})
			wg.Go(func() {
				q := local.Booking(fmt.Sprintf("crowd-%d-%d-%d", n, tokens, i/2), fmt.Sprint("rider ", i/2))
				l.send(s.Entries[i%len(s.Entries)].ListenAddress, q)
			})
		}
		return &wg
	}
	for _, e := range s.Entries {
		l.send(e.ListenAddress, local.Booking("sent-twice", "one rider"))
	}
	// More than capacity and queues hold.
	crowd(300, 20).Wait()
	// Upstreams that die, refuse and truncate.
	for _, mode := range []standin.Mode{standin.Die, standin.Refuse, standin.Truncate} {
		for _, h := range s.StandIns {
			require.NoError(t, local.InjectFailure(s.ctx, h, standin.Failure{Mode: mode, After: 3, Times: 10}))
		}
		crowd(20, 8).Wait()
	}
	// Links that are cut in the middle.
	engines := func() int { return s.startedRequests(s.Agents[0]) + s.startedRequests(s.Agents[1]) }
	begun := engines()
	wg := crowd(60, 40)
	s.await("work in progress", func() bool { return engines() > begun })
	for _, a := range s.Agents {
		s.Cut(a)
	}
	wg.Wait()
	crowd(10, 7).Wait()
	for _, a := range s.Agents {
		s.Heal(a)
	}
	// Agents that leave, until no upstream is left.
	s.await("links", func() bool {
		return local.Do(s.ctx, s.Entries[0].ListenAddress, local.Completion("links", 1, false)).Status == http.StatusOK
	})
	wg = crowd(60, 30)
	for _, a := range s.Agents {
		a.Terminate()
	}
	wg.Wait()
	for _, a := range s.Agents {
		s.await("the end of "+a.Name, func() bool { return !a.IsRunning() })
	}
	crowd(10, 9).Wait()
	count := l.checkVerdicts()
	t.Logf("%d sendings: %+v", len(l.requests), count)
	require.Positive(t, count.notRun)
	require.Positive(t, count.ran)
	require.Positive(t, count.replayed)
}
