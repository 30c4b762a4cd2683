package local

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a measurement that panics because one of its processes was never started.
func TestUsageOfUnstartedProcessIsAnError(t *testing.T) {
	_, err := (&Process{Name: "a"}).Usage()
	require.ErrorContains(t, err, "a is not started")
}
