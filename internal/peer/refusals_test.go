package peer

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against a message that is refused again and again without a line that names it, and against one
// line for each of them.
func TestRefusedMessagesAreLoggedAtABoundedRate(t *testing.T) {
	var out bytes.Buffer
	r := newRefusals("refused", metrics.NewCounter(), slog.New(slog.NewTextHandler(&out, nil)))
	start, reason := time.Now(), errors.New("invalid text")
	for i := range 25 {
		r.add("host-1", wire.KindUpstreams, reason, start.Add(time.Duration(i)*time.Second))
	}
	r.add("host-2", wire.KindUpstreams, reason, start)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4, out.String())
	for i, want := range []string{"peer=host-1 count=1 ", "peer=host-1 count=10 ", "peer=host-1 count=10 ", "peer=host-2 count=1 "} {
		require.Contains(t, lines[i], want)
		require.Contains(t, lines[i], `kind=Upstreams`)
		require.Contains(t, lines[i], `error="invalid text"`)
	}
	require.Equal(t, int64(26), r.counter.Count())
}

// Guards against refused messages that no line tells of, since a host has sent messages of very many kinds that
// this build does not know.
func TestUnknownKindsDoNotSilenceRefusals(t *testing.T) {
	var out bytes.Buffer
	r := newRefusals("message can't be decoded", metrics.NewCounter(), slog.New(slog.NewJSONHandler(&out, nil)))
	now := time.Unix(1_000_000, 0)
	for i := range 4096 {
		r.add("a", wire.Kind(1000+i), errors.New("unknown"), now)
	}
	require.Equal(t, 1, strings.Count(out.String(), "\n"), "lines about unknown kinds")
	r.add("b", wire.KindUpstreams, errors.New("invalid"), now.Add(time.Second))
	require.Contains(t, out.String(), `"peer":"b"`)
}
