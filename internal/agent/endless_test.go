package agent

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/test/endless"
)

// Guards against a response of an engine without an end that fills the memory of its agent.
func TestEndlessHeadOfEngineEndsEarly(t *testing.T) {
	for name, e := range endless.Heads() {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endless.Serve(t, e), nil)
			require.NoError(t, err)
			_, err = newTransport(1, true).RoundTrip(r)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "ended before the deadline")
		})
	}
}
