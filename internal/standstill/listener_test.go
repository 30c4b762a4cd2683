package standstill

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// acceptConn returns both ends of a connection; the first was accepted by a listener of this package.
func acceptConn(t *testing.T) (accepted, dialled net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	dialled, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err = NewListener(l).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = accepted.Close(), dialled.Close() })
	return accepted, dialled
}

const shortDeadline = 10 * time.Millisecond

// Guards against data that arrived in time and is not read, because the process stood still until after
// the deadline. Standing still is a read that begins late here.
func TestDataThatArrivedBeforeDeadlineIsReadLate(t *testing.T) {
	for name, set := range map[string]func(net.Conn, time.Time) error{
		"read deadline": net.Conn.SetReadDeadline, "deadline": net.Conn.SetDeadline,
	} {
		t.Run(name, func(t *testing.T) {
			accepted, dialled := acceptConn(t)
			deadline := time.Now().Add(shortDeadline)
			require.NoError(t, set(accepted, deadline))
			_, err := dialled.Write([]byte("request"))
			require.NoError(t, err)
			time.Sleep(time.Until(deadline.Add(shortDeadline)))
			b := make([]byte, 100)
			n, err := accepted.Read(b)
			require.NoError(t, err)
			require.Equal(t, "request", string(b[:n]))
		})
	}
}

// Guards against a client that sends too slowly and is waited for again and again.
func TestDeadlineIsExtendedOnce(t *testing.T) {
	accepted, dialled := acceptConn(t)
	began := time.Now()
	require.NoError(t, accepted.SetReadDeadline(began.Add(shortDeadline)))
	_, err := accepted.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.GreaterOrEqual(t, time.Since(began), shortDeadline+settleTime)
	_, err = dialled.Write([]byte("late"))
	require.NoError(t, err)
	_, err = accepted.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, accepted.SetReadDeadline(time.Time{}))
	_, err = accepted.Read(make([]byte, 1))
	require.NoError(t, err, "the deadline was removed")
}

// Guards against a server that can't interrupt a read at once. It sets a deadline that has passed.
func TestPassedDeadlineInterruptsRead(t *testing.T) {
	accepted, dialled := acceptConn(t)
	require.NoError(t, accepted.SetReadDeadline(time.Now().Add(time.Hour)))
	result := make(chan error, 1)
	go func() {
		_, err := accepted.Read(make([]byte, 1))
		result <- err
	}()
	require.NoError(t, accepted.SetReadDeadline(time.Unix(1, 0)))
	require.ErrorIs(t, <-result, os.ErrDeadlineExceeded)
	_, err := dialled.Write([]byte("x"))
	require.NoError(t, err)
	_, err = accepted.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
