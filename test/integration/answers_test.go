package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/faultproxy"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

const (
	scramblerSeed         = 20260722
	completionCallerCount = 24
	completionTokens      = 60
	// responsesPerFault is how many answers come whole under each fault.
	responsesPerFault = 60
)

// completionCallers is a crowd of callers with prompts of their own.
type completionCallers struct {
	s    *system
	stop chan struct{}
	wg   sync.WaitGroup
	// whole, broken and refused count the ends of answers.
	complete, brokenOff, refused atomic.Int64

	mu         sync.Mutex
	unexpected []string
}

func (s *system) startCompletionCallers() *completionCallers {
	a := &completionCallers{s: s, stop: make(chan struct{})}
	for i := range completionCallerCount {
		a.wg.Go(func() { a.run(i) })
	}
	return a
}

func (a *completionCallers) run(caller int) {
	for n := 0; ; n++ {
		select {
		case <-a.stop:
			return
		default:
		}
		prompt := fmt.Sprintf("caller %d asks %d", caller, n)
		ctx, cancel := context.WithTimeout(a.s.ctx, requestTimeout)
		e := a.s.Entries[(caller+n)%len(a.s.Entries)]
		isStream := n%3 != 0
		a.check(prompt, isStream, local.Do(ctx, e.ListenAddress, local.Completion(prompt, completionTokens, isStream)))
		cancel()
	}
}

// check notes every end that is neither the whole answer to the own prompt nor a
// clear error. What came of an answer that broke off must be its beginning.
func (a *completionCallers) check(prompt string, isStream bool, got local.Response) {
	want := strings.Join(standin.Stream(prompt, completionTokens), "")
	if !isStream {
		want = `{"choices":[{"index":0,"text":"` + standin.Text(prompt, completionTokens) + "\"}]}\n"
	}
	switch {
	case got.Err == nil && got.Status == http.StatusOK && got.Body == want:
		a.complete.Add(1)
	case got.Err != nil && got.Status == http.StatusOK && strings.HasPrefix(want, got.Body):
		a.brokenOff.Add(1)
	case got.Err != nil && got.Status == 0:
		a.brokenOff.Add(1)
	case got.Err == nil && got.Header.Get("Content-Type") == entry.ProblemType && got.Header.Get(verdict.Header) != "":
		a.refused.Add(1)
	default:
		a.mu.Lock()
		defer a.mu.Unlock()
		a.unexpected = append(a.unexpected, fmt.Sprintf("%s: %d %v %.300q", prompt, got.Status, got.Err, got.Body))
	}
}

// awaitProgress waits for more whole answers.
func (a *completionCallers) awaitProgress(under string) {
	a.s.t.Helper()
	from := a.complete.Load()
	a.s.await("answers under "+under, func() bool { return a.complete.Load() >= from+responsesPerFault })
}

// messageScrambler crosses, repeats and drops messages of answers, and repeats dispatches.
// What is kept back comes out later, and maybe on another session.
type messageScrambler struct {
	mu      sync.Mutex
	r       *rand.Rand
	delayed [][]byte
	// crossed, repeated and dropped count what was done.
	reordered, duplicated, dropped int
}

func (d *messageScrambler) rewrite(_ faultproxy.Direction, message []byte) [][]byte {
	_, m, err := wire.Decode(message)
	if err != nil {
		return [][]byte{message}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch m.(type) {
	case *wire.Head, *wire.Frame, *wire.End, *wire.Refused:
		return d.scramble(message)
	case *wire.Dispatch:
		return [][]byte{message, message}
	}
	return [][]byte{message}
}

// scramble requires mu.
func (d *messageScrambler) scramble(message []byte) [][]byte {
	switch n := d.r.IntN(1000); {
	case n < 2:
		d.dropped++
		return nil
	case n < 5 && len(d.delayed) < 8:
		d.delayed = append(d.delayed, message)
		return nil
	case n < 12 && len(d.delayed) > 0:
		old := d.delayed[0]
		d.delayed = d.delayed[1:]
		d.reordered++
		return [][]byte{message, old}
	case n < 100:
		d.duplicated++
		return [][]byte{message, message}
	}
	return [][]byte{message}
}

// Whatever fails between callers and engines, an answer that ends well is the whole
// answer to its own prompt, and every other one ends in a clear error.
func TestResponsesAreCompleteAndMatchTheirPrompts(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{
		Control: 1, Entries: 2, Engines: 3, HasProxies: true, HasMessageProxies: true,
		EngineArgs: []string{"--step", "2ms"},
	})
	out, err := s.Submit(s.ctx, strings.Replace(local.Document("v1"), "deadline = 20s", "deadline = 6s", 1))
	require.NoError(t, err, out)
	require.NoError(t, s.AwaitInForce(s.ctx))
	a := s.startCompletionCallers()
	a.awaitProgress("nothing")
	for _, mode := range []standin.Mode{standin.Die, standin.Truncate} {
		for i, h := range s.StandIns {
			require.NoError(t, local.InjectFailure(s.ctx, h, standin.Failure{Mode: mode, After: 10 * (i + 1), Times: 20}))
		}
		a.awaitProgress(string(mode))
	}
	s.Agents[0].Kill()
	a.awaitProgress("a killed agent")
	require.NoError(t, s.Agents[0].Start())
	s.Cut(s.Agents[1])
	a.awaitProgress("a cut link")
	s.Heal(s.Agents[1])
	s.FreezeLinks(s.Agents[2])
	a.awaitProgress("a frozen link")
	s.Heal(s.Agents[2])
	s.Agents[2].Freeze()
	a.awaitProgress("a frozen agent")
	s.Agents[2].Thaw()
	d := &messageScrambler{r: rand.New(rand.NewPCG(scramblerSeed, 0))}
	s.SetRewrite(d.rewrite)
	a.awaitProgress("messages in disorder")
	a.awaitProgress("messages in disorder")
	close(a.stop)
	a.wg.Wait()
	require.Empty(t, a.unexpected)
	resumed := s.counter(s.Entries[0], "entry_resumed") + s.counter(s.Entries[1], "entry_resumed")
	require.Positive(t, resumed)
	require.Positive(t, d.reordered)
	require.Positive(t, d.dropped)
	t.Logf("%d whole, %d broken off, %d refused, %d resumed; %d messages crossed, %d repeated, %d dropped",
		a.complete.Load(), a.brokenOff.Load(), a.refused.Load(), resumed, d.reordered, d.duplicated, d.dropped)
}

