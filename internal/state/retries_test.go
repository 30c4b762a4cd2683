package state

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// reserve applies a reservation as the next log entry.
func reserve(t *testing.T, m *Machine, all ...RetryReservation) any {
	t.Helper()
	data, err := Encode(ReserveRetries{All: all})
	require.NoError(t, err)
	return m.Apply(m.AppliedIndex()+1, data)
}

// settle records totals as settled in the next log entry.
func settle(t *testing.T, m *Machine, all ...RetryReservation) {
	t.Helper()
	data, err := Encode(ReserveRetries{Settled: all})
	require.NoError(t, err)
	require.Equal(t, RetriesResult{}, m.Apply(m.AppliedIndex()+1, data))
}

func TestReservedRetriesAddUpAndAreKeptInSnapshots(t *testing.T) {
	m := New(Options{})
	require.Equal(t, RetriesResult{}, reserve(t, m, RetryReservation{"b", 3}, RetryReservation{"a", 1}, RetryReservation{"b", 2}))
	require.Equal(t, RetriesResult{}, reserve(t, m, RetryReservation{"a", 4}))
	settle(t, m, RetryReservation{"a", 3}, RetryReservation{"b", 99}, RetryReservation{"c", 1})
	settle(t, m, RetryReservation{"a", 2})
	want := []RetryTotals{{"a", 5, 3}, {"b", 5, 5}}
	require.Equal(t, want, m.ReservedRetries())
	require.Equal(t, want[1], m.ReservedRetriesOf("b"))
	require.Zero(t, m.ReservedRetriesOf("c"))

	data, err := m.Snapshot()
	require.NoError(t, err)
	restored := New(Options{})
	require.NoError(t, restored.Restore(data))
	require.Equal(t, want, restored.ReservedRetries())
}

func TestInvalidReservationHasNoEffect(t *testing.T) {
	m := New(Options{})
	long := string(make([]byte, MaxNameBytes+1))
	require.Equal(t, Rejected{ReasonInvalidName}, reserve(t, m, RetryReservation{"a", 1}, RetryReservation{"", 1}))
	require.Equal(t, Rejected{ReasonInvalidName}, reserve(t, m, RetryReservation{long, 1}))
	require.Empty(t, m.ReservedRetries())

	var all []RetryReservation
	for i := range MaxRetryServices {
		all = append(all, RetryReservation{strconv.Itoa(i), 1})
	}
	require.Equal(t, RetriesResult{}, reserve(t, m, all...))
	require.Equal(t, Rejected{ReasonTooManyServices}, reserve(t, m, RetryReservation{"another", 1}))
	require.Equal(t, RetriesResult{}, reserve(t, m, RetryReservation{"1", 1}))
}
