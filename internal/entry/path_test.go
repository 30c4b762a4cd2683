package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/agent"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

const tokens = 30

func TestCallersGetTheirOwnWholeAnswers(t *testing.T) {
	p := startPath(t, nil)
	p.upstream("u1", standin.NewEngine(standin.EngineConfig{}), nil)
	var g errgroup.Group
	for i := range 40 {
		g.Go(func() error {
			prompt := fmt.Sprintf("prompt-%d", i)
			whole(t, prompt, tokens, p.complete(prompt, tokens, true))
			r := p.complete(prompt, tokens, false)
			require.Equal(t, http.StatusOK, r.status)
			require.Contains(t, r.body, standin.Text(prompt, tokens))

			chat := `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"` + prompt + `"}]}`
			r = p.do(p.newRequest(context.Background(), http.MethodPost, "/v1/chat/completions", chat))
			require.Contains(t, r.body, standin.Text("user\n"+prompt+"\n", 5))
			return nil
		})
	}
	require.NoError(t, g.Wait())
}

// script is a fake agent: it gets a dispatch and sends what it likes.
type script func(s *peer.Session, d *wire.Dispatch)

func (f script) ServePeer(s *peer.Session, _ uint64, m wire.Message) {
	if d, ok := m.(*wire.Dispatch); ok {
		f(s, d)
	}
}

func frame(id wire.AttemptID, seq uint64, data string) wire.Message {
	return &wire.Frame{Attempt: id, Seq: seq, Data: []byte(data)}
}

func end(id wire.AttemptID, frames uint64, body string) wire.Message {
	return &wire.End{Attempt: id, Frames: frames, Bytes: uint64(len(body)), Digest: xxhash.Sum64String(body)}
}

func TestCrossedFramesNeverMakeAWrongOrShortAnswer(t *testing.T) {
	foreign := wire.AttemptID{9}
	cases := []struct {
		name  string
		whole bool
		send  func(id wire.AttemptID) []wire.Message
	}{
		{"in order", true, func(id wire.AttemptID) []wire.Message {
			return []wire.Message{frame(id, 1, "ab"), frame(id, 2, "cd"), end(id, 2, "abcd")}
		}},
		{"another attempt's between", true, func(id wire.AttemptID) []wire.Message {
			return []wire.Message{frame(foreign, 1, "XX"), frame(id, 1, "ab"), frame(foreign, 2, "YY"),
				end(foreign, 2, "XXYY"), frame(id, 2, "cd"), end(id, 2, "abcd")}
		}},
		{"repeated", true, func(id wire.AttemptID) []wire.Message {
			return []wire.Message{frame(id, 1, "ab"), frame(id, 1, "ab"), frame(id, 2, "cd"), end(id, 2, "abcd")}
		}},
		{"gap", false, func(id wire.AttemptID) []wire.Message {
			return []wire.Message{frame(id, 1, "ab"), frame(id, 3, "ef"), end(id, 2, "abef")}
		}},
		{"lost last frame", false, func(id wire.AttemptID) []wire.Message {
			return []wire.Message{frame(id, 1, "ab"), end(id, 2, "abcd")}
		}},
		{"changed bytes", false, func(id wire.AttemptID) []wire.Message {
			return []wire.Message{frame(id, 1, "ab"), frame(id, 2, "cX"), end(id, 2, "abcd")}
		}},
		{"broken end", false, func(id wire.AttemptID) []wire.Message {
			return []wire.Message{frame(id, 1, "ab"), &wire.End{Attempt: id, Frames: 1, Broken: true}}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := startPath(t, func(c *entry.Config) { c.MaxAttempts = 1 })
			p.host("u1", script(func(s *peer.Session, d *wire.Dispatch) {
				_ = s.Post(&wire.Head{Attempt: d.Attempt, Status: http.StatusOK})
				for _, m := range c.send(d.Attempt) {
					_ = s.Post(m)
				}
			}))
			streamed, held := p.complete("a", 1, true), p.complete("a", 1, false)
			if c.whole {
				require.NoError(t, streamed.err)
				require.Equal(t, "abcd", streamed.body)
				require.Equal(t, "abcd", held.body)
				return
			}
			require.Error(t, streamed.err, "the caller can tell that %q is not whole", streamed.body)
			require.Equal(t, http.StatusBadGateway, held.status)
			require.Equal(t, "may-have-run", held.verdict())
		})
	}
}

