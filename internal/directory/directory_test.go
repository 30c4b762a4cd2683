package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

func announce(name string, inc, seq uint64, state wire.UpstreamState) *wire.Announce {
	return &wire.Announce{Upstream: wire.Upstream{Name: name, Incarnation: inc, Seq: seq, State: state}}
}

// The loss of a host must change the owners only of upstreams that it owned. Otherwise all
// agents would change owners at once.
func TestOwnersChangeOnlyForUpstreamsOfLostHost(t *testing.T) {
	var hosts []Host
	for i := range 9 {
		hosts = append(hosts, Host{Name: fmt.Sprintf("entry-%d", i)})
	}
	lost := hosts[4]
	rest := append(append([]Host{}, hosts[:4]...), hosts[5:]...)
	for i := range 200 {
		name := fmt.Sprintf("worker-%d", i)
		before := Owners(hosts, name)
		after := Owners(rest, name)
		if before[0] != lost {
			require.Equal(t, before[0], after[0])
			continue
		}
		require.Equal(t, before[1], after[0], "the next in order takes over")
	}
}

// Announcements can arrive out of order. An older one must not turn an upstream that is
// shutting down back into a ready one.
func TestOlderRecordNeverReplacesNewer(t *testing.T) {
	tab := NewTable(DefaultTimeouts)
	require.True(t, tab.Announce(announce("w", 2, 5, wire.UpstreamDraining), 0))
	require.False(t, tab.Announce(announce("w", 2, 4, wire.UpstreamReady), 0))
	require.False(t, tab.Announce(announce("w", 1, 9, wire.UpstreamReady), 0))
	require.Equal(t, wire.UpstreamDraining, tab.Full().Upserts[0].State)
}

// An upstream without announcements must become suspect and later be removed. An announcement
// in between must end the suspicion.
func TestSilentUpstreamIsSuspectedThenForgotten(t *testing.T) {
	tab, view := NewTable(DefaultTimeouts), NewView()
	version := uint64(0)
	step := func(now time.Duration) {
		tab.Expire(now)
		d := tab.Flush(true)
		if d == nil {
			return
		}
		version++
		d.Version = version
		d.Full = version == 1
		require.True(t, view.Apply("owner", d, now))
	}
	tab.Announce(announce("w", 1, 1, wire.UpstreamReady), 0)
	step(0)
	require.False(t, view.Entries()[0].Suspect)
	step(DefaultTimeouts.SilenceTimeout)
	require.True(t, view.Entries()[0].Suspect)
	tab.Announce(announce("w", 1, 2, wire.UpstreamReady), DefaultTimeouts.SilenceTimeout)
	step(DefaultTimeouts.SilenceTimeout)
	require.False(t, view.Entries()[0].Suspect)
	step(DefaultTimeouts.SilenceTimeout + DefaultTimeouts.ForgetTimeout)
	require.Empty(t, view.Entries())
}

// An upstream must not become suspect as long as one connected owner receives its
// announcements.
func TestUpstreamIsNotSuspectWhileOneOwnerHearsIt(t *testing.T) {
	view := NewView()
	up := wire.Upstream{Name: "w", Incarnation: 1, Seq: 1, State: wire.UpstreamReady}
	for _, owner := range []string{"a", "b"} {
		require.True(t, view.Apply(owner, &wire.Delta{Full: true, Upserts: []wire.Upstream{up}}, 0))
	}
	require.True(t, view.Apply("a", &wire.Delta{Version: 1, Silent: []string{"w"}}, 0))
	require.False(t, view.Entries()[0].Suspect)
	view.OwnerDisconnected("b", 0)
	require.True(t, view.Entries()[0].Suspect)
	view.Expire(ownerRetention)
	require.Len(t, view.Entries(), 1)
}

// A view that missed deltas must notice it by the next delta or notice, and must equal the
// owner's table after a full delta. Without the version check in Apply, a missed record would
// be missing until it changes again.
func TestViewMatchesOwnerDespiteLostDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, view := NewTable(DefaultTimeouts), NewView()
		version, now := uint64(0), time.Duration(0)
		full := func() {
			d := tab.Full()
			d.Version = version
			require.True(t, view.Apply("owner", d, now))
		}
		full()
		seqs := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			name := fmt.Sprintf("w%d", rapid.IntRange(0, 4).Draw(t, "upstream"))
			seqs[name]++
			state := wire.UpstreamState(rapid.IntRange(0, 2).Draw(t, "state"))
			tab.Announce(announce(name, 1, seqs[name], state), now)
			tab.Expire(now)
			d := tab.Flush(rapid.Bool().Draw(t, "loads"))
			if d == nil {
				continue
			}
			version++
			d.Version = version
			isLost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
			if !isLost && !view.Apply("owner", d, now) {
				full()
			}
		}
		if !view.IsCurrent("owner", &wire.DigestNotice{Version: version}) {
			full()
		}
		want := NewView()
		d := tab.Full()
		require.True(t, want.Apply("owner", d, now))
		got, expected := view.Entries(), want.Entries()
		require.Len(t, got, len(expected))
		for i := range got {
			require.Equal(t, expected[i].Upstream.Name, got[i].Upstream.Name)
			require.Equal(t, expected[i].Upstream.State, got[i].Upstream.State)
			require.Equal(t, expected[i].Suspect, got[i].Suspect)
		}
	})
}
