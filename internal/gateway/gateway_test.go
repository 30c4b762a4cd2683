package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// lab is a gateway before stand-in upstreams.
type lab struct {
	t       *testing.T
	gateway *Gateway
	front   *httptest.Server
	// later is by how much the gateway's clock is ahead.
	later atomic.Int64
	// addresses are those of the upstreams.
	addresses map[string]string
	// gap is the longest pause between events that the routes of the next table allow.
	gap time.Duration
}

// newLab returns one that has been up for long.
func newLab(t *testing.T) *lab {
	l := startedLab(t)
	l.later.Store(int64(time.Hour))
	return l
}

// startedLab returns one that has just started.
func startedLab(t *testing.T) *lab {
	l := &lab{t: t, addresses: map[string]string{}}
	began := time.Now()
	d := Dialect{
		UpstreamHeaders: dispatch.HeaderNames{Attempt: "X-A", Instance: "X-I", Deadline: "X-D", NotRun: "X-N"},
		KeyHeader:       "X-K", WorkspaceHeader: "X-W", ResumeHeader: "X-R",
		Deadline: func(h http.Header) (time.Duration, bool) {
			ms, err := strconv.Atoi(h.Get("X-D"))
			return time.Duration(ms) * time.Millisecond, err == nil
		},
	}
	now := func() time.Duration { return time.Since(began) + time.Duration(l.later.Load()) }
	g := New(Config{
		Quarantine: quarantine.NewKeeper(quarantine.Config{
			Limits: quarantine.DefaultLimits, Now: now, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		}),
		Dialect: d, Client: dispatch.New(dispatch.Config{HeaderNames: d.UpstreamHeaders, DialTimeout: 5 * time.Second}),
		Budget: retrybudget.Params{Ratio: 0.2, Extra: 100, Window: 10 * time.Second},
		Now:    now, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	l.gateway, l.front = g, httptest.NewServer(g)
	t.Cleanup(l.front.Close)
	return l
}

// usualPriority is that of the lab's routes: far from the most urgent one, so that no
// pause of a test makes up for the difference.
const usualPriority = 1000

// table has a route of each kind to the service "s".
func (l *lab) table(engine *routetable.Engine) {
	route := func(name string, kind routetable.Kind, attempts int) routetable.Route {
		return routetable.Route{
			Name: name, HostName: "127.0.0.1", Prefix: "/" + name + "/", Kind: kind, Timeout: 20 * time.Second,
			TargetLatency: time.Second, Gap: l.gap, Priority: usualPriority, AttemptLimit: attempts, IsResumable: kind == routetable.Stream,
			ServiceWeights: []routetable.ServiceWeight{{Service: "s", Weight: 1}},
		}
	}
	t := &routetable.Table{
		Number: 1,
		Routes: []routetable.Route{
			route("safe", routetable.Safe, 2), route("unsafe", routetable.Unsafe, 2), route("stream", routetable.Stream, 2),
		},
		Services:   []routetable.Service{{Name: "s", Engine: engine}},
		Workspaces: []routetable.Workspace{{Name: "w", Keys: []string{"key"}}},
	}
	require.NoError(l.t, t.Build())
	require.True(l.t, l.gateway.SetTable(t))
	require.False(l.t, l.gateway.SetTable(t), "the same number changes nothing")
}

// upstream adds one whose answers h gives.
func (l *lab) upstream(id string, h http.HandlerFunc) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-A", r.Header.Get("X-A"))
		h(w, r)
	}))
	l.t.Cleanup(s.Close)
	l.addresses[id] = s.Listener.Addr().String()
	l.gateway.Merge("c", []registry.Upstream{{
		ID: id, Service: "s", Address: s.Listener.Addr().String(), Slots: 4, Sequence: 1,
	}})
}

func (l *lab) ask(path string, change func(*http.Request)) (*http.Response, string) {
	l.t.Helper()
	r, err := http.NewRequestWithContext(l.t.Context(), http.MethodPost, l.front.URL+path, strings.NewReader("body"))
	require.NoError(l.t, err)
	r.Header.Set("X-A", "attempt")
	r.Header.Set("X-K", "key")
	if change != nil {
		change(r)
	}
	resp, err := l.front.Client().Do(r)
	require.NoError(l.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body)
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-N", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestRequestGoesThroughUnchanged(t *testing.T) {
	l := newLab(t)
	resp, _ := l.ask("/safe/x", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "no configuration yet")
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	l.table(nil)
	l.upstream("u1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		left, _ := strconv.Atoi(r.Header.Get("X-D"))
		require.Positive(t, left)
		require.LessOrEqual(t, left, 7000)
		require.Empty(t, r.Header.Get("X-K"))
		_, _ = fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", string(body), " ", r.Header.Get("X-W"), " ", r.Header.Get("X-I"))
	})
	resp, body := l.ask("/safe/x//y?a=%20b", func(r *http.Request) {
		r.Header.Set("X-W", "forged")
		r.Header.Set("X-D", "7000")
	})
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "POST /safe/x//y?a=%20b body w u1", body)
}