func TestLostSessionIsNoEnd(t *testing.T) {
	p := startPath(t, func(c *entry.Config) { c.MaxAttempts = 1 })
	p.host("u1", script(func(s *peer.Session, d *wire.Dispatch) {
		_ = s.Post(&wire.Head{Attempt: d.Attempt, Status: http.StatusOK})
		_ = s.Post(frame(d.Attempt, 1, "ab"))
		go func() {
			_ = s.Send(context.Background(), &wire.Ping{})
			s.Close()
		}()
	}))
	r := p.complete("a", 1, false)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Equal(t, "may-have-run", r.verdict())
}

// Another host can't put its frames into an answer, even with the attempt's id.
func TestMessagesCountOnlyFromTheAttemptsOwnSession(t *testing.T) {
	p := startPath(t, nil)
	dispatched := make(chan func(), 1)
	ids := make(chan wire.AttemptID, 1)
	p.host("u1", script(func(s *peer.Session, d *wire.Dispatch) {
		dispatched <- func() {
			_ = s.Post(&wire.Head{Attempt: d.Attempt, Status: http.StatusOK})
			_ = s.Post(frame(d.Attempt, 1, "right"))
			_ = s.Post(end(d.Attempt, 1, "right"))
		}
		ids <- d.Attempt
	}))
	other := p.host("u2", script(nil))
	_, err := p.pool.Get(context.Background(), p.router.upstreams[1].Address)
	require.NoError(t, err)
	// The other end takes the session in just after it has greeted.
	require.Eventually(t, func() bool { return len(other.Sessions()) > 0 }, patience, time.Millisecond)
	got := make(chan reply, 1)
	go func() { got <- p.complete("a", 1, false) }()
	id := <-ids
	for _, m := range []wire.Message{&wire.Head{Attempt: id, Status: http.StatusOK}, frame(id, 1, "wrong"), end(id, 1, "wrong")} {
		require.NoError(t, other.Sessions()[0].Post(m))
	}
	require.Eventually(t, func() bool { return p.counter("entry.messages.dropped") == 3 }, patience, time.Millisecond)
	(<-dispatched)()
	require.Equal(t, "right", (<-got).body)
}

// The first attempt is given up, then both answer: only the second one's answer counts.
func TestTwoAttemptsBothAnswer(t *testing.T) {
	p := startPath(t, func(c *entry.Config) { c.FirstByteTimeout = 50 * time.Millisecond })
	first := make(chan func(body string), 1)
	answer := func(s *peer.Session, d *wire.Dispatch) func(string) {
		return func(body string) {
			_ = s.Post(&wire.Head{Attempt: d.Attempt, Status: http.StatusOK})
			_ = s.Post(frame(d.Attempt, 1, body))
			_ = s.Post(end(d.Attempt, 1, body))
		}
	}
	p.host("u1", script(func(s *peer.Session, d *wire.Dispatch) { first <- answer(s, d) }))
	p.host("u2", script(func(s *peer.Session, d *wire.Dispatch) {
		(<-first)("late")
		answer(s, d)("right")
	}))
	require.Equal(t, "right", p.complete("a", 1, false).body)
	require.Eventually(t, func() bool { return p.counter("entry.messages.dropped") == 3 }, patience, time.Millisecond)
}

