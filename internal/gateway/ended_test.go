package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// mortal adds an upstream that ends, as a process does, once a request is made to /*/poison;
// others it answers. It returns how many requests it ran.
func (l *lab) mortal(id string) *atomic.Int64 {
	runs := &atomic.Int64{}
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("X-A", r.Header.Get("X-A"))
		if !strings.HasSuffix(r.URL.Path, "/poison") {
			_, _ = io.WriteString(w, "answer")
			return
		}
		_ = s.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	l.t.Cleanup(s.Close)
	l.addresses[id] = s.Listener.Addr().String()
	l.gateway.Merge("c", []registry.Upstream{{ID: id, Service: "s", Address: l.addresses[id], Slots: 4, Sequence: 1}})
	return runs
}

// A request under which its upstream ended may be what ended it: it goes to no second one in
// the same asking, and its caller learns that it may have run.
func TestRequestUnderWhichAnUpstreamEndedGoesToNoOther(t *testing.T) {
	for path, engine := range map[string]*routetable.Engine{"/safe/poison": nil, "/stream/poison": engine} {
		l := newLab(t)
		l.table(engine)
		runs := []*atomic.Int64{l.mortal("u1"), l.mortal("u2")}
		for _, id := range []string{"u1", "u2"} {
			l.tell(id, wire.EngineLoad{IsOpen: true})
		}
		resp, _ := l.ask(path, nil)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		require.Equal(t, "may-have-run", resp.Header.Get(verdict.Header))
		require.Equal(t, engine != nil, resp.Header.Get("Retry-After") != "", "an engine's group is out until it is back")
		require.EqualValues(t, 1, runs[0].Load()+runs[1].Load())
	}
}

// Held requests reach nobody; the answer says that this asking has not run and invites nobody
// back. Other requests of the same caller are served.
func TestHeldRequestReachesNobody(t *testing.T) {
	l := newLab(t)
	l.table(nil)
	runs := []*atomic.Int64{l.mortal("u1"), l.mortal("u2"), l.mortal("u3")}
	sum := func() (n int64) {
		for _, r := range runs {
			n += r.Load()
		}
		return n
	}
	for range 2 {
		resp, _ := l.ask("/safe/poison", nil)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		l.later.Add(int64(10 * time.Second))
	}
	require.EqualValues(t, 2, sum())
	for range 3 {
		resp, body := l.ask("/safe/poison", nil)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
		require.Empty(t, resp.Header.Get("Retry-After"))
		require.Contains(t, body, "upstreams ended")
	}
	require.EqualValues(t, 2, sum())
	require.Eventually(t, func() bool {
		// Where two of three upstreams are gone a request may find only those.
		resp, body := l.ask("/safe/other", nil)
		return resp.StatusCode == http.StatusOK && body == "answer"
	}, patience, time.Millisecond)
	require.Len(t, l.gateway.cfg.Quarantine.List(), 1)
}

// What another host has found out holds here too, also for a request that waits for its place.
func TestRequestThatWaitsIsRefusedOnceItIsHeld(t *testing.T) {
	l := newLab(t)
	l.table(engine)
	runs := l.mortal("u1")
	l.load("u1", 2, true)
	answer := make(chan *http.Response, 1)
	go func() {
		resp, _ := l.ask("/stream/x", nil)
		answer <- resp
	}()
	require.Eventually(t, func() bool { return l.waiting() == 1 }, patience, time.Millisecond)
	f := l.gateway.cfg.Fingerprints.Of(&quarantine.Request{
		Workspace: "w", Method: http.MethodPost, Host: l.front.Listener.Addr().String(), Target: "/stream/x", Body: []byte("body"),
	})
	told := func(upstream string, age int64) quarantine.Suspicion {
		return quarantine.Suspicion{Fingerprint: f, Workspace: "w", Incarnation: quarantine.Incarnation{Upstream: upstream}, AgeMS: age}
	}
	l.gateway.cfg.Quarantine.Merge([]quarantine.Suspicion{told("far-1", 9000), told("far-2", 2000)})
	l.load("u1", 0, true)
	resp := <-answer
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
	require.Empty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, runs.Load())
}

// An upstream that is back before anybody has looked is known to have ended by its next start.
func TestUpstreamThatIsBackAtOnceHasEnded(t *testing.T) {
	l := newLab(t)
	l.table(nil)
	l.upstream("u1", hangUp)
	resp, _ := l.ask("/safe/x", nil)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Empty(t, l.gateway.cfg.Quarantine.List(), "an answer that breaks off is no end")
	l.gateway.Merge("c", []registry.Upstream{{ID: "u1b", Service: "s", Address: l.addresses["u1"], Slots: 4, Sequence: 1}})
	list := l.gateway.cfg.Quarantine.List()
	require.Len(t, list, 1)
	require.Equal(t, quarantine.Suspect, list[0].Verdict)
	require.Equal(t, "u1", list[0].Crashes[0].Upstream)
}

// A whole answer takes back what was held against a request.
func TestWholeAnswerClearsARequest(t *testing.T) {
	l := newLab(t)
	l.table(nil)
	l.mortal("u1")
	resp, _ := l.ask("/safe/poison", nil)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Len(t, l.gateway.cfg.Quarantine.List(), 1)
	l.upstream("u2", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	require.Eventually(t, func() bool {
		resp, _ := l.ask("/safe/poison", nil)
		return resp.StatusCode == http.StatusOK
	}, patience, time.Millisecond)
	require.Empty(t, l.gateway.cfg.Quarantine.List())
}

// An upstream that has said that it leaves ends by itself, with what it still runs: nobody is
// suspected, and what may be repeated goes on elsewhere.
func TestUpstreamThatLeavesEndsByItself(t *testing.T) {
	l := newLab(t)
	l.table(nil)
	var ended atomic.Bool
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.gateway.Merge("c", []registry.Upstream{{
			ID: "u1", Service: "s", Address: l.addresses["u1"], Slots: 4, Sequence: 2, State: registry.Draining,
		}})
		_ = s.Listener.Close()
		ended.Store(true)
		hangUp(w, r)
	}))
	t.Cleanup(s.Close)
	l.addresses["u1"] = s.Listener.Addr().String()
	l.gateway.Merge("c", []registry.Upstream{{ID: "u1", Service: "s", Address: l.addresses["u1"], Slots: 4, Sequence: 1}})
	l.upstream("u2", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	require.Eventually(t, func() bool {
		resp, body := l.ask("/safe/x", nil)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "answer", body)
		return ended.Load()
	}, patience, time.Millisecond)
	require.Empty(t, l.gateway.cfg.Quarantine.List())
}