// The engine's work for a caller that goes away is cancelled. Without the Cancel of
// attempt.run this fails: the engine works on to the end.
func TestWorkOfDisconnectedCallersIsCancelled(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{Control: 1, Entries: 1, Engines: 1, EngineArgs: []string{"--step", "10ms"}})
	const callers = 5
	// Work that goes on ends whole before its deadline, after ten seconds.
	const leaverTokens = 1000
	ctx, leave := context.WithCancel(s.ctx)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			q := local.Completion(fmt.Sprint("leaver ", i), leaverTokens, true)
			q.ID = fmt.Sprint("leaver-", i)
			local.Do(ctx, s.Entries[0].ListenAddress, q)
		})
	}
	leavers := func(count func(standin.Executions) int) int {
		n := 0
		for id, e := range s.executions().ByRequest {
			if strings.HasPrefix(id, "leaver-") {
				n += count(e)
			}
		}
		return n
	}
	s.await("the streams", func() bool {
		return leavers(func(e standin.Executions) int { return e.Begun }) == callers
	})
	leave()
	wg.Wait()
	s.await("the end of the work", func() bool {
		return leavers(func(e standin.Executions) int { return e.Cancelled + e.Finished }) == callers
	})
	require.Zero(t, leavers(func(e standin.Executions) int { return e.Finished }))
}

// frozenHostBound is how long the streams of a frozen entry host may hold an engine: its
// sessions end after about four seconds of silence, its deadlines after twenty.
const frozenHostBound = 10 * time.Second

// longStreamTokens take longer than the deadline.
const longStreamTokens = 2500

// A frozen entry host holds up no caller of the others while the engines have room,
// and where its streams fill them, only until its sessions end. Without the limit of
// silence on sessions this fails: callers wait for the streams' deadlines.
func TestFrozenEntryHostHoldsUpNobodyElse(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		streams int
		bound   time.Duration
	}{
		"engines have room":           {40, 2 * time.Second},
		"the host's share is used up": {170, frozenHostBound},
	}
	s := start(t, local.Layout{Control: 1, Entries: 2, Engines: 2, EngineArgs: []string{"--step", "10ms"}})
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { s.testFrozenEntryHost(t, c.streams, c.bound) })
	}
}

// testFrozenEntryHost freezes an entry host with streams and asks the other one meanwhile.
func (s *system) testFrozenEntryHost(t *testing.T, streams int, bound time.Duration) {
	s.t = t
	frozen, other := s.Entries[0], s.Entries[1]
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(s.ctx)
	defer wg.Wait()
	defer cancel()
	counted := s.executions()
	for i := range streams {
		wg.Go(func() {
			local.Do(ctx, frozen.ListenAddress, local.Completion(fmt.Sprint("held ", i), longStreamTokens, true))
		})
	}
	ask := func(n int) time.Duration {
		began := time.Now()
		prompt := fmt.Sprint("other ", n)
		a := s.sendRequest(other, local.Completion(prompt, 4, true))
		require.Equal(t, strings.Join(standin.Stream(prompt, 4), ""), a.Body)
		return time.Since(began)
	}
	// Admission leaves half of the two engines' 128 places to the other host.
	held := min(streams, 64)
	s.await("the streams", func() bool {
		return startedSince(counted, s.executions()) >= held
	})
	frozen.Freeze()
	defer frozen.Thaw()
	began := time.Now()
	var worst time.Duration
	s.await("the end of the frozen host's streams", func() bool {
		for n := range 10 {
			worst = max(worst, ask(n))
		}
		return s.cancelledSince(counted) >= held
	})
	t.Logf("%d streams: worst wait of callers of the other host %s, streams ended after %s", streams, worst, time.Since(began))
	require.Less(t, worst, bound)
	require.Less(t, time.Since(began), frozenHostBound)
}

func startedSince(before, now standin.Report) int {
	n := 0
	for id, e := range now.ByRequest {
		n += e.Begun - before.ByRequest[id].Begun
	}
	return n
}

func (s *system) cancelledSince(before standin.Report) int {
	n := 0
	for id, e := range s.executions().ByRequest {
		n += e.Cancelled - before.ByRequest[id].Cancelled
	}
	return n
}
