package main

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// runCommand runs the command with three seeds and returns what it printed.
func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	cmd := command()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs(append([]string{"--seeds", "3", "--for", "2s", "--jobs", "2"}, args...))
	err := cmd.ExecuteContext(t.Context())
	return out.String(), err
}

// If two runs with the same seeds differed, a comparison with an earlier output would report
// changes that no change of the product caused. An output of other seeds can't be compared.
func TestSameSeedsGiveTheSameOutcome(t *testing.T) {
	first, err := runCommand(t, "-o", "json", "--outage", "1:500ms-1s")
	require.NoError(t, err)
	again, err := runCommand(t, "-o", "json", "--outage", "1:500ms-1s")
	require.NoError(t, err)
	require.Equal(t, first, again)

	name := filepath.Join(t.TempDir(), "before.json")
	require.NoError(t, os.WriteFile(name, []byte(first), 0o600))
	text, err := runCommand(t, "--outage", "1:500ms-1s", "--against", name)
	require.NoError(t, err)
	require.Contains(t, text, "0 ± 0")
	_, err = runCommand(t, "--seed", "9", "--against", name)
	require.ErrorContains(t, err, "not of the seeds")
}

// A wrong flag must give an error instead of a simulation of some other deployment.
func TestInvalidFlagsAreRejected(t *testing.T) {
	for _, args := range [][]string{
		{"--outage", "1"}, {"--outage", "x:1s-2s"}, {"--outage", "7:1s-2s"}, {"--outage", "0:2s-1s"}, {"-o", "xml"},
		{"--swing", "0.5"}, {"--swing", "2", "--period", "13s"}, {"--class", "1:1s"}, {"--class", "0:9s=1"},
		{"--burst", "0:1s-2s"}, {"--burst", "0:2s-1s=2"}, {"--hosts", "0"}, {"--against", "no such file"}, {"--patience", "1ms"}, {"--jobs", "0"}, {"--callers", "-1"},
	} {
		_, err := runCommand(t, args...)
		require.Error(t, err, args)
	}
}

// A wrong interval would present noise between seeds as a change, or hide a change. One value has
// no interval.
func TestIntervalOfMeanUsesStudentsDistribution(t *testing.T) {
	require.Equal(t, interval{3, math.Inf(1)}, intervalOf([]float64{3}))
	i := intervalOf([]float64{1, 2, 3, 4, 5})
	require.InDelta(t, 3, i.mean, 1e-9)
	// 2.776 is the 97.5 % quantile of Student's t-distribution with four degrees of freedom, 1.5811
	// the standard deviation of the values.
	require.InDelta(t, 2.776*1.5811/math.Sqrt(5), i.halfWidth, 1e-3)
}

// A load that does not swing, or a phase that is named wrongly, would judge a change by another
// load than the one named.
func TestPeriodicLoadIsReportedByPhase(t *testing.T) {
	text, err := runCommand(t, "--rate", "200", "--swing", "0.9", "--period", "1s", "-o", "json", "--class", "0:400ms=0.5", "--class", "2:1s=0.5", "--burst", "2:1s-1500ms=3")
	require.NoError(t, err)
	var all []outcome
	require.NoError(t, json.Unmarshal([]byte(text), &all))
	for _, o := range all {
		require.Greater(t, o.Phases["peak p0"].Callers, 2*o.Phases["trough p0"].Callers)
		require.Greater(t, o.Phases["burst p2"].Callers, 2*o.Phases["burst p0"].Callers)
	}
}
