package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// coldUpstream returns an announcement of an upstream that is cold for the given time.
func coldUpstream(sequence uint64, remaining time.Duration) Upstream {
	return Upstream{ID: "u", Service: "s", Address: "a:1", Sequence: sequence, StartedAt: 1, ColdRemainingMS: remaining.Milliseconds()}
}

// Guards against a change of the cold time that other hosts don't hear of, and against a message to
// all of them for each announcement of the same one.
func TestChangedEndOfColdTimeIsForwarded(t *testing.T) {
	const at = time.Minute
	for name, c := range map[string]struct {
		first, next time.Duration
		after       time.Duration
		isForwarded bool
	}{
		"the same end":                 {3 * time.Second, 2 * time.Second, time.Second, false},
		"the same end, late":           {3 * time.Second, 2*time.Second + 200*time.Millisecond, time.Second, false},
		"over":                         {3 * time.Second, 0, 3 * time.Second, false},
		"over, known a little later":   {3 * time.Second, 0, 2900 * time.Millisecond, false},
		"never cold":                   {0, 0, time.Second, false},
		"becomes cold while it serves": {0, 50 * time.Millisecond, time.Second, true},
		"cold for longer":              {3 * time.Second, 3 * time.Second, time.Second, true},
		"cold for less":                {3 * time.Second, 0, time.Second, true},
		"cold again":                   {3 * time.Second, 3 * time.Second, time.Minute, true},
	} {
		r, v := New(testLimits), NewView()
		records, _, err := r.Announce(coldUpstream(1, c.first), at)
		require.NoError(t, err, name)
		_, err = v.Merge("c", records, at)
		require.NoError(t, err)
		records, isForwarded, err := r.Announce(coldUpstream(2, c.next), at+c.after)
		require.NoError(t, err, name)
		require.Equal(t, c.isForwarded, isForwarded, name)
		changed, err := v.Merge("c", records, at+c.after)
		require.NoError(t, err)
		require.Equal(t, c.isForwarded, changed, name)
		if c.isForwarded {
			require.Equal(t, at+c.after+c.next, v.All()[0].ColdUntil, name)
			require.Equal(t, at+c.after, v.All()[0].ColdStatedAt, name)
		}
	}
}

// Guards against ends that drift by a little less than ColdJitter with each announcement.
func TestDriftingEndOfColdTimeIsForwarded(t *testing.T) {
	r := New(testLimits)
	_, _, err := r.Announce(coldUpstream(1, 5*time.Second), 0)
	require.NoError(t, err)
	forwarded := 0
	for i := range 4 {
		now := time.Duration(i+1) * time.Second
		_, changed, err := r.Announce(coldUpstream(uint64(i+2), 5*time.Second-now+time.Duration(i+1)*200*time.Millisecond), now)
		require.NoError(t, err)
		if changed {
			forwarded++
		}
	}
	require.Equal(t, 2, forwarded)
}

// Guards against a host that attaches late and takes a cold time for longer than it is, and against
// a control host that takes what it saved before its restart for a recent statement.
func TestListHasRemainingColdTime(t *testing.T) {
	r := New(testLimits)
	_, _, err := r.Announce(coldUpstream(1, 3*time.Second), 0)
	require.NoError(t, err)
	require.EqualValues(t, 1000, r.List(2 * time.Second)[0].ColdRemainingMS)
	require.Zero(t, r.List(time.Minute)[0].ColdRemainingMS)

	for _, forwards := range []bool{false, true} {
		limits := testLimits
		limits.ForwardsKnownColdTimes = forwards
		restarted, v := New(limits), NewView()
		restarted.Restore(r.List(0), 0)
		require.True(t, restarted.List(0)[0].IsColdUnknown)
		_, err = v.Merge("c", restarted.List(0), 0)
		require.NoError(t, err)
		require.True(t, v.All()[0].IsColdUnknown)
		records, changed, err := restarted.Announce(coldUpstream(2, 0), time.Second)
		require.NoError(t, err)
		require.Equal(t, forwards, changed)
		require.False(t, restarted.List(time.Second)[0].IsColdUnknown)
		changed, err = v.Merge("c", records, time.Second)
		require.NoError(t, err)
		require.True(t, changed)
		require.False(t, v.All()[0].IsColdUnknown)
	}
}

// Guards against an upstream that counts as cold because it was off the list, and against an older
// record of another control host that takes a cold time back.
func TestColdTimeStaysWithItsAnnouncement(t *testing.T) {
	v := NewView()
	merge := func(source string, now time.Duration, u Upstream) {
		_, err := v.Merge(source, []Upstream{u}, now)
		require.NoError(t, err)
	}
	merge("c1", 0, coldUpstream(5, 3*time.Second))
	merge("c2", time.Second, coldUpstream(2, 0))
	require.Equal(t, 3*time.Second, v.Serving()["s"][0].ColdUntil)
	merge("c1", 2*time.Second, coldUpstream(5, 3*time.Second))
	require.Equal(t, 3*time.Second, v.Serving()["s"][0].ColdUntil, "the same announcement again")
	restarted := coldUpstream(1, 0)
	restarted.StartedAt = 2
	merge("c1", 3*time.Second, restarted)
	require.Zero(t, v.Serving()["s"][0].ColdUntil, "a later incarnation")
}
