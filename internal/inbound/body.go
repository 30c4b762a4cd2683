package inbound

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// ErrTooLong reports that data are longer than allowed.
var ErrTooLong = errors.New("the data are too long")

// Account counts the memory of data that are read.
type Account interface {
	// Hold counts n more bytes, or returns why it can't.
	Hold(n int64) error
	// Release gives back n bytes.
	Release(n int64)
	// Advance is told how many bytes each read has.
	Advance(n int64)
}

// ReadWhole reads data to their end, and counts the memory for them before it is used, unless the data are so few
// that the share of the connection covers them. length is the length of the data, or -1 if it is unknown. Errors are
// those of the account and of the reader, and ErrTooLong if there are more than limit bytes.
func ReadWhole(from io.Reader, length, limit int64, account Account) ([]byte, error) {
	size := length + 1 // one more, so that the end is read without growing
	switch {
	case length > limit:
		return nil, ErrTooLong
	case length < 0:
		size = min(BodyAllowance, limit+1)
	}
	data, err := grow(nil, size, account)
	if err != nil {
		return nil, err
	}
	for {
		if len(data) == cap(data) {
			if int64(len(data)) > limit {
				return nil, ErrTooLong
			}
			if data, err = grow(data, min(2*int64(cap(data)), limit+1), account); err != nil {
				return nil, err
			}
		}
		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if n > 0 {
			account.Advance(int64(n))
		}
		switch {
		case err == io.EOF && int64(len(data)) > limit:
			return nil, ErrTooLong
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns the data in a buffer of the given size.
func grow(data []byte, size int64, account Account) ([]byte, error) {
	if size > BodyAllowance {
		if err := account.Hold(size); err != nil {
			return nil, err
		}
	}
	larger := append(make([]byte, 0, size), data...)
	if former := int64(cap(data)); former > BodyAllowance {
		account.Release(former)
	}
	return larger, nil
}

// Heads returns a handler that counts the memory of heads until h has returned. If there is none left, the request is
// refused as not run.
func (g *Guard) Heads(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := HeadBytes(r.Header) - HeadAllowance
		if n <= 0 {
			h.ServeHTTP(w, r)
			return
		}
		b := g.newBody(w, r)
		defer b.account.Close()
		b.account.StopWaiting()
		if err := b.Hold(n); err != nil {
			b.refuse(err)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// Bodies returns a handler that reads the bodies of requests as a whole, each up to limit bytes, before h gets them.
// The memory of heads and bodies is counted until h has returned. If there is none left, the slowest and largest are
// ended, and the request is refused as not run. Body returns such a body.
func (g *Guard) Bodies(h http.Handler, limit int64) http.Handler {
	withoutBody := g.Heads(h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			withoutBody.ServeHTTP(w, r)
			return
		}
		b := g.newBody(w, r)
		defer b.account.Close()
		data, err := b.readWhole(r, limit)
		b.account.StopWaiting()
		if err != nil {
			b.refuse(err)
			return
		}
		b.data = data
		r.Body = b
		h.ServeHTTP(w, r)
	})
}

// readWhole counts the head and reads the body.
func (b *body) readWhole(r *http.Request, limit int64) ([]byte, error) {
	if n := HeadBytes(r.Header) - HeadAllowance; n > 0 {
		if err := b.Hold(n); err != nil {
			return nil, err
		}
	}
	return ReadWhole(r.Body, r.ContentLength, limit, b)
}

// Body returns the body of a request that a handler of Guard.Bodies passes on, without copying it. It returns false
// if the body was not read yet.
func Body(r *http.Request) ([]byte, bool) {
	if b, ok := r.Body.(*body); ok {
		return b.data, true
	}
	return nil, false
}

// body is a body that was read as a whole, and the account of its memory.
type body struct {
	guard   *Guard
	account *memory.Connection
	w       http.ResponseWriter
	ctx     context.Context
	data    []byte
	read    int
}

func (g *Guard) newBody(w http.ResponseWriter, r *http.Request) *body {
	control := http.NewResponseController(w)
	b := &body{guard: g, w: w, ctx: r.Context()}
	b.account = g.cfg.Memory.Open(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	b.account.Progress(g.cfg.Now())
	return b
}

// Hold implements Account.
func (b *body) Hold(n int64) error { return b.account.Hold(b.ctx, memory.Body, n, b.guard.cfg.Now) }

// Release implements Account.
func (b *body) Release(n int64) { b.account.Release(memory.Body, n) }

// Advance implements Account.
func (b *body) Advance(n int64) { b.account.Advance(n, b.guard.cfg.Now()) }

// refuse answers a request whose body can't be read.
func (b *body) refuse(err error) {
	status, h := http.StatusBadRequest, b.w.Header()
	switch {
	case errors.Is(err, ErrTooLong):
		status = http.StatusRequestEntityTooLarge
	case memory.IsFull(err) || b.account.IsShed():
		status = http.StatusServiceUnavailable
		h.Set("Retry-After", b.guard.retryAfter())
	}
	h.Set(verdict.Header, verdict.NotRun.String())
	h.Set("Connection", "close")
	_ = http.NewResponseController(b.w).SetReadDeadline(time.Now().Add(UnreadBodyTimeout))
	http.Error(b.w, http.StatusText(status), status)
}

// UnreadBodyTimeout bounds the time in which the rest of a refused request's body may arrive. Servers read some of it,
// so that the client can read the response.
const UnreadBodyTimeout = 500 * time.Millisecond

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) {
	if b.read == len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.read:])
	b.read += n
	return n, nil
}

// Close implements [io.Closer].
func (b *body) Close() error { return nil }
