package group

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// countReached follows a request through all relays. It counts in counts how often each host
// receives the request. It returns the highest number of hosts to which one host sends the
// request, and the number of hops.
func countReached(targets []wire.MapTarget, counts map[string]int) (maxSent, hops int) {
	branches := splitIntoBranches(targets)
	maxSent = len(branches)
	for _, b := range branches {
		counts[string(b.head.Address)]++
		m, h := countReached(b.relayTo, counts)
		maxSent, hops = max(maxSent, m), max(hops, h+1)
	}
	return maxSent, hops
}

// Guards against hosts that a relayed request misses or reaches twice, against hosts that send
// it to more than fanOut others, and against more than two hops.
func TestRelayedRequestReachesEachHostOnce(t *testing.T) {
	for _, n := range []int{0, 1, 7, 12, 13, 31, 62, 127, 156} {
		var targets []wire.MapTarget
		for i := range n {
			targets = append(targets, wire.MapTarget{Address: wire.Address(fmt.Sprint(i))})
		}
		counts := make(map[string]int)
		maxSent, hops := countReached(targets, counts)
		require.Len(t, counts, n)
		for _, times := range counts {
			require.Equal(t, 1, times)
		}
		require.LessOrEqual(t, maxSent, fanOut)
		require.LessOrEqual(t, hops, 2, "%d hosts", n)
	}
}
