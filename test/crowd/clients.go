package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/pause"
)

const (
	// trickleInterval is the time between two bytes of a slow body.
	trickleInterval = 100 * time.Millisecond
	// chunkBytes is the size of a chunk of a body.
	chunkBytes = 4 << 10
	// writeBytes is the largest part of a body that is written at once.
	writeBytes = 1 << 20
	// requestsAtOnce is how many requests are written at once.
	requestsAtOnce = 500
)

var zeros = make([]byte, writeBytes)

// Head returns the first lines of a request, without the empty line that ends its head.
type Head func() string

// ThenAwait sends, and then waits until the peer closes the connection. What it reads meanwhile is discarded.
func ThenAwait(send func(ctx context.Context, c net.Conn) error) Client {
	return func(ctx context.Context, c net.Conn) {
		if send(ctx, c) == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}
}

// Text sends a text.
func Text(text func() string) Client {
	return ThenAwait(func(_ context.Context, c net.Conn) error {
		_, err := io.WriteString(c, text())
		return err
	})
}

// Idle sends nothing.
func Idle(_ context.Context, c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// writeZeros writes n bytes.
func writeZeros(c net.Conn, n int) error {
	for n > 0 {
		written, err := c.Write(zeros[:min(n, len(zeros))])
		if err != nil {
			return err
		}
		n -= written
	}
	return nil
}

// UnfinishedBody sends a body short of its last byte.
func UnfinishedBody(head Head, length int) Client {
	return ThenAwait(func(_ context.Context, c net.Conn) error {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head(), length); err != nil {
			return err
		}
		return writeZeros(c, length-1)
	})
}

// UnfinishedChunks sends length bytes of a body in chunks, and not the end of the body.
func UnfinishedChunks(head Head, length int) Client {
	return ThenAwait(func(ctx context.Context, c net.Conn) error {
		if _, err := io.WriteString(c, head()+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, zeros[:chunkBytes])
		for sent := 0; sent < length && ctx.Err() == nil; sent += chunkBytes {
			if _, err := io.WriteString(c, chunk); err != nil {
				return err
			}
		}
		return ctx.Err()
	})
}

// SlowBody sends half of a body and then a byte after each trickleInterval.
func SlowBody(head Head, length int) Client {
	return ThenAwait(func(ctx context.Context, c net.Conn) error {
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head(), length)
		if err == nil {
			err = writeZeros(c, length/2)
		}
		for err == nil && ctx.Err() == nil {
			_, err = c.Write(zeros[:1])
			pause.For(ctx, trickleInterval)
		}
		return err
	})
}

// ManyFields sends a head with size bytes of short fields that is whole, and announces a body of one byte that does
// not come.
func ManyFields(head Head, size int) Client {
	fields := ShortFields(size)
	return Text(func() string { return head() + fields + "Content-Length: 1\r\n\r\n" })
}

// UnfinishedHead is like ManyFields, with a head that does not end.
func UnfinishedHead(head Head, size int) Client {
	fields := ShortFields(size)
	return Text(func() string { return head() + fields })
}

// EndlessHead sends short fields for ever.
func EndlessHead(head Head) Client {
	fields := ShortFields(chunkBytes)
	return ThenAwait(func(ctx context.Context, c net.Conn) error {
		_, err := io.WriteString(c, head())
		for err == nil && ctx.Err() == nil {
			_, err = io.WriteString(c, fields)
		}
		return err
	})
}

// RequestsAhead sends requests and reads no response.
func RequestsAhead(head Head) Client {
	return func(ctx context.Context, c net.Conn) {
		var b strings.Builder
		for range requestsAtOnce {
			b.WriteString(head() + "\r\n")
		}
		for ctx.Err() == nil {
			if _, err := io.WriteString(c, b.String()); err != nil {
				return
			}
		}
	}
}

// Unread sends one request and reads nothing of the response.
func Unread(head Head) Client {
	return func(ctx context.Context, c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(chunkBytes)
		if _, err := io.WriteString(c, head()+"\r\n"); err == nil {
			<-ctx.Done()
		}
	}
}

// ThenIdle sends one request and keeps its connection.
func ThenIdle(head Head) Client { return Text(func() string { return head() + "\r\n" }) }

// ShortFields returns header fields of as few bytes as possible and with different names, at most size bytes in all.
func ShortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len()+len("aaa:\n") <= size; i++ {
		b.WriteByte(letters[i%len(letters)])
		b.WriteByte(letters[i/len(letters)%len(letters)])
		b.WriteByte(letters[i/len(letters)/len(letters)%len(letters)])
		b.WriteString(":\n")
	}
	return b.String()
}
