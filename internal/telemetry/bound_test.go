package telemetry

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against log lines that grow with what callers send: an attempt id of 5,000 bytes that are not valid
// UTF-8 made a line of 30,000.
func TestForeignTextIsCutInLogLines(t *testing.T) {
	for name, text := range map[string]string{
		"invalid": strings.Repeat("\xff", 64<<10), "control": strings.Repeat("\x01", 64<<10), "character cut": strings.Repeat("a", maxTextBytes-1) + "öö",
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			log, flush := NewNonBlockingLogger(&out, slog.LevelInfo)
			log.With("request", text).Warn("attempt failed", "error", errors.New(text), slog.Group("g", "id", text))
			flush()
			require.Less(t, out.Len(), 24*maxTextBytes)
			var line map[string]any
			require.NoError(t, json.Unmarshal(out.Bytes(), &line))
			require.Contains(t, line["request"], "bytes)")
			require.Equal(t, line["request"], line["error"])
		})
	}
}

func TestShortTextAndStacksAreLoggedWhole(t *testing.T) {
	var out bytes.Buffer
	stack := strings.Repeat("frame\n", maxTextBytes)
	NewLogger(&out, true, slog.LevelInfo).Info("event", "id", "i-ö", "error", errors.New("none"), StackKey, stack)
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "i-ö", line["id"])
	require.Equal(t, "none", line["error"])
	require.Equal(t, stack, line[StackKey])
}

// Guards against log lines that grow with the number of names in them, such as those of all evacuated data centres.
func TestLongListsAreCutInLogLines(t *testing.T) {
	var out bytes.Buffer
	names := slices.Repeat([]string{strings.Repeat("\xff", 256)}, 1000)
	log := NewLogger(&out, true, slog.LevelInfo)
	log.Info("event", "names", names)
	require.Less(t, out.Len(), 24*maxTextBytes)
	var line struct{ Names []string }
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "... (1000 in all)", line.Names[len(line.Names)-1])
	out.Reset()
	log.Info("event", "names", []string{"a", "ö"})
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, []string{"a", "ö"}, line.Names)
}
