package spread

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawHosts(t *rapid.T, name string, most int) []Host {
	var out []Host
	for i := range rapid.IntRange(0, most).Draw(t, name) {
		out = append(out, Host{Address: fmt.Sprint(name, i), DataCentre: rapid.SampledFrom([]string{"a", "b", "c", "d", ""}).Draw(t, "data centre")})
	}
	return out
}

// Every receiver must be served exactly once: directly, or by a usable relay of its own data
// centre. Guards against receivers that get nothing or get it twice, and against relays elsewhere.
func TestEveryReceiverIsServedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relays, receivers := drawHosts(t, "relay", 8), drawHosts(t, "receiver", 40)
		c := Config{DataCentre: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "own"), MaxDirect: rapid.IntRange(0, 20).Draw(t, "direct")}
		r := c.Route(relays, receivers)
		isDirect := make(map[int]bool)
		for _, i := range r.Direct {
			require.False(t, isDirect[i])
			isDirect[i] = true
		}
		for i, receiver := range receivers {
			relay, isRelayed := r.Relays[receiver.DataCentre]
			require.NotEqual(t, isDirect[i], isRelayed)
			if isRelayed {
				require.Equal(t, receiver.DataCentre, relays[relay].DataCentre)
				require.NotEqual(t, c.DataCentre, receiver.DataCentre)
			}
		}
	})
}

// The loss of a relay must not change the relays of other data centres, and must not leave a data
// centre without one while it has another usable host.
func TestLossOfARelayChangesItsDataCentreOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relays, receivers := drawHosts(t, "relay", 12), drawHosts(t, "receiver", 40)
		c := Config{DataCentre: "a"}
		before := c.Route(relays, receivers)
		if len(relays) == 0 {
			return
		}
		lost := rapid.IntRange(0, len(relays)-1).Draw(t, "lost")
		remaining := append(append([]Host{}, relays[:lost]...), relays[lost+1:]...)
		after := c.Route(remaining, receivers)
		for dataCentre, i := range before.Relays {
			if i != lost {
				require.Equal(t, relays[i], remaining[after.Relays[dataCentre]])
				continue
			}
			hasOther := false
			for _, h := range remaining {
				hasOther = hasOther || h.DataCentre == dataCentre
			}
			_, hasRelay := after.Relays[dataCentre]
			require.Equal(t, hasOther, hasRelay)
		}
	})
}

// modelFleet returns two relays in each of five data centres, and a number of receivers.
func modelFleet(receivers int) (relays, all []Host) {
	const dataCentres, relaysEach = 5, 2
	for i := range dataCentres * relaysEach {
		relays = append(relays, Host{Address: fmt.Sprint("10.0.0.", i), DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	for i := range receivers {
		all = append(all, Host{Address: fmt.Sprint("10.1.0.", i), DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	return relays, all
}

// What the sender sends must be bounded by the receivers of one data centre and the number of data
// centres. Guards against a sender that sends to all receivers of a large fleet.
func TestMessagesOfTheSenderFollowOneDataCentre(t *testing.T) {
	const maxDirect = 64
	for _, size := range []int{30, 100, 300, 1000} {
		relays, receivers := modelFleet(size)
		r := Config{DataCentre: "dc0", MaxDirect: maxDirect}.Route(relays, receivers)
		sent := len(r.Direct) + len(r.Relays)
		t.Logf("%d receivers: %d messages", size, sent)
		if size <= maxDirect {
			require.Empty(t, r.Relays, "a small fleet is served directly")
			continue
		}
		require.LessOrEqual(t, sent, size/5+4)
	}
}
