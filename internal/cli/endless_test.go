package cli

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/test/endless"
)

// Guards against an answer without an end that fills the memory of the operator's machine.
func TestEndlessAnswerEndsEarly(t *testing.T) {
	all := endless.Heads()
	all["body"] = endless.Body()
	endless.RequireEndsEarly(t, all, func(ctx context.Context, address string) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
		require.NoError(t, err)
		transport, err := newTransport("")
		require.NoError(t, err)
		resp, err := limitedTransport{transport}.RoundTrip(r)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return err
	})
}
