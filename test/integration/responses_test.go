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
	// responsesPerFault is the number of complete responses that a test awaits under each fault.
	responsesPerFault = 60
)

// completionCallers are concurrent callers that send completions, each with prompts of its own.
type completionCallers struct {
	s    *system
	stop chan struct{}
	wg   sync.WaitGroup
	// complete, brokenOff and refused count the responses by how they ended.
	complete, brokenOff, refused atomic.Int64

	mu         sync.Mutex
	unexpected []string
}

func (s *system) startCompletionCallers() *completionCallers {
	c := &completionCallers{s: s, stop: make(chan struct{})}
	for i := range completionCallerCount {
		c.wg.Go(func() { c.run(i) })
	}
	return c
}

// run sends completions one after another, through the entry hosts in turn, until stop is closed.
func (c *completionCallers) run(caller int) {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		default:
		}
		prompt := fmt.Sprintf("caller %d asks %d", caller, n)
		ctx, cancel := context.WithTimeout(c.s.ctx, requestTimeout)
		e := c.s.Entries[(caller+n)%len(c.s.Entries)]
		isStream := n%3 != 0
		c.check(prompt, isStream, local.Do(ctx, e.ListenAddress, local.CompletionRequest(prompt, completionTokens, isStream)))
		cancel()
	}
}

// check records as unexpected every response that is neither the complete text for its prompt, nor
// a broken-off beginning of that text, nor an error response with a verdict.
func (c *completionCallers) check(prompt string, isStream bool, got local.Response) {
	want := strings.Join(standin.Stream(prompt, completionTokens), "")
	if !isStream {
		want = `{"choices":[{"index":0,"text":"` + standin.Text(prompt, completionTokens) + "\"}]}\n"
	}
	switch {
	case got.Err == nil && got.Status == http.StatusOK && got.Body == want:
		c.complete.Add(1)
	case got.Err != nil && got.Status == http.StatusOK && strings.HasPrefix(want, got.Body):
		c.brokenOff.Add(1)
	case got.Err != nil && got.Status == 0:
		c.brokenOff.Add(1)
	case got.Err == nil && got.Header.Get("Content-Type") == entry.ProblemType && got.Header.Get(verdict.Header) != "":
		c.refused.Add(1)
	default:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.unexpected = append(c.unexpected, fmt.Sprintf("%s: %d %v %.300q", prompt, got.Status, got.Err, got.Body))
	}
}

// awaitProgress waits for responsesPerFault more complete responses.
func (c *completionCallers) awaitProgress(under string) {
	c.s.t.Helper()
	from := c.complete.Load()
	c.s.await("answers under "+under, func() bool { return c.complete.Load() >= from+responsesPerFault })
}

// messageScrambler reorders, duplicates and drops messages of responses, and duplicates
// dispatches. A delayed message is delivered after a later one, possibly on another session.
type messageScrambler struct {
	mu      sync.Mutex
	r       *rand.Rand
	delayed [][]byte
	// reordered, duplicated and dropped count the messages that were changed in each way.
	reordered, duplicated, dropped int
}

func (s *messageScrambler) rewrite(_ faultproxy.Direction, message []byte) [][]byte {
	_, m, err := wire.Decode(message)
	if err != nil {
		return [][]byte{message}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m.(type) {
	case *wire.Head, *wire.Frame, *wire.End, *wire.Refused:
		return s.scramble(message)
	case *wire.Dispatch:
		return [][]byte{message, message}
	}
	return [][]byte{message}
}

// scramble chooses at random what to deliver in place of a message. The caller holds mu.
func (s *messageScrambler) scramble(message []byte) [][]byte {
	switch n := s.r.IntN(1000); {
	case n < 2:
		s.dropped++
		return nil
	case n < 5 && len(s.delayed) < 8:
		s.delayed = append(s.delayed, message)
		return nil
	case n < 12 && len(s.delayed) > 0:
		earlier := s.delayed[0]
		s.delayed = s.delayed[1:]
		s.reordered++
		return [][]byte{message, earlier}
	case n < 100:
		s.duplicated++
		return [][]byte{message, message}
	}
	return [][]byte{message}
}

// Engines that die or truncate, killed or frozen agents, broken links and reordered messages must
// not corrupt a response: one that ends without an error is the complete text for its own prompt.
// Every other one breaks off with a transport error or is an error response with a verdict.
func TestResponsesAreCompleteAndMatchTheirPrompts(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{
		Control: 1, Entries: 2, Engines: 3, HasProxies: true, HasMessageProxies: true,
		EngineArgs: []string{"--step", "2ms"},
	})
	out, err := s.Submit(s.ctx, strings.Replace(local.Document("v1"), "deadline = 20s", "deadline = 6s", 1))
	require.NoError(t, err, out)
	require.NoError(t, s.AwaitInForce(s.ctx))
	callers := s.startCompletionCallers()
	callers.awaitProgress("nothing")
	for _, mode := range []standin.Mode{standin.Die, standin.Truncate} {
		for i, h := range s.StandIns {
			require.NoError(t, local.InjectFailure(s.ctx, h, standin.Failure{Mode: mode, After: 10 * (i + 1), Times: 20}))
		}
		callers.awaitProgress(string(mode))
	}
	s.Agents[0].Kill()
	callers.awaitProgress("a killed agent")
	require.NoError(t, s.Agents[0].Start())
	s.Cut(s.Agents[1])
	callers.awaitProgress("a cut link")
	s.Heal(s.Agents[1])
	s.FreezeLinks(s.Agents[2])
	callers.awaitProgress("a frozen link")
	s.Heal(s.Agents[2])
	s.Agents[2].Freeze()
	callers.awaitProgress("a frozen agent")
	s.Agents[2].Thaw()
	scrambler := &messageScrambler{r: rand.New(rand.NewPCG(scramblerSeed, 0))}
	s.SetRewrite(scrambler.rewrite)
	callers.awaitProgress("messages in disorder")
	callers.awaitProgress("messages in disorder")
	close(callers.stop)
	callers.wg.Wait()
	require.Empty(t, callers.unexpected)
	resumed := s.counter(s.Entries[0], "entry_resumed") + s.counter(s.Entries[1], "entry_resumed")
	require.Positive(t, resumed)
	require.Positive(t, scrambler.reordered)
	require.Positive(t, scrambler.dropped)
	t.Logf("%d complete, %d broken off, %d refused, %d resumed; %d messages reordered, %d duplicated, %d dropped",
		callers.complete.Load(), callers.brokenOff.Load(), callers.refused.Load(), resumed, scrambler.reordered, scrambler.duplicated, scrambler.dropped)
}

