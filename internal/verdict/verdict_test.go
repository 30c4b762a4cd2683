package verdict

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

func TestFromErrorOfUnknownErrorMayHaveRun(t *testing.T) {
	require.Equal(t, MayHaveRun, FromError(errors.New("broken pipe")).Verdict)
	wrapped := errors.Wrap(New(NotRun, CodeDraining, "agent is leaving"), "dispatch")
	require.Equal(t, NotRun, FromError(wrapped).Verdict)
}

func TestParseInvertsString(t *testing.T) {
	for v := range names {
		got, err := Parse(v.String())
		require.NoError(t, err)
		require.Equal(t, v, got)
	}
	_, err := Parse("perhaps")
	require.Error(t, err)
}