func TestBrokenStreams(t *testing.T) {
	for _, mode := range []standin.Mode{standin.Die, standin.Truncate} {
		t.Run(string(mode), func(t *testing.T) {
			p := startPath(t, nil)
			e := standin.NewEngine(standin.EngineConfig{})
			p.upstream("u1", e, nil)
			p.upstream("u2", standin.NewEngine(standin.EngineConfig{}), nil)
			e.Fail(standin.Failure{Mode: mode, After: 5, Times: 1})
			q := p.completion(context.Background(), "a", tokens, true)
			q.URL.RawQuery = "a=b"
			r := p.do(q)
			require.Error(t, r.err, "a stream that was cut ends as cut")
			require.True(t, strings.HasPrefix(stream("a", tokens), r.body))
			require.Zero(t, p.counter("entry.retries"), "bytes were delivered")
		})
	}
}

func TestHeldAnswerIsTriedAgain(t *testing.T) {
	p := startPath(t, nil)
	e := standin.NewEngine(standin.EngineConfig{})
	p.upstream("u1", e, nil)
	p.upstream("u2", standin.NewEngine(standin.EngineConfig{}), nil)
	e.Fail(standin.Failure{Mode: standin.Die, After: 5, Times: 1})
	r := p.complete("a", tokens, false)
	require.Equal(t, http.StatusOK, r.status)
	require.Contains(t, r.body, standin.Text("a", tokens))
	require.Equal(t, int64(1), p.counter("entry.retries"))
}

// Without isCutShort this fails: the caller gets an empty answer with status 200.
func TestAnswerThatIsCutShortIsTriedAgain(t *testing.T) {
	p := startPath(t, nil)
	e := standin.NewEngine(standin.EngineConfig{})
	p.upstream("u1", e, nil)
	p.upstream("u2", e, nil)
	e.Fail(standin.Failure{Mode: standin.Truncate, After: 3, Times: 1})
	r := p.complete("a prompt", tokens, false)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Contains(t, r.body, standin.Text("a prompt", tokens))
	e.Fail(standin.Failure{Mode: standin.Truncate, After: 3, Times: 10})
	r = p.complete("another", tokens, false)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Equal(t, "may-have-run", r.verdict())
}

func TestStreamIsResumed(t *testing.T) {
	p := startPath(t, func(c *entry.Config) { c.Catalog = testCatalog{resumable: true} })
	e := standin.NewEngine(standin.EngineConfig{})
	p.upstream("u1", e, nil)
	p.upstream("u2", standin.NewEngine(standin.EngineConfig{}), nil)
	e.Fail(standin.Failure{Mode: standin.Die, After: 5, Times: 1})
	whole(t, "a", tokens, p.complete("a", tokens, true))
	require.Equal(t, int64(1), p.counter("entry.resumed"))
}

// An engine that starts again from the beginning would repeat what was delivered.
func TestEngineThatDoesNotResumeIsNotMixedIn(t *testing.T) {
	p := startPath(t, func(c *entry.Config) { c.Catalog = testCatalog{resumable: true} })
	e := standin.NewEngine(standin.EngineConfig{})
	p.upstream("u1", e, nil)
	p.upstream("u2", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(agent.ResumeHeader)
		standin.NewEngine(standin.EngineConfig{}).ServeHTTP(w, r)
	}), nil)
	e.Fail(standin.Failure{Mode: standin.Die, After: 5, Times: 1})
	r := p.complete("a", tokens, true)
	require.Error(t, r.err)
	require.True(t, strings.HasPrefix(stream("a", tokens), r.body))
}

func TestCallerWhoLeavesCancelsTheEngine(t *testing.T) {
	p := startPath(t, nil)
	e := standin.NewEngine(standin.EngineConfig{Step: 5 * time.Millisecond})
	a, _ := p.upstream("u1", e, nil)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := http.DefaultTransport.RoundTrip(p.completion(ctx, "a", 20_000, true))
	require.NoError(t, err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err, "the stream runs")
	cancel()
	require.Eventually(t, func() bool { return e.Executions().ByRequest["a"].Cancelled == 1 }, patience, time.Millisecond)
	require.NoError(t, a.AwaitDrained(context.Background()))
	require.Equal(t, int64(1), p.counter("agent.cancelled"))
}

