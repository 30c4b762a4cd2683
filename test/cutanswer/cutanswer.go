// Package cutanswer serves answers that end before their last byte, to test that no caller takes one for
// whole.
package cutanswer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sassafraspost/sassafraspost/test/rawserver"
)

// Form is a way in which a body is framed. Its answers can be told from cut ones.
type Form struct {
	Name string
	// write returns the bytes of an answer. The header lines end with CR LF.
	write func(contentType, lines, body string) string
}

// Forms returns the ways in which an answer shows its end.
func Forms() []Form {
	head := func(contentType, lines string) string {
		return "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n" + lines
	}
	return []Form{
		{"length", func(contentType, lines, body string) string {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(contentType, lines), len(body), body)
		}},
		{"length before all other lines", func(contentType, lines, body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: %s\r\n%s\r\n%s", len(body), contentType, lines, body)
		}},
		{"chunks", func(contentType, lines, body string) string {
			return head(contentType, lines) + "Transfer-Encoding: chunked\r\n\r\n" + chunks(body) + "0\r\n\r\n"
		}},
		{"chunks and trailer", func(contentType, lines, body string) string {
			return head(contentType, lines) + "Trailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body) + "0\r\nX-End: 1\r\n\r\n"
		}},
		{"after an informational answer", func(contentType, lines, body string) string {
			return "HTTP/1.1 103 Early Hints\r\nX-B: b\r\n\r\n" + head(contentType, lines) + "Transfer-Encoding: chunked\r\n\r\n" + chunks(body) + "0\r\n\r\n"
		}},
	}
}

// chunks returns a body in chunks of a third of its length.
func chunks(body string) string {
	var b strings.Builder
	for size := len(body)/3 + 1; body != ""; {
		part := body[:min(size, len(body))]
		body = body[len(part):]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	return b.String()
}

// Server answers each request on a connection of its own.
type Server struct {
	Address string
	// Length is the number of bytes of the last answer before it was cut.
	Length atomic.Int64
	// cutAt is after how many bytes answers end; a negative number: they are whole.
	cutAt atomic.Int64
	// isReset is set if a cut answer ends with a reset.
	isReset atomic.Bool
}

// Start serves answers of a form on loopback until the test ends. The answer to a request has the header
// lines and the body that respond returns.
func Start(t testing.TB, f Form, contentType string, respond func(*http.Request) (lines, body string)) *Server {
	t.Helper()
	s := &Server{}
	s.cutAt.Store(-1)
	s.Address = rawserver.Start(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		lines, body := respond(r)
		s.write(c, f.write(contentType, lines, body))
	})
	return s
}

// CutAt makes the server end answers after a number of bytes, by a close or a reset. A negative number
// makes them whole.
func (s *Server) CutAt(bytes int, isReset bool) {
	s.isReset.Store(isReset)
	s.cutAt.Store(int64(bytes))
}

func (s *Server) write(c net.Conn, text string) {
	s.Length.Store(int64(len(text)))
	cut := s.cutAt.Load()
	if cut < 0 {
		_, _ = io.WriteString(c, text)
		return
	}
	_, _ = io.WriteString(c, text[:min(int(cut), len(text))])
	if s.isReset.Load() {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}
