package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/sassafraspost/sassafraspost/test/standin"
)

func TestCallersGetTheirOwnWholeAnswers(t *testing.T) {
	p := startPath(t, nil)
	p.upstream("u1", standin.NewEngine(standin.EngineConfig{}), nil)
	var g errgroup.Group
	for i := range 40 {
		g.Go(func() error {
			prompt := fmt.Sprintf("prompt-%d", i)
			whole(t, prompt, 30, p.complete(prompt, 30, true))
			r := p.complete(prompt, 30, false)
			require.Equal(t, http.StatusOK, r.status)
			require.Contains(t, r.body, standin.Text(prompt, 30))
			return nil
		})
	}
	require.NoError(t, g.Wait())
}
