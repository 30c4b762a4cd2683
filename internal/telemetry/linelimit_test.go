package telemetry

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against events that no line tells of, since very many others had lines long ago, and against as many lines
// as there are keys.
func TestFormerKeysDoNotSilenceEvents(t *testing.T) {
	var l LineLimit
	now, lines := time.Unix(1_000_000, 0), 0
	for i := range 2 * maxLineKeys {
		lines += l.Count(strconv.Itoa(i), now)
	}
	require.Equal(t, maxLineKeys, lines)
	require.Zero(t, l.Count("later", now))
	require.Equal(t, 1, l.Count("later", now.Add(LineInterval)))
	require.Zero(t, l.Count("later", now.Add(LineInterval)))
	require.Equal(t, 2, l.Count("later", now.Add(2*LineInterval)), "one was not told")
}
