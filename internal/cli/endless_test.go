package cli

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/test/endless"
)

// Guards against an answer without an end that fills the memory of the operator's machine.
func TestEndlessAnswerEndsEarly(t *testing.T) {
	all := endless.Heads()
	all["body"] = endless.Body()
	for name, e := range all {
		t.Run(name, func(t *testing.T) {
			o := &options{timeout: 20 * time.Second}
			began := time.Now()
			body, err := o.fetchMetrics(t.Context(), endless.Serve(t, e))
			require.True(t, err != nil || len(body) <= maxMetricsBytes)
			require.Less(t, time.Since(began), o.timeout)
		})
	}
}
