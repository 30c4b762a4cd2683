package rank

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// failingClient returns an error and only a part of the answer from Experts while isFailing is
// set.
type failingClient struct {
	*simEngine
	isFailing bool
}

func (e *failingClient) Experts(context.Context) (uint64, [][]uint16, error) {
	if e.isFailing {
		return e.state.Map, nil, errors.New("connection lost")
	}
	return e.state.Map, [][]uint16{{uint16(e.state.Map)}}, nil
}

// Guards against taking the part of the experts that came before a failed read for all of them:
// the next Load must read them again.
func TestExpertsAreReadAgainAfterFailure(t *testing.T) {
	c := &failingClient{simEngine: newGroup(1).engines[0]}
	engine := New(c, 1, 1)
	_, err := engine.Load(t.Context())
	require.NoError(t, err)
	c.state.Map, c.isFailing = 5, true
	_, err = engine.Load(t.Context())
	require.Error(t, err)
	c.isFailing = false
	l, err := engine.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, [][]uint16{{5}}, l.ExpertsByLayer)
}
