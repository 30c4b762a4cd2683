package group

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/test/endless"
)

// Guards against an answer of an engine without an end that fills the memory of its agent.
func TestEndlessAnswerOfEngineEndsEarly(t *testing.T) {
	all := endless.Heads()
	all["body"] = endless.Body()
	for name, e := range all {
		t.Run(name, func(t *testing.T) {
			engine := NewEngine("http://"+endless.Serve(t, e), 0)
			engine.client.Timeout = 10 * time.Second
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := engine.Status(ctx)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "ended before the deadline")
		})
	}
}
