package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// The only control host of a system has no other hosts to ask. Its calls must fail as not
// run, with a time after which to retry.
func TestClientWithoutHostsFailsAsNotRun(t *testing.T) {
	_, err := NewClient(nil, nil).Read(t.Context())
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	require.Equal(t, verdict.CodeNoQuorum, verdict.FromError(err).Code)
	require.Positive(t, verdict.FromError(err).RetryAfter)
}
