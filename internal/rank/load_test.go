package rank

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// brokenReads fails some reads of the experts, after a part of the answer.
type brokenReads struct {
	*simEngine
	isBroken bool
}

func (e *brokenReads) Experts(context.Context) (uint64, [][]uint16, error) {
	if e.isBroken {
		return e.state.Map, nil, errors.New("the answer broke off")
	}
	return e.state.Map, [][]uint16{{uint16(e.state.Map)}}, nil
}

// A read of the experts that fails is made again; what came of it is not taken for all.
func TestExpertsAreReadAgainAfterAFailure(t *testing.T) {
	c := &brokenReads{simEngine: newGroup(1).engines[0]}
	engine := New(c, 1, 1)
	_, err := engine.Load(t.Context())
	require.NoError(t, err)
	c.state.Map, c.isBroken = 5, true
	_, err = engine.Load(t.Context())
	require.Error(t, err)
	c.isBroken = false
	l, err := engine.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, [][]uint16{{5}}, l.Held)
}
