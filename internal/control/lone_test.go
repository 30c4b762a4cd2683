package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// A lone control host has no other to ask; its questions have not run.
func TestClientWithoutControlHosts(t *testing.T) {
	_, err := NewClient(nil, nil).Read(t.Context())
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	require.Equal(t, verdict.CodeNoQuorum, verdict.FromError(err).Code)
	require.Positive(t, verdict.FromError(err).RetryAfter)
}
