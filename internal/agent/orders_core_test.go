package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

func TestAnswerFilter(t *testing.T) {
	one, two := [16]byte{1}, [16]byte{2}
	cases := []struct {
		name   string
		seen   uint64
		answer wire.OrderAnswer
		after  time.Duration
		want   error
	}{
		{"in time", 5, wire.OrderAnswer{Nonce: one, Fence: 5}, time.Second, nil},
		{"higher fence", 5, wire.OrderAnswer{Nonce: one, Fence: 6}, time.Second, nil},
		{"late", 5, wire.OrderAnswer{Nonce: one, Fence: 9}, 2 * time.Second, ErrOrderExpired},
		{"lower fence", 5, wire.OrderAnswer{Nonce: one, Fence: 4}, 0, ErrStaleFencingToken},
		{"another question", 5, wire.OrderAnswer{Nonce: two, Fence: 9}, 0, ErrUnexpectedAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := answerFilter{maxAge: 2 * time.Second, highestFence: c.seen}
			g.startQuery(one, time.Hour)
			require.Equal(t, c.want, g.accept(&c.answer, time.Hour+c.after))
			require.Equal(t, ErrUnexpectedAnswer, g.accept(&c.answer, time.Hour+c.after), "a replay is refused")
		})
	}
}

// Whatever answers come in whatever order, only a fresh one to the last question
// with a fence that does not fall is carried out, and each at most once.
func TestAnswerFilterAcceptsOnlyFreshAnswerToLastQuery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 20 * time.Millisecond
		g := answerFilter{maxAge: span}
		var now time.Duration
		var asked []time.Duration
		taken := make(map[byte]bool)
		var highest uint64
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 15).Draw(t, "ms")) * time.Millisecond
			if len(asked) == 0 || rapid.Bool().Draw(t, "ask") {
				asked = append(asked, now)
				g.startQuery([16]byte{byte(len(asked))}, now)
				continue
			}
			n := rapid.IntRange(1, len(asked)).Draw(t, "question")
			a := &wire.OrderAnswer{Nonce: [16]byte{byte(n)}, Fence: rapid.Uint64Range(0, 5).Draw(t, "fence")}
			if g.accept(a, now) != nil {
				continue
			}
			require.Equal(t, len(asked), n, "an answer to an older question")
			require.Less(t, now-asked[n-1], span, "late")
			require.False(t, taken[byte(n)], "replayed")
			require.GreaterOrEqual(t, a.Fence, highest)
			taken[byte(n)], highest = true, a.Fence
		}
	})
}

func TestRecentSetEvictsOnlyOldest(t *testing.T) {
	m := newRecentSet[int](2)
	require.True(t, m.add(1))
	require.False(t, m.add(1))
	require.True(t, m.add(2))
	require.True(t, m.add(3))
	require.False(t, m.has(1))
	require.True(t, m.has(2))
	m.remove(2)
	require.True(t, m.add(2))
}
