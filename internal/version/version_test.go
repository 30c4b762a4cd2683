package version

import (
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReleaseIsASemanticVersion(t *testing.T) {
	require.Regexp(t, regexp.MustCompile(`^\d+\.\d+\.\d+$`), Release)
}
