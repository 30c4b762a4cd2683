package group

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// reach counts how often each host is sent a request, and the most that one host sends.
func reach(targets []wire.MapTarget, got map[string]int) (most, hops int) {
	all := divide(targets)
	most = len(all)
	for _, b := range all {
		got[string(b.head.Address)]++
		m, h := reach(b.below, got)
		most, hops = max(most, m), max(hops, h+1)
	}
	return most, hops
}

func TestRequestsReachEachHostOnceInTwoHops(t *testing.T) {
	for _, n := range []int{0, 1, 7, 12, 13, 31, 62, 127, 156} {
		var targets []wire.MapTarget
		for i := range n {
			targets = append(targets, wire.MapTarget{Address: wire.Address(fmt.Sprint(i))})
		}
		got := make(map[string]int)
		most, hops := reach(targets, got)
		require.Len(t, got, n)
		for _, times := range got {
			require.Equal(t, 1, times)
		}
		require.LessOrEqual(t, most, fanOut)
		require.LessOrEqual(t, hops, 2, "%d hosts", n)
	}
}
