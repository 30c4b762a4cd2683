package wire

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/registry"
)

// Guards against calls under ever new ids that make the list of upstreams larger than a message may be: no host
// would be told of any upstream then.
func TestListOfAllUpstreamsFitsIntoMessage(t *testing.T) {
	const nameBytes, calls = 256, 20_000
	name := strings.Repeat("n", nameBytes)
	r := registry.New(registry.Limits{})
	accepted := 0
	for i := range calls {
		u := registry.Upstream{
			ID: fmt.Sprintf("%0*d", nameBytes, i), Service: name, DataCentre: name, Address: "[2001:db8:1111:2222:3333:4444:5555:6666]:65535",
			Slots: 1 << 16, Sequence: 1<<64 - 1, ColdRemainingMS: 1 << 40, StartedAt: 1 << 41, State: registry.State(i % 3), IsSilent: true,
		}
		if _, _, err := r.Announce(u, 0); err == nil {
			accepted++
		}
	}
	require.Greater(t, accepted, 10_000)
	require.Less(t, accepted, calls)
	known := r.List(0)[0]
	known.Slots, known.StartedAt = 5, known.StartedAt+1
	_, _, err := r.Announce(known, 0)
	require.NoError(t, err, "a known upstream is still heard")
	_, err = Encode(0, false, &Upstreams{All: r.List(0), Departures: r.Departures(0)})
	require.NoError(t, err)
}
