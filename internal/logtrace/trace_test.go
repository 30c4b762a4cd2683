package logtrace

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sampleLogs = `  12.1 entry-1 {"time":"2026-05-07T09:12:50Z","level":"INFO","msg":"configuration in force","host":"entry-1","configuration":5}
{"time":"2026-05-07T09:12:50.01Z","level":"INFO","msg":"configuration in force","host":"control-1","configuration":5}
{"time":"2026-05-07T09:12:52Z","level":"INFO","msg":"configuration in force","host":"control-2","configuration":5}
{"time":"2026-05-07T09:12:53Z","level":"INFO","msg":"request sent","host":"entry-1","request":"r1","upstream":"u1","send":1}
{"time":"2026-05-07T09:12:53Z","level":"INFO","msg":"request sent","host":"entry-1","request":"r2","upstream":"u1","send":1}
not a line of the system
{"time":"2026-05-07T09:12:54.5Z","level":"INFO","msg":"upstream is silent","host":"control-2","upstream":"u1"}
{"time":"2026-05-07T09:12:53.5Z","level":"WARN","msg":"request failed","host":"entry-1","request":"r1","status":503}
{"time":"2026-05-07T09:13:30Z","level":"INFO","msg":"upstream is silent","host":"control-1","upstream":"u1"}
`

// The trace of r1 must contain its own lines and the line about its upstream shortly before, in
// corrected order, but neither the line of r2 nor the upstream line half a minute later.
func TestFindCorrectsClocksAndAddsUpstreamLines(t *testing.T) {
	all, err := Read(strings.NewReader(sampleLogs))
	require.NoError(t, err)
	require.Len(t, all, 8)
	trace := Find(all, "r1")
	var messages []string
	for _, l := range trace.Lines {
		messages = append(messages, l.Message)
	}
	// The clock of control-2 is two seconds ahead, so its line comes first.
	require.Equal(t, []string{"upstream is silent", "request sent", "request failed"}, messages)
	require.InDelta(t, 2*time.Second, trace.ClockOffsets["control-2"], float64(50*time.Millisecond))
	require.NotContains(t, trace.ClockOffsets, "control-1")
	var out strings.Builder
	require.NoError(t, trace.Write(&out))
	require.Contains(t, out.String(), "~ upstream is silent")
	require.Contains(t, out.String(), "status=503")
	require.Contains(t, out.String(), "clock of control-2 taken back by 1.99s")
	require.Empty(t, Find(all, "r9").Lines)
}