func TestSlowCallerHoldsUpNobody(t *testing.T) {
	const size = 24 << 20
	p := startPath(t, func(c *entry.Config) { c.Window = 64 << 10 })
	p.upstream("u1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := 10
		if r.Header.Get(entry.RequestIDHeader) == "slow" {
			n = size
		}
		w.Header().Set("Content-Length", fmt.Sprint(n))
		chunk := make([]byte, 32<<10)
		for n > 0 {
			m := min(n, len(chunk))
			if _, err := w.Write(chunk[:m]); err != nil {
				return
			}
			n -= m
		}
	}), nil)
	resp, err := http.DefaultTransport.RoundTrip(p.completion(context.Background(), "slow", 1, true))
	require.NoError(t, err)
	for range 20 {
		r := p.complete("quick", 1, false)
		require.Equal(t, http.StatusOK, r.status)
		require.Len(t, r.body, 10)
	}
	n, err := bufio.NewReader(resp.Body).WriteTo(&discard{})
	require.NoError(t, err)
	require.Equal(t, int64(size), n)
}

type discard struct{}

func (*discard) Write(b []byte) (int, error) { return len(b), nil }

// notRunNowhere requires the verdict not-run and that no engine has begun the request.
func notRunNowhere(t *testing.T, r reply, code verdict.Code, e *standin.Engine) {
	t.Helper()
	require.Equal(t, "not-run", r.verdict())
	require.Contains(t, r.body, string(code))
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Empty(t, e.Executions().ByRequest)
}

func TestLeavingAgentRefusesAndEndsWhatRuns(t *testing.T) {
	p := startPath(t, nil)
	e := standin.NewEngine(standin.EngineConfig{Step: time.Millisecond})
	a, _ := p.upstream("u1", e, nil)
	running := make(chan reply, 1)
	go func() { running <- p.complete("a", 100, true) }()
	require.Eventually(t, func() bool { return e.Executions().ByRequest["a"].Begun == 1 }, patience, time.Millisecond)
	a.StartDraining()
	r := p.complete("b", tokens, true)
	require.Equal(t, "not-run", r.verdict())
	require.Contains(t, r.body, verdict.CodeLeaving)
	require.Zero(t, e.Executions().ByRequest["b"].Begun)
	require.NoError(t, a.AwaitDrained(context.Background()))
	whole(t, "a", 100, <-running)
}

func TestRestartedAgentRefusesWhatWasMeantForItsForerunner(t *testing.T) {
	p := startPath(t, nil)
	e := standin.NewEngine(standin.EngineConfig{})
	p.upstream("u1", e, func(c *agent.Config) { c.Identity.Incarnation++ })
	notRunNowhere(t, p.complete("a", tokens, true), verdict.CodeNoUpstream, e)
}

func TestFullQueueRefuses(t *testing.T) {
	p := startPath(t, nil)
	e := standin.NewEngine(standin.EngineConfig{})
	e.Fail(standin.Failure{Mode: standin.Hang, Times: 1})
	p.upstream("u1", e, func(c *agent.Config) { c.Capacity, c.QueueLength = 1, -1 })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = http.DefaultTransport.RoundTrip(p.completion(ctx, "a", 1, true)) }()
	require.Eventually(t, func() bool { return e.Executions().ByRequest["a"].Begun == 1 }, patience, time.Millisecond)
	r := p.complete("b", tokens, true)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not-run", r.verdict())
	require.Equal(t, "1", r.header.Get("Retry-After"))
	require.Zero(t, e.Executions().ByRequest["b"].Begun)
}