func TestRefusalsOfTheGateway(t *testing.T) {
	l := newLab(t)
	l.table(nil)
	resp, _ := l.ask("/nowhere/", nil)
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	resp, _ = l.ask("/safe/", func(r *http.Request) { r.Header.Set("X-K", "other") })
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	resp, _ = l.ask("/unsafe/", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "no upstream: it has not run")
	require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
}

func TestNotRunIsSentElsewhere(t *testing.T) {
	l := newLab(t)
	l.table(nil)
	var refusals, runs atomic.Int64
	l.upstream("u1", func(w http.ResponseWriter, r *http.Request) { refusals.Add(1); notRun(w, r) })
	l.upstream("u2", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	for refusals.Load() == 0 {
		resp, _ := l.ask("/unsafe/", nil)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Positive(t, runs.Load())
}

func TestMayHaveRunIsNeverRepeatedWhereItMustNot(t *testing.T) {
	l := newLab(t)
	l.table(nil)
	var sends atomic.Int64
	for _, id := range []string{"u1", "u2"} {
		l.upstream(id, func(w http.ResponseWriter, r *http.Request) { sends.Add(1); hangUp(w, r) })
	}
	resp, _ := l.ask("/unsafe/", nil)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.EqualValues(t, 1, sends.Load())
	resp, _ = l.ask("/safe/", nil)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.EqualValues(t, 3, sends.Load(), "a safe one is sent twice")
}

// A request that may have run is not told otherwise because a later attempt was refused.
func TestLaterRefusalDoesNotHideAnAttempt(t *testing.T) {
	l := newLab(t)
	l.table(nil)
	var sends atomic.Int64
	for _, id := range []string{"u1", "u2"} {
		l.upstream(id, func(w http.ResponseWriter, r *http.Request) {
			if sends.Add(1) == 1 {
				hangUp(w, r)
			}
			notRun(w, r)
		})
	}
	resp, _ := l.ask("/safe/", nil)
	require.EqualValues(t, 2, sends.Load())
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, "may-have-run", resp.Header.Get(verdict.Header))
}

// A status that promises that a request has not run is passed on only where the upstream
// says so.
func TestBareRefusalOfAnUpstreamIsNoPromise(t *testing.T) {
	l := newLab(t)
	l.table(nil)
	l.upstream("u1", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	resp, _ := l.ask("/unsafe/", nil)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
}

// events writes the events after the caller's last one, and breaks off before stop.
func events(stop int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first, _ := strconv.Atoi(r.Header.Get("X-R"))
		w.Header().Set("Content-Type", "text/event-stream")
		for id := first + 1; id <= 6; id++ {
			if id == stop {
				_, _ = fmt.Fprintf(w, "id: %d\nda", id)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func wholeStream() string {
	var b strings.Builder
	for id := 1; id <= 6; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", id)
	}
	return b.String()
}

func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	for stop := 1; stop <= 6; stop++ {
		l := newLab(t)
		l.table(nil)
		var sends atomic.Int64
		for _, id := range []string{"u1", "u2"} {
			l.upstream(id, func(w http.ResponseWriter, r *http.Request) {
				if sends.Add(1) == 1 {
					events(stop)(w, r)
					return
				}
				events(0)(w, r)
			})
		}
		resp, body := l.ask("/stream/", nil)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, wholeStream(), body, "broken off at event %d", stop)
		require.EqualValues(t, 2, sends.Load())
	}
}

func TestStreamThatCannotGoOnDoesNotLookWhole(t *testing.T) {
	l := newLab(t)
	l.table(nil)
	for _, id := range []string{"u1", "u2"} {
		l.upstream(id, events(4))
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, l.front.URL+"/stream/", nil)
	require.NoError(t, err)
	r.Header.Set("X-K", "key")
	resp, err := l.front.Client().Do(r)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}

var engine = &routetable.Engine{Slots: 2, Stride: 1, StepTime: time.Millisecond}

func (l *lab) load(id string, total int, isOpen bool) {
	l.tell(id, wire.EngineLoad{IsOpen: isOpen, Running: total})
}

// tell hands the load of an upstream to the gateway.
func (l *lab) tell(id string, load wire.EngineLoad) {
	load.Address = l.addresses[id]
	l.gateway.SetLoads([]wire.EngineLoad{load})
}

// The pauses between the events of streams tell how many requests the engines of a group bear.
func TestPausesOfStreamsTellHowManyPlacesThereAre(t *testing.T) {
	l := newLab(t)
	l.gap = 110 * time.Millisecond
	l.table(&routetable.Engine{
		Slots: 10, Stride: 5, StepTime: 5 * time.Millisecond, StepTimePerRequest: time.Millisecond,
		Experts: routetable.Experts{Sets: 1, ExpertsPerSet: 8, Slots: 2, WorkShare: 0.85},
	})
	l.upstream("u1", events(0))
	places := func() float64 {
		l.tell("u1", wire.EngineLoad{IsOpen: true, Group: "g", Epoch: 1})
		l.gateway.mu.Lock()
		defer l.gateway.mu.Unlock()
		return l.gateway.scheduler.State("s", l.gateway.now()).Capacity
	}
	l.tell("u1", wire.EngineLoad{IsOpen: true, Group: "g", Epoch: 1})
	resp, _ := l.ask("/stream/", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	least := places()
	require.Eventually(t, func() bool {
		l.later.Add(int64(500 * time.Millisecond))
		l.tell("u1", wire.EngineLoad{IsOpen: true, Group: "g", Epoch: 1})
		_, _ = l.ask("/stream/", nil)
		return places() > least
	}, patience, time.Millisecond)
}

// waiting counts the requests that wait for a place.
func (l *lab) waiting() int {
	l.gateway.mu.Lock()
	defer l.gateway.mu.Unlock()
	return len(l.gateway.waiting)
}

func TestRequestWaitsForAPlace(t *testing.T) {
	l := newLab(t)
	l.table(engine)
	l.upstream("u1", func(http.ResponseWriter, *http.Request) {})
	l.load("u1", 2, true)
	done := make(chan int, 1)
	go func() {
		resp, _ := l.ask("/stream/", nil)
		done <- resp.StatusCode
	}()
	require.Eventually(t, func() bool { return l.waiting() == 1 }, 20*time.Second, time.Millisecond)
	l.load("u1", 0, true)
	require.Equal(t, http.StatusOK, <-done)
}

// While a group does not serve, callers that have time are sent away at once, and told
// when to come back.
func TestOutageIsToldAtOnce(t *testing.T) {
	l := newLab(t)
	l.table(engine)
	l.upstream("u1", func(http.ResponseWriter, *http.Request) { t.Error("sent into an outage") })
	l.load("u1", 0, false)
	began := time.Now()
	resp, _ := l.ask("/stream/", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 1.0)
	require.Less(t, time.Since(began), schedule.MaxQueueWait)
}

// A workspace's own priority goes before that of the route.
func TestWorkspacePriorityGoesBeforeTheRoutes(t *testing.T) {
	l := newLab(t)
	route := routetable.Route{
		Name: "stream", HostName: "127.0.0.1", Prefix: "/stream/", Kind: routetable.Stream, Timeout: 20 * time.Second,
		TargetLatency: 20 * time.Second, AttemptLimit: 1, Priority: 100, ServiceWeights: []routetable.ServiceWeight{{Service: "s", Weight: 1}},
	}
	tb := &routetable.Table{
		Number: 1, Routes: []routetable.Route{route}, Services: []routetable.Service{{Name: "s", Engine: engine}},
		Workspaces: []routetable.Workspace{
			{Name: "w", Keys: []string{"key"}}, {Name: "urgent", Keys: []string{"other"}, HasPriority: true},
		},
	}
	require.NoError(t, tb.Build())
	require.True(t, l.gateway.SetTable(tb))
	for key, want := range map[string]int{"key": 100, "other": 0} {
		r := httptest.NewRequest(http.MethodPost, "/stream/", nil)
		r.Host = "127.0.0.1"
		r.Header.Set("X-K", key)
		c := &call{g: l.gateway, r: r, began: time.Now()}
		require.NoError(t, c.prepare())
		require.Equal(t, want, c.priority, key)
	}
}

// Callers that come while a host starts are served once its configuration is there: many
// of them have just lost a stream, and have one try left.
func TestRequestsWaitForWhatIsOnItsWayAtAStart(t *testing.T) {
	for _, engine := range []*routetable.Engine{nil, engine} {
		l := startedLab(t)
		answered := make(chan string, 1)
		go func() {
			_, body := l.ask("/safe/x", nil)
			answered <- body
		}()
		l.table(engine)
		l.upstream("u", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
		require.Equal(t, "answer", <-answered)
	}
	l := newLab(t)
	resp, _ := l.ask("/safe/x", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "a host that has been up for long has lost them")
}

// An address that another upstream has now is no attempt at an upstream of the route: the
// request goes on, until it finds one or none is left.
func TestMisdirectedAttemptsDoNotCount(t *testing.T) {
	l := newLab(t)
	l.table(nil)
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		l.upstream(id, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	}
	l.upstream("right", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	resp, body := l.ask("/unsafe/", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "answer", body)
}
