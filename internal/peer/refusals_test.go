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
