package wire

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/quarantine"
)

// Guards against suspicions of parts that lose the request that had the part on the way, and against
// those of requests that grow by an empty one.
func TestCarrierIsSentWithPartsOnly(t *testing.T) {
	request := quarantine.Suspicion{Fingerprint: quarantine.Fingerprint{1}, Incarnation: quarantine.Incarnation{Upstream: "u"}}
	part := request
	part.Carrier = quarantine.Fingerprint{2}
	sizes := map[bool]int{}
	for isPart, s := range map[bool]quarantine.Suspicion{false: request, true: part} {
		data, err := Encode(0, false, &Suspicions{All: []quarantine.Suspicion{s}})
		require.NoError(t, err)
		_, m, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, &Suspicions{All: []quarantine.Suspicion{s}}, m)
		sizes[isPart] = len(data)
	}
	require.GreaterOrEqual(t, sizes[true]-sizes[false], len(part.Carrier))
}
