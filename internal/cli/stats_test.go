package cli

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/telemetry"
)

func TestStatsPrintsOneColumnPerHost(t *testing.T) {
	var addresses []string
	for i := range 2 {
		reg := metrics.NewRegistry()
		metrics.GetOrRegisterCounter("gateway.queue.entered", reg).Inc(int64(7 + i))
		metrics.GetOrRegisterCounter("other", reg).Inc(1)
		s := httptest.NewServer(telemetry.Handler(reg))
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	var out, failures bytes.Buffer
	args := append([]string{"stats", "--match", "gateway"}, addresses...)
	require.Equal(t, ExitOK, Run(t.Context(), args, &out, &failures), failures.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	require.Equal(t, []string{"gateway_queue_entered", "7", "8"}, strings.Fields(lines[1]))
	require.Equal(t, ExitUsage, Run(t.Context(), []string{"stats"}, &out, &failures))
}

// A table with a column per host is unreadable for 300 hosts. The summary must have one row per
// metric and name the hosts with the highest values.
func TestStatsSummaryNamesHighestHosts(t *testing.T) {
	s := &statsTable{values: map[string]map[string]string{"sassafraspost_a": {}, "text": {"h1": "x"}}}
	for i := range 300 {
		s.values["sassafraspost_a"][fmt.Sprintf("h%d", i)] = strconv.Itoa(i % 10)
	}
	s.values["sassafraspost_a"]["h7"] = "1000"
	all := s.summaries()
	require.Len(t, all, 1)
	require.Equal(t, "a", all[0].Metric)
	require.Equal(t, 300, all[0].Hosts)
	require.InDelta(t, 300*4.5-7+1000, all[0].Sum, 0)
	require.Equal(t, hostValue{Host: "h7", Value: 1000}, all[0].Highest[0])
	require.Len(t, all[0].Highest, maxNamedHosts)

	reg := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("gateway.queue.entered", reg).Inc(7)
	srv := httptest.NewServer(telemetry.Handler(reg))
	t.Cleanup(srv.Close)
	var out, failures bytes.Buffer
	args := []string{"stats", "--summary", "-o", "json", srv.Listener.Addr().String()}
	require.Equal(t, ExitOK, Run(t.Context(), args, &out, &failures), failures.String())
	require.Contains(t, out.String(), `"metric":"gateway_queue_entered","hosts":1,"sum":7`)
}

// An unreachable host must be reported, and must not hide the metrics of the others.
func TestStatsReportsUnreachableHosts(t *testing.T) {
	reg := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("gateway.queue.entered", reg).Inc(7)
	up := httptest.NewServer(telemetry.Handler(reg))
	t.Cleanup(up.Close)
	down := httptest.NewServer(nil)
	down.Close()
	addresses := []string{down.Listener.Addr().String(), up.Listener.Addr().String()}
	for _, flags := range [][]string{{"stats"}, {"stats", "--summary"}, {"stats", "-o", "json"}, {"stats", "--summary", "-o", "json"}} {
		var out, failures bytes.Buffer
		require.Equal(t, ExitPartial, Run(t.Context(), append(flags, addresses...), &out, &failures), flags)
		require.Contains(t, out.String(), "gateway_queue_entered", flags)
		require.NotContains(t, out.String(), addresses[0], flags)
		require.Contains(t, failures.String(), addresses[0], flags)
		require.Contains(t, failures.String(), "1 of 2 hosts did not answer", flags)
	}
	var out, failures bytes.Buffer
	require.Equal(t, ExitNotRun, Run(t.Context(), []string{"stats", addresses[0]}, &out, &failures))
	require.Empty(t, out.String())
}

func TestStatsAsJSON(t *testing.T) {
	reg := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("gateway.queue.entered", reg).Inc(7)
	srv := httptest.NewServer(telemetry.Handler(reg))
	t.Cleanup(srv.Close)
	address := srv.Listener.Addr().String()
	var out, failures bytes.Buffer
	require.Equal(t, ExitOK, Run(t.Context(), []string{"stats", "-o", "json", "--match", "entered", address}, &out, &failures), failures.String())
	require.JSONEq(t, `{"gateway_queue_entered":{"`+address+`":"7"}}`, out.String())
}

func TestTraceReadsLogFiles(t *testing.T) {
	name := filepath.Join(t.TempDir(), "log")
	line := `{"time":"2026-05-07T09:12:53Z","level":"WARN","msg":"request failed","host":"entry-1","request":"r1","status":503}`
	require.NoError(t, os.WriteFile(name, []byte(line+"\n"), 0o600))
	var out, failures bytes.Buffer
	require.Equal(t, ExitOK, Run(t.Context(), []string{"trace", "r1", name}, &out, &failures), failures.String())
	require.Contains(t, out.String(), "request failed")
	require.NotEqual(t, ExitOK, Run(t.Context(), []string{"trace", "r2", name}, &out, &failures))
	require.Contains(t, failures.String(), "no line of request")
	require.NotEqual(t, ExitOK, Run(t.Context(), []string{"trace", "r1", name + "x"}, &out, &failures))
}
