package integration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/test/local"
)

// Guards against an agent that was frozen and then begins with the requests that it was sent meanwhile
// before it has read that their callers have left.
func TestThawedAgentBeginsNothingForCallersThatHaveLeft(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{Control: 1, Entries: 1, Engines: 1, EngineArgs: []string{"--step", "10ms"}})
	agent := s.Agents[0]
	const (
		callers = 30
		// callersWait and freezeTime are shorter than the silence after which the agent's session ends.
		callersWait, freezeTime = time.Second, 2 * time.Second
		// settledTime is the time after the freeze by which the agent has begun what it begins.
		settledTime = 500 * time.Millisecond
		tokens      = 20
	)
	agent.Freeze()
	began := time.Now()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			ctx, leave := context.WithTimeout(s.ctx, callersWait)
			defer leave()
			request := local.CompletionRequest(fmt.Sprint("leaver ", i), tokens, true)
			request.ID = fmt.Sprint("leaver-", i)
			local.Do(ctx, s.Entries[0].ListenAddress, request)
		})
	}
	wg.Wait()
	pause.For(s.ctx, freezeTime-time.Since(began))
	agent.Thaw()
	s.await("a completion", func() bool {
		return s.sendRequest(s.Entries[0], local.CompletionRequest("stays", tokens, true)).Err == nil
	})
	pause.For(s.ctx, settledTime)
	started := 0
	for id, e := range s.executions().ByRequest {
		if strings.HasPrefix(id, "leaver-") {
			started += e.Started
		}
	}
	require.Zero(t, started, "executions for callers that have left")
}
