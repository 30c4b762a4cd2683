package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// An entry host that reaches the upstreams, but no control host and no other entry host, must learn
// from the agents that a request is in quarantine. Otherwise it goes on to crash upstreams with the
// request for as long as it is cut off.
func TestEntryHostWithoutControlHostsLearnsOfQuarantine(t *testing.T) {
	t.Parallel()
	const downtime = time.Second
	s := start(t, local.Layout{Control: 1, Entries: 2, Engines: 3, HasProxies: true,
		EngineArgs: []string{"--step", "10ms", "--away", downtime.String()}})
	poison := local.CompletionRequest(standin.Poison+" request", 4, true)
	isQuarantined := func(r local.Response) bool { return strings.Contains(r.Body, string(verdict.CodeQuarantined)) }
	connected, isolated := s.Entries[0], s.Entries[1]
	s.Cut(isolated)
	for range 2 {
		require.Equal(t, http.StatusBadGateway, s.sendRequest(connected, poison).Status)
		// Crashes that follow each other more closely could count as one execution.
		time.Sleep(downtime)
	}
	require.True(t, isQuarantined(s.sendRequest(connected, poison)))
	n := 0
	s.await("the quarantine at the isolated host", func() bool {
		// The isolated host needs a session with an agent to be told.
		n++
		s.sendRequest(isolated, local.CompletionRequest(fmt.Sprint("innocent ", n), 4, true))
		return s.counter(isolated, "quarantine_held") == 1
	})
	require.True(t, isQuarantined(s.sendRequest(isolated, poison)))
	crashes := 0
	for _, a := range s.Agents {
		report, err := local.Executions(s.ctx, a.Upstream)
		require.NoError(t, err)
		crashes += report.Crashes[standin.Poison+" request"]
	}
	require.Equal(t, 2, crashes)
}

// If the session between an entry host and an agent breaks while the upstream executes a request, and
// the upstream then crashes, the entry host does not learn of the crash. The agent must attribute it
// to the request. Otherwise the crash counts as one with another cause, and the request crashes more
// upstreams than the quarantine allows.
func TestCrashAfterLostSessionIsAttributed(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{Control: 1, Entries: 2, Engines: 1, HasProxies: true, EngineArgs: []string{"--step", "300ms", "--away", "3s"}})
	engine := s.Agents[0]
	before := s.executions()
	go s.sendRequest(s.Entries[0], local.CompletionRequest(standin.Poison+" request", 4, true))
	s.await("the start of the request", func() bool { return startedSince(before, s.executions()) > 0 })
	for _, h := range []*local.Host{engine, s.Entries[0]} {
		s.Cut(h)
	}
	s.Heal(engine)
	n := 0
	s.await("the suspicion at the other entry host", func() bool {
		n++
		s.sendRequest(s.Entries[1], local.CompletionRequest(fmt.Sprint("innocent ", n), 1, true))
		return s.counter(s.Entries[1], "quarantine_told") > 0
	})
}