// When a caller disconnects, the engine's work for it is cancelled. Without the Cancel message
// that attempt.run sends, the engine generates all tokens of the response.
func TestWorkOfDisconnectedCallersIsCancelled(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{Control: 1, Entries: 1, Engines: 1, EngineArgs: []string{"--step", "10ms"}})
	const callers = 5
	// At 10ms a token this takes ten seconds, less than the deadline. Work that is not cancelled
	// therefore finishes, and the last check fails.
	const streamTokens = 1000
	ctx, disconnect := context.WithCancel(s.ctx)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			request := local.CompletionRequest(fmt.Sprint("leaver ", i), streamTokens, true)
			request.ID = fmt.Sprint("leaver-", i)
			local.Do(ctx, s.Entries[0].ListenAddress, request)
		})
	}
	sumExecutions := func(count func(standin.Executions) int) int {
		n := 0
		for id, e := range s.executions().ByRequest {
			if strings.HasPrefix(id, "leaver-") {
				n += count(e)
			}
		}
		return n
	}
	s.await("the streams", func() bool {
		return sumExecutions(func(e standin.Executions) int { return e.Started }) == callers
	})
	disconnect()
	wg.Wait()
	s.await("the end of the work", func() bool {
		return sumExecutions(func(e standin.Executions) int { return e.Cancelled + e.Finished }) == callers
	})
	require.Zero(t, sumExecutions(func(e standin.Executions) int { return e.Finished }))
}

// frozenHostBound is how long the streams of a frozen entry host may occupy an engine. Its
// sessions end after about four seconds of silence; the deadline of its streams is twenty seconds.
const frozenHostBound = 10 * time.Second

// longStreamTokens make a stream that takes longer than the deadline.
const longStreamTokens = 2500

// A frozen entry host does not delay the callers of other entry hosts while the engines have free
// slots. If its streams occupy all of its slots, it delays them only until its sessions end.
// Without the silence timeout of sessions, callers wait until the deadline of the streams.
func TestFrozenEntryHostHoldsUpNobodyElse(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		streams int
		bound   time.Duration
	}{
		"engines have free slots":      {40, 2 * time.Second},
		"the host's slots are used up": {170, frozenHostBound},
	}
	s := start(t, local.Layout{Control: 1, Entries: 2, Engines: 2, EngineArgs: []string{"--step", "10ms"}})
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { s.testFrozenEntryHost(t, c.streams, c.bound) })
	}
}

// testFrozenEntryHost freezes an entry host that has running streams, and measures how long the
// callers of another entry host wait.
func (s *system) testFrozenEntryHost(t *testing.T, streams int, bound time.Duration) {
	s.t = t
	frozen, other := s.Entries[0], s.Entries[1]
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(s.ctx)
	defer wg.Wait()
	defer cancel()
	before := s.executions()
	for i := range streams {
		wg.Go(func() {
			local.Do(ctx, frozen.ListenAddress, local.CompletionRequest(fmt.Sprint("held ", i), longStreamTokens, true))
		})
	}
	measureLatency := func(n int) time.Duration {
		began := time.Now()
		prompt := fmt.Sprint("other ", n)
		a := s.sendRequest(other, local.CompletionRequest(prompt, 4, true))
		require.Equal(t, strings.Join(standin.Stream(prompt, 4), ""), a.Body)
		return time.Since(began)
	}
	// The two engines have 128 slots. Admission gives each of the two entry hosts half of them.
	runningStreams := min(streams, 64)
	s.await("the streams", func() bool {
		return startedSince(before, s.executions()) >= runningStreams
	})
	frozen.Freeze()
	defer frozen.Thaw()
	began := time.Now()
	var maxLatency time.Duration
	s.await("the end of the frozen host's streams", func() bool {
		for n := range 10 {
			maxLatency = max(maxLatency, measureLatency(n))
		}
		return s.cancelledSince(before) >= runningStreams
	})
	t.Logf("%d streams: callers of the other host waited at most %s, streams ended after %s", streams, maxLatency, time.Since(began))
	require.Less(t, maxLatency, bound)
	require.Less(t, time.Since(began), frozenHostBound)
}

// startedSince returns how many executions have started since an earlier report.
func startedSince(before, now standin.Report) int {
	n := 0
	for id, e := range now.ByRequest {
		n += e.Started - before.ByRequest[id].Started
	}
	return n
}

// cancelledSince returns how many executions were cancelled since an earlier report.
func (s *system) cancelledSince(before standin.Report) int {
	n := 0
	for id, e := range s.executions().ByRequest {
		n += e.Cancelled - before.ByRequest[id].Cancelled
	}
	return n
}