func TestDrainCutsNoStream(t *testing.T) {
	p := startPath(t, nil)
	e := standin.NewEngine(standin.EngineConfig{Step: time.Millisecond})
	p.upstream("u1", e, nil)
	running := make(chan reply, 1)
	go func() { running <- p.complete("a", 100, true) }()
	require.Eventually(t, func() bool { return e.Executions().ByRequest["a"].Begun == 1 }, patience, time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- p.server.Drain(context.Background()) }()
	ready := func() int {
		return p.do(p.newRequest(context.Background(), http.MethodGet, entry.ReadyPath, "")).status
	}
	require.Eventually(t, func() bool { return ready() == http.StatusServiceUnavailable }, patience, time.Millisecond)
	r := p.complete("b", tokens, true)
	require.Equal(t, "not-run", r.verdict())
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Zero(t, e.Executions().ByRequest["b"].Begun)
	require.NoError(t, <-drained)
	require.Equal(t, 1, e.Executions().ByRequest["a"].Finished, "Drain waits for the stream")
	whole(t, "a", 100, <-running)
}

func TestRefusalsBeforeAnyUpstream(t *testing.T) {
	p := startPath(t, func(c *entry.Config) { c.MaxBody = 1000 })
	e := standin.NewEngine(standin.EngineConfig{})
	p.upstream("u1", e, nil)
	cases := map[string]struct {
		body   string
		token  string
		status int
	}{
		"no token":      {`{"model":"m"}`, "", http.StatusUnauthorized},
		"no model":      {`{}`, "Bearer t", http.StatusBadRequest},
		"no JSON":       {`{`, "Bearer t", http.StatusBadRequest},
		"unknown model": {`{"model":"unknown"}`, "Bearer t", http.StatusNotFound},
		"too large":     {`{"model":"m","prompt":"` + strings.Repeat("x", 1000) + `"}`, "Bearer t", http.StatusRequestEntityTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := p.newRequest(context.Background(), http.MethodPost, "/v1/completions", c.body)
			r.Header.Set("Authorization", c.token)
			got := p.do(r)
			require.Equal(t, c.status, got.status)
			require.Equal(t, "not-run", got.verdict())
			require.Equal(t, entry.ProblemType, got.header.Get("Content-Type"))
			require.NotEmpty(t, got.header.Get(entry.RequestIDHeader))
			require.Empty(t, e.Executions().ByRequest)
		})
	}
}

func TestNonIdempotentCalls(t *testing.T) {
	p := startPath(t, nil)
	s := standin.NewService(0)
	a, _ := p.upstream("u1", s, nil)

	r := p.book("", "ana")
	require.Equal(t, http.StatusBadRequest, r.status)
	require.Equal(t, "not-run", r.verdict())

	first := p.book("k1", "ana")
	require.Equal(t, http.StatusCreated, first.status)
	require.Equal(t, "ran", first.verdict())
	again := p.book("k1", "ana")
	require.Equal(t, first.body, again.body)
	require.Equal(t, first.status, again.status)
	require.Equal(t, "true", again.header.Get(entry.ReplayedHeader))
	require.Empty(t, first.header.Get(entry.ReplayedHeader))

	r = p.book("k1", "boris")
	require.Equal(t, http.StatusUnprocessableEntity, r.status)
	require.Equal(t, "not-run", r.verdict())

	p.claims.refuse = verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "no quorum").After(2 * time.Second)
	r = p.book("k2", "ana")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "may-have-run", r.verdict(), "an earlier sending of the key may have run")
	require.Contains(t, r.body, "ask again with the SAME key")
	require.Equal(t, "2", r.header.Get("Retry-After"))
	p.claims.refuse = errors.New("lost on the way")
	r = p.book("k2", "ana")
	require.Equal(t, "may-have-run", r.verdict())
	require.Contains(t, r.body, "this sending did not run")
	p.claims.refuse = nil
	require.Empty(t, s.Executions().ByKey["k2"], "it was not dispatched")

	s.Fail(standin.Failure{Mode: standin.Refuse, Times: 1})
	r = p.book("k5", "ana")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "may-have-run", r.verdict(), "the service does not say how far it ran")
	require.Equal(t, r.body, p.book("k5", "ana").body, "a resend finds that answer")

	s.Fail(standin.Failure{Mode: standin.Die, Times: 1})
	r = p.book("k3", "ana")
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Equal(t, "may-have-run", r.verdict())
	r = p.book("k3", "ana")
	require.Equal(t, http.StatusConflict, r.status)
	require.Equal(t, "may-have-run", r.verdict())

	a.StartDraining()
	require.Equal(t, "not-run", p.book("k4", "ana").verdict())
	p.upstream("u2", s, nil)
	p.router.mu.Lock()
	p.router.upstreams = p.router.upstreams[1:]
	p.router.mu.Unlock()
	require.Equal(t, "ran", p.book("k4", "ana").verdict(), "not-run has freed the key")

	want := map[string]standin.Executions{"k1": {Begun: 1, Finished: 1}, "k3": {Begun: 1, Finished: 1}, "k4": {Begun: 1, Finished: 1}}
	require.Len(t, s.Executions().ByKey, 3, "k5 was refused")
	require.Equal(t, want, s.Executions().ByKey)
}

