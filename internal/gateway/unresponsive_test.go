package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// reportInterval is the time between two load reports of an engine.
const reportInterval = 100 * time.Millisecond

// freezeTest has a group of three engines. The first one that gets a request hangs on it, as the engine
// of a frozen host does.
type freezeTest struct {
	*testEnv
	// began receives the engine of each request as it begins, and ended the engine of each request that
	// was cancelled.
	began, ended chan string
}

// newFreezeTest returns a test whose first engine calls hang with the request.
func newFreezeTest(t *testing.T, hang http.HandlerFunc) *freezeTest {
	f := &freezeTest{testEnv: newTestEnv(t), began: make(chan string, 8), ended: make(chan string, 8)}
	f.setTable(&routetable.Engine{
		Slots: 4, StepsPerPass: 1, StepTime: time.Millisecond, StepTimePerRequest: 100 * time.Microsecond,
		Experts: routetable.Experts{LayerSetCount: 1, ExpertsPerSet: 8, Slots: 2, WorkShare: 0.85},
	})
	isFirst := make(chan bool, 1)
	isFirst <- true
	for _, id := range f.engines() {
		f.addUpstream(id, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			f.began <- id
			select {
			case <-isFirst:
				hang(w, r)
				f.ended <- id
			default:
				writeEvents(0)(w, r)
			}
		})
	}
	f.reportAllBut("", 0)
	return f
}

func (f *freezeTest) engines() []string { return []string{"u1", "u2", "u3"} }

// reportAllBut reports the load of all engines but one.
func (f *freezeTest) reportAllBut(silent string, running int) {
	for _, id := range f.engines() {
		if id != silent {
			f.reportLoad(id, wire.EngineLoad{IsOpen: true, Group: "g", Epoch: 1, Running: running})
		}
	}
}

// passTime lets time pass in which the reports of one engine are missing.
func (f *freezeTest) passTime(silent string, running int, span time.Duration) {
	for ; span > 0; span -= reportInterval {
		f.clockAhead.Add(int64(reportInterval))
		f.reportAllBut(silent, running)
	}
}

// post sends a request in the background and returns the channel on which its response and body arrive.
func (f *freezeTest) postInBackground(path string) <-chan outcomeOfPost {
	out := make(chan outcomeOfPost, 1)
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, f.front.URL+path, nil)
	require.NoError(f.t, err)
	r.Header.Set("X-K", "key")
	go func() {
		resp, err := f.front.Client().Do(r)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		out <- outcomeOfPost{resp, string(body)}
	}()
	return out
}

type outcomeOfPost struct {
	resp *http.Response
	body string
}

func (f *freezeTest) requireOutcome(out <-chan outcomeOfPost) outcomeOfPost {
	f.t.Helper()
	select {
	case o := <-out:
		return o
	case <-time.After(testTimeout):
		require.Fail(f.t, "no response")
		return outcomeOfPost{}
	}
}

// hangSilently sends nothing until the request is cancelled.
func hangSilently(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// hangAfterEvent sends one event and a part of the next one, then nothing until the request is cancelled.
func hangAfterEvent(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\nda")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// Guards against a request that is left at the engine of a frozen host until its caller leaves, before or
// after its first event.
func TestRequestLeavesEngineOfFrozenHost(t *testing.T) {
	for name, hang := range map[string]http.HandlerFunc{"before the first event": hangSilently, "after the first event": hangAfterEvent} {
		t.Run(name, func(t *testing.T) {
			f := newFreezeTest(t, hang)
			out := f.postInBackground("/stream/")
			frozen := <-f.began
			require.Eventually(t, func() bool {
				f.passTime(frozen, 0, reportInterval)
				return len(out) == 1
			}, testTimeout, time.Millisecond)
			o := f.requireOutcome(out)
			require.Equal(t, http.StatusOK, o.resp.StatusCode)
			require.Equal(t, completeStream(), o.body)
			require.Equal(t, frozen, <-f.ended)
			require.NotEqual(t, frozen, <-f.began)
			require.Empty(t, f.gateway.cancellable())
		})
	}
}

// Guards against a request that is resent although it must not run twice.
func TestUnsafeRequestStaysAtEngineOfFrozenHost(t *testing.T) {
	finish := make(chan bool)
	f := newFreezeTest(t, func(w http.ResponseWriter, _ *http.Request) { <-finish })
	out := f.postInBackground("/unsafe/")
	frozen := <-f.began
	f.passTime(frozen, 0, 3*time.Second)
	close(finish)
	require.Equal(t, http.StatusOK, f.requireOutcome(out).resp.StatusCode)
	require.Empty(t, f.began, "sent to one engine only")
}

// Guards against a caller that waits at the engine of a frozen host while no other engine has a slot for
// its request: it gets a final response before it would leave by itself.
func TestCallerAtFrozenHostIsAnsweredWithoutFreeSlots(t *testing.T) {
	f := newFreezeTest(t, hangSilently)
	out := f.postInBackground("/stream/")
	frozen := <-f.began
	require.Eventually(t, func() bool { return len(f.gateway.cancellable()) == 1 }, testTimeout, time.Millisecond)
	f.passTime(frozen, 4, 1500*time.Millisecond)
	require.Empty(t, f.ended, "ended before the caller would leave")
	f.passTime(frozen, 4, 300*time.Millisecond)
	o := f.requireOutcome(out)
	require.Equal(t, http.StatusBadGateway, o.resp.StatusCode, "the request may still run")
	require.NotEmpty(t, o.resp.Header.Get("Retry-After"))
	require.Empty(t, f.began, "sent to one engine only")
}

// cancellable returns the attempts that the gateway may cancel.
func (g *Gateway) cancellable() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for t := range g.cancels {
		out = append(out, t.ID())
	}
	return out
}
