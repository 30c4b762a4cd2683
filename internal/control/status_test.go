package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/adminapi"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// The status must count hosts by data centre, so that an operator of hundreds of hosts sees
// which data centre lacks the current revision.
func TestStatusCountsHostsByDataCentre(t *testing.T) {
	hosts := make(map[string]wire.ActiveRevision)
	for i := range 300 {
		h := wire.ActiveRevision{Host: fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("centre-%d", i%3), Revision: 5}
		switch {
		case i%3 == 1:
			h.Revision = 4
		case i == 0:
			h.AgeMS = uint64(notHeardTimeout.Milliseconds()) + 1
		}
		hosts[h.Host] = h
	}
	s := status(state.Document{Name: "entries", Revision: 5}, hosts)
	require.Equal(t, []adminapi.DataCentreStatus{
		{Name: "centre-0", InForce: 99, NotHeard: 1}, {Name: "centre-1", Behind: 100}, {Name: "centre-2", InForce: 100},
	}, s.DataCentres)
	require.Equal(t, 199, s.InForce)
	require.Len(t, s.Behind, 100)
	require.Equal(t, []string{"entry-0"}, s.NotHeard)
}
