package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

func TestAnswerFilter(t *testing.T) {
	nonce, otherNonce := [16]byte{1}, [16]byte{2}
	cases := []struct {
		name   string
		seen   uint64
		answer wire.OrderAnswer
		after  time.Duration
		want   error
	}{
		{"in time", 5, wire.OrderAnswer{Nonce: nonce, FencingToken: 5}, time.Second, nil},
		{"higher fencing token", 5, wire.OrderAnswer{Nonce: nonce, FencingToken: 6}, time.Second, nil},
		{"late", 5, wire.OrderAnswer{Nonce: nonce, FencingToken: 9}, 2 * time.Second, ErrOrderExpired},
		{"lower fencing token", 5, wire.OrderAnswer{Nonce: nonce, FencingToken: 4}, 0, ErrStaleFencingToken},
		{"answer to another query", 5, wire.OrderAnswer{Nonce: otherNonce, FencingToken: 9}, 0, ErrUnexpectedAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			filter := answerFilter{maxAge: 2 * time.Second, highestFencingToken: c.seen}
			filter.startQuery(nonce, time.Hour)
			require.Equal(t, c.want, filter.accept(&c.answer, time.Hour+c.after))
			require.Equal(t, ErrUnexpectedAnswer, filter.accept(&c.answer, time.Hour+c.after), "a replayed answer must be refused")
		})
	}
}

// Guards against accepting a late, replayed or outdated answer. Answers arrive in any order;
// only one to the latest query, within maxAge and without a lower fencing token, may be accepted,
// and only once.
func TestAnswerFilterAcceptsOnlyFreshAnswerToLastQuery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxAge = 20 * time.Millisecond
		filter := answerFilter{maxAge: maxAge}
		var now time.Duration
		var asked []time.Duration
		taken := make(map[byte]bool)
		var highestToken uint64
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 15).Draw(t, "ms")) * time.Millisecond
			if len(asked) == 0 || rapid.Bool().Draw(t, "ask") {
				asked = append(asked, now)
				filter.startQuery([16]byte{byte(len(asked))}, now)
				continue
			}
			query := rapid.IntRange(1, len(asked)).Draw(t, "question")
			answer := &wire.OrderAnswer{Nonce: [16]byte{byte(query)}, FencingToken: rapid.Uint64Range(0, 5).Draw(t, "fence")}
			if filter.accept(answer, now) != nil {
				continue
			}
			require.Equal(t, len(asked), query, "accepted an answer to an older query")
			require.Less(t, now-asked[query-1], maxAge, "accepted an expired answer")
			require.False(t, taken[byte(query)], "accepted an answer twice")
			require.GreaterOrEqual(t, answer.FencingToken, highestToken)
			taken[byte(query)], highestToken = true, answer.FencingToken
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
