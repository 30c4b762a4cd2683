package faultproxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func TestFreezeDelaysBytesAndCutClosesConnections(t *testing.T) {
	p, err := NewTCP(startEchoServer(t))
	require.NoError(t, err)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	r := bufio.NewReader(c)

	_, err = c.Write([]byte("one\n"))
	require.NoError(t, err)
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "one\n", line)

	p.Freeze()
	_, err = c.Write([]byte("two\n"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = r.ReadString('\n')
	require.Error(t, err, "nothing comes through while frozen")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	p.Heal()
	line, err = r.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "two\n", line)

	p.Cut()
	_, err = r.ReadString('\n')
	require.Error(t, err)
}
