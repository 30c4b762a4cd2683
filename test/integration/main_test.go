// Package integration tests the guarantees of the whole system with real processes on loopback,
// connected through fault-injecting proxies.
package integration

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/test/local"
)

// conditionTimeout is how long await waits for a condition. Conditions are met much earlier in a
// test that passes.
const conditionTimeout = 60 * time.Second

// binaries is the folder of the programs that TestMain has built.
var binaries string

// systemSemaphore limits the number of systems that run at once. With more, parallel tests would
// take so much CPU time from each other that timeouts expire.
var systemSemaphore = make(chan struct{}, 5)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sassafraspost-integration-")
	if err == nil {
		err = local.Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// system is the system that a test runs, with helpers that fail the test.
type system struct {
	*local.System
	t   *testing.T
	ctx context.Context
	// diskLostAt is when a control host last lost its disk.
	diskLostAt time.Time
}

// start starts a system with a document in force, and stops it when the test ends.
func start(t *testing.T, layout local.Layout) *system {
	t.Helper()
	s := startEmpty(t, layout)
	require.NoError(t, s.Prepare(s.ctx, local.Document("v1")))
	return s
}

// startEmpty starts a system whose cluster is not bootstrapped yet, and stops it when the test
// ends.
func startEmpty(t *testing.T, layout local.Layout) *system {
	t.Helper()
	systemSemaphore <- struct{}{}
	t.Cleanup(func() { <-systemSemaphore })
	inner, err := local.New(t.TempDir(), binaries, layout)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 3*conditionTimeout)
	s := &system{System: inner, t: t, ctx: ctx}
	t.Cleanup(func() {
		cancel()
		inner.Stop()
		if t.Failed() {
			s.showLogs()
		}
	})
	require.NoError(t, inner.Start())
	return s
}

func (s *system) showLogs() {
	for _, h := range s.Daemons() {
		s.t.Logf("== %s\n%s", h.Name, h.Log())
	}
}

// await polls until ok returns true. It fails the test after conditionTimeout.
func (s *system) await(what string, ok func() bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, conditionTimeout)
	defer cancel()
	require.NoError(s.t, local.Await(ctx, ok), what)
}

// sendRequest sends a request to an entry host.
func (s *system) sendRequest(entry *local.Host, q local.Request) local.Response {
	return local.Do(s.ctx, entry.ListenAddress, q)
}

// leader waits until the cluster has a leader and returns its host.
func (s *system) leader() *local.Host {
	s.t.Helper()
	var name string
	s.await("a leader", func() bool {
		name = s.Leader(s.ctx)
		return name != ""
	})
	h, err := s.Find(name)
	require.NoError(s.t, err)
	return h
}

// shutDown asks a process to shut down gracefully, waits until it has ended and requires exit
// status 0.
func (s *system) shutDown(h *local.Host) {
	s.t.Helper()
	h.Terminate()
	select {
	case <-h.Done():
	case <-s.ctx.Done():
		require.Fail(s.t, h.Name+" did not end")
	}
	require.NoError(s.t, h.Err(), h.Name+" ended in failure")
}