func TestCallInProgressIsNotStartedAgain(t *testing.T) {
	p := startPath(t, nil)
	s := standin.NewService(0)
	started, release := make(chan struct{}, 8), make(chan struct{})
	a, pool := p.upstream("u1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		s.ServeHTTP(w, r)
	}), nil)
	first := make(chan reply, 1)
	go func() { first <- p.book("k", "ana") }()
	<-started
	r := p.book("k", "ana")
	require.Equal(t, http.StatusConflict, r.status)
	require.Equal(t, "1", r.header.Get("Retry-After"))
	for _, open := range p.pool.Sessions() {
		open.Close()
	}
	require.Equal(t, "may-have-run", (<-first).verdict())
	require.Equal(t, "may-have-run", p.book("k", "ana").verdict())
	require.Eventually(t, func() bool { return len(pool.Sessions()) == 0 }, patience, time.Millisecond)
	close(release)
	require.NoError(t, a.AwaitDrained(context.Background()))
	require.Equal(t, standin.Executions{Begun: 1, Finished: 1}, s.Executions().ByKey["k"])
	require.Zero(t, p.counter("agent.refused"), "a call that may not repeat is not cut by a lost session")
}

// A call whose entry host can't hear its end is recorded by the agent, so that a
// resend gets the answer. Without recordUnheard this fails: the resend is told that
// the call may have run.
func TestAgentRecordsWhatNobodyHears(t *testing.T) {
	p := startPath(t, nil)
	s := standin.NewService(0)
	started, release := make(chan struct{}, 8), make(chan struct{})
	p.upstream("u1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		s.ServeHTTP(w, r)
	}), func(c *agent.Config) { c.Recorder = p.claims })
	first := make(chan reply, 1)
	go func() { first <- p.book("k", "ana") }()
	<-started
	for _, open := range p.pool.Sessions() {
		open.Close()
	}
	require.Equal(t, "may-have-run", (<-first).verdict())
	close(release)
	var again reply
	require.Eventually(t, func() bool {
		again = p.book("k", "ana")
		return again.verdict() == "ran"
	}, patience, time.Millisecond)
	require.Equal(t, http.StatusCreated, again.status)
	require.Equal(t, "true", again.header.Get(entry.ReplayedHeader))
	require.Contains(t, again.body, "ana")
	require.Equal(t, 1, s.Executions().ByKey["k"].Begun)
}

