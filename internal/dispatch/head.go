package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes limits the header of a response, with the informational responses before it.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits its lines. A parsed field needs many times the bytes of a short line.
	maxHeadLines = 512
	// maxHeadTime limits the time from the first byte of a header to its end. The first byte may come as
	// late as the deadline of the request.
	maxHeadTime = 2 * time.Second
	// maxStaleBytes and maxStaleTime limit the body of a response to an earlier attempt that is skipped. The
	// next request on its connection waits for it.
	maxStaleBytes = 256 << 10
	maxStaleTime  = maxHeadTime
)

// errHeadTooLong and errStaleTooLong are faults of the upstream.
var (
	errHeadTooLong  = errors.New("the header of the response is too long")
	errStaleTooLong = errors.New("a response to an earlier request is too long")
)

// limitedReader reads from a connection until one of its limits, if it has any, is reached.
type limitedReader struct {
	from            io.Reader
	isLimited       bool
	left, linesLeft int
}

// limit allows that many more bytes and lines.
func (r *limitedReader) limit(bytes, lines int) {
	r.isLimited, r.left, r.linesLeft = true, bytes, lines
}

// unlimit allows any number of bytes and lines.
func (r *limitedReader) unlimit() { r.isLimited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.isLimited {
		return r.from.Read(p)
	}
	if r.left <= 0 || r.linesLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.linesLeft -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// readHead waits for a response and reads its header within maxHeadBytes, which count from the last call
// of limitHead, and maxHeadTime.
func (c *conn) readHead(method string) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if isWhole := c.hasWholeHead(); !isWhole {
		if err := c.SetReadDeadline(time.Now().Add(maxHeadTime)); err != nil {
			return nil, err
		}
		defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// hasWholeHead reports whether a whole header has been received.
func (c *conn) hasWholeHead() bool {
	received, _ := c.reader.Peek(c.reader.Buffered())
	return bytes.Contains(received, []byte("\r\n\r\n"))
}

// skipBody reads the body of a response that nobody waits for, within maxStaleTime.
func (c *conn) skipBody(resp *http.Response) error {
	if err := c.SetReadDeadline(time.Now().Add(maxStaleTime)); err != nil {
		return err
	}
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	n, err := io.CopyN(io.Discard, resp.Body, maxStaleBytes+1)
	switch {
	case err == io.EOF:
		return nil
	case err == nil && n > maxStaleBytes:
		return errStaleTooLong
	}
	return err
}
