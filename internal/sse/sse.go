// Package sse splits a byte stream into server-sent events.
package sse

import "bytes"

// MaxEventBytes limits an event. It is far above the events of model engines, which hold some tokens each.
const MaxEventBytes = 256 << 10

var separator = []byte("\n\n")

// Splitter buffers bytes and returns complete events. The zero value is ready to use.
type Splitter struct {
	pending []byte
	// searched is how many of the pending bytes have been searched for a separator.
	searched int
}

// Write appends the next bytes of the stream.
func (s *Splitter) Write(p []byte) { s.pending = append(s.pending, p...) }

// Next returns the next complete event with its separator, or nil if there is none. The result
// is valid until the next Write.
func (s *Splitter) Next() []byte {
	from := max(s.searched-len(separator)+1, 0)
	i := bytes.Index(s.pending[from:], separator)
	if i < 0 {
		s.searched = len(s.pending)
		return nil
	}
	end := from + i + len(separator)
	event := s.pending[:end]
	s.pending, s.searched = s.pending[end:], 0
	return event
}

// Incomplete returns the bytes after the last complete event.
func (s *Splitter) Incomplete() []byte { return s.pending }

// IsTooLong reports whether the bytes after the last complete event are more than an event may have.
func (s *Splitter) IsTooLong() bool { return len(s.pending) > MaxEventBytes }

// ID returns the value of an event's id field, or "" if it has none.
func ID(event []byte) string {
	for len(event) > 0 {
		var line []byte
		line, event, _ = bytes.Cut(event, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
