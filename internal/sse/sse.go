// Package sse splits a byte stream into server-sent events.
package sse

import "bytes"

// MaxEventBytes limits an event. It is far above the events of model engines, which hold some tokens each.
const MaxEventBytes = 256 << 10

// maxSeparatorBytes is the length of the longest separator of events: the end of a line and an empty line,
// where lines end with a line feed or with a carriage return before it.
const maxSeparatorBytes = len("\n\r\n")

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
	end := endOfEvent(s.pending, max(s.searched-maxSeparatorBytes+1, 0))
	if end < 0 {
		s.searched = len(s.pending)
		return nil
	}
	event := s.pending[:end]
	s.pending, s.searched = s.pending[end:], 0
	return event
}

// endOfEvent returns where the first event in b ends whose separator begins at from or later; -1 if there
// is none.
func endOfEvent(b []byte, from int) int {
	for {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return -1
		}
		from += i + 1
		switch rest := b[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + 2
		}
	}
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