// The library sends a request again where a kept connection closes under it; a call
// that may not repeat goes out on a connection of its own.
func TestLibraryDoesNotRepeatACall(t *testing.T) {
	p := startPath(t, nil)
	var calls atomic.Int32
	p.upstream("u1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}), nil)
	require.Equal(t, http.StatusOK, p.do(p.newRequest(context.Background(), http.MethodGet, "/slots", "")).status)
	r := p.newRequest(context.Background(), http.MethodPost, "/slots/book", "")
	r.Header.Set(entry.KeyHeader, "k")
	require.Equal(t, "may-have-run", p.do(r).verdict())
	require.Equal(t, int32(1), calls.Load())
}

func TestUrgentWorkGoesFirstAndAbandonedWorkNever(t *testing.T) {
	p := startPath(t, nil)
	began, release := make(chan string, 8), make(chan struct{})
	a, _ := p.upstream("u1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		began <- r.Header.Get(entry.RequestIDHeader)
		<-release
	}), func(c *agent.Config) { c.Capacity = 1 })
	queued := func(n uint32) func() bool {
		return func() bool {
			u, _ := a.Record()
			return u.Load.Queued == n
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for i, name := range []string{"first", "left", "u=6", "u=5"} {
		r := p.completion(context.Background(), name, 1, false)
		if name == "left" {
			r = p.completion(ctx, name, 1, false)
		}
		r.Header.Set(entry.PriorityHeader, name)
		g.Go(func() error {
			_, err := http.DefaultTransport.RoundTrip(r)
			if name == "left" {
				return nil
			}
			return err
		})
		require.Eventually(t, queued(uint32(i)), patience, time.Millisecond)
		if i == 0 {
			require.Equal(t, "first", <-began)
		}
	}
	cancel()
	require.Eventually(t, queued(2), patience, time.Millisecond)
	close(release)
	require.NoError(t, g.Wait())
	require.Equal(t, "u=5", <-began)
	require.Equal(t, "u=6", <-began)
	require.Empty(t, began)
}

// No spelling of a path leads a call past the plan that forbids its repetition.
func TestPathHasOneSpelling(t *testing.T) {
	p := startPath(t, nil)
	s := standin.NewService(0)
	p.upstream("u1", s, nil)
	for _, target := range []string{"/slots/book", "/slots/%62ook", "/slots/book?x=1", "/x/../slots/book", "/x/%2e%2e/slots/book", "//slots/book", "/slots%2Fbook"} {
		r := p.do(p.newRequest(context.Background(), http.MethodPost, target, `{}`))
		require.Equal(t, http.StatusBadRequest, r.status, target)
		require.Equal(t, "not-run", r.verdict(), target)
	}
	require.Equal(t, http.StatusBadRequest, p.do(p.newRequest(context.Background(), "post", "/slots/book", `{}`)).status)
	require.Empty(t, s.Executions().ByRequest)
	r := p.newRequest(context.Background(), http.MethodPost, "/slots/%62ook", `{}`)
	r.Header.Set(entry.KeyHeader, "k")
	require.Equal(t, http.StatusCreated, p.do(r).status)
	require.Equal(t, 1, s.Executions().ByKey["k"].Finished)
}

// A second dispatch of a claim or an attempt is not run, and never called not run.
func TestAgentTakesAClaimOnce(t *testing.T) {
	p := startPath(t, nil)
	s := standin.NewService(0)
	p.upstream("u1", s, nil)
	got := make(chan wire.Message, 16)
	pool := peer.NewPool(peer.Config{Hello: wire.Hello{Host: "x"}, Secret: secret, Handler: peer.HandlerFunc(
		func(_ *peer.Session, _ uint64, m wire.Message) { got <- m })})
	defer pool.Close()
	session, err := pool.Get(context.Background(), p.router.upstreams[0].Address)
	require.NoError(t, err)
	d := wire.Dispatch{
		Attempt: wire.AttemptID{1}, Upstream: "u1", Incarnation: incarnation, Method: http.MethodPost, Path: "/slots/book",
		Header: []wire.Field{{Name: entry.KeyHeader, Value: "k"}}, Body: []byte(`{}`),
		Claim: &wire.Claim{Workspace: "w", Key: "k"}, TimeoutMS: 10000, Window: 1000,
	}
	second := d
	second.Attempt = wire.AttemptID{2}
	for _, m := range []*wire.Dispatch{&d, &d, &second} {
		require.NoError(t, session.Post(m))
	}
	for range 4 { // Refused of the second; Head, Frame and End of the first, once each
		if r, ok := (<-got).(*wire.Refused); ok {
			require.Equal(t, second.Attempt, r.Attempt)
			require.Equal(t, verdict.MayHaveRun, verdict.Verdict(r.Verdict))
		}
	}
	require.Equal(t, 1, s.Executions().ByKey["k"].Begun)
	require.Equal(t, int64(1), p.counter("agent.repeated"))
}

// Whatever fails, what is called not run was never begun, a key is begun at most
// once, and an answer that ends well is the right one.
func TestVerdictsAgreeWithExecutions(t *testing.T) {
	p := startPath(t, func(c *entry.Config) { c.MaxAttempts = 2 })
	engine, service := standin.NewEngine(standin.EngineConfig{}), standin.NewService(0)
	gone := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/slots") {
			service.ServeHTTP(w, r)
			return
		}
		engine.ServeHTTP(w, r)
	}
	_, one := p.upstream("u1", http.HandlerFunc(gone), func(c *agent.Config) { c.Capacity, c.QueueLength = 2, 1 })
	p.upstream("u2", http.HandlerFunc(gone), func(c *agent.Config) { c.Capacity, c.QueueLength = 2, 1 })
	_, _ = p.upstream("u3", http.HandlerFunc(gone), func(c *agent.Config) { c.URL = "http://127.0.0.1:1" })
	all := append([]wire.Upstream{}, p.router.upstreams...)
	modes := []standin.Mode{"", standin.Die, standin.Truncate, standin.Refuse}
	round := 0
	rapid.Check(t, func(rt *rapid.T) {
		round++
		p.router.mu.Lock()
		p.router.upstreams = rapid.Permutation(all).Draw(rt, "upstreams")
		p.router.mu.Unlock()
		f := standin.Failure{Mode: rapid.SampledFrom(modes).Draw(rt, "mode"), After: rapid.IntRange(0, 4).Draw(rt, "after"), Times: 2}
		engine.Fail(f)
		service.Fail(f)
		cut := rapid.IntRange(0, 3).Draw(rt, "cut") == 0
		var g errgroup.Group
		for i := range 6 {
			name := fmt.Sprintf("r%d-%d", round, i)
			g.Go(func() error {
				r := p.complete(name, 5, i%2 == 0)
				if r.verdict() == "not-run" && engine.Executions().ByRequest[name].Begun > 0 {
					return errors.Errorf("%s was called not run", name)
				}
				if r.status == http.StatusOK && r.err == nil && i%2 == 0 && r.body != stream(name, 5) {
					return errors.Errorf("%s got %q", name, r.body)
				}
				return nil
			})
			g.Go(func() error {
				key := name[:len(name)-1] + fmt.Sprint(i/2)
				q := p.newRequest(context.Background(), http.MethodPost, "/slots/book", `{}`)
				q.Header.Set(entry.KeyHeader, key)
				q.Header.Set(entry.RequestIDHeader, name)
				r := p.do(q)
				counts := service.Executions()
				if counts.ByKey[key].Begun > 1 {
					return errors.Errorf("%s was run %d times", key, counts.ByKey[key].Begun)
				}
				if r.verdict() == "not-run" && counts.ByRequest[name].Begun > 0 {
					return errors.Errorf("%s was called not run", name)
				}
				return nil
			})
		}
		if cut {
			for _, s := range one.Sessions() {
				s.Close()
			}
		}
		require.NoError(rt, g.Wait())
	})
}
