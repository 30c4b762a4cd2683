package sse

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEventsAreReassembledFromAnyChunks(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\nda"
	rapid.Check(t, func(t *rapid.T) {
		var s Splitter
		var got []string
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			s.Write([]byte(rest[:n]))
			rest = rest[n:]
			for e := s.Next(); e != nil; e = s.Next() {
				got = append(got, string(e))
			}
		}
		require.Equal(t, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\ndata: c\n\n"}, got)
		require.Equal(t, "id: 3\nda", string(s.Incomplete()))
	})
}

func TestID(t *testing.T) {
	require.Equal(t, "17", ID([]byte("weight: 2\nid: 17\ndata: id: 9\n\n")))
	require.Empty(t, ID([]byte("data: id: 9\n\n")))
}

// Guards against an event without an end, and against a search of all of it at each write.
func TestEventWithoutEndIsTooLong(t *testing.T) {
	var s Splitter
	line := []byte("data: a\n")
	for written := 0; written <= MaxEventBytes; written += len(line) {
		require.False(t, s.IsTooLong())
		s.Write(line)
		require.Nil(t, s.Next())
		require.Equal(t, len(s.Incomplete()), s.searched)
	}
	require.True(t, s.IsTooLong())
	s.Write([]byte("\n"))
	require.NotNil(t, s.Next())
	require.False(t, s.IsTooLong())
}
