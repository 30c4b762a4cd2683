// Package sse splits a byte stream into server-sent events.
package sse

import "bytes"

var separator = []byte("\n\n")

// Splitter buffers bytes and returns complete events. The zero value is ready to use.
type Splitter struct{ pending []byte }

// Write appends the next bytes of the stream.
func (s *Splitter) Write(p []byte) { s.pending = append(s.pending, p...) }

// Next returns the next complete event with its separator, or nil if there is none. The result
// is valid until the next Write.
func (s *Splitter) Next() []byte {
	i := bytes.Index(s.pending, separator)
	if i < 0 {
		return nil
	}
	event := s.pending[:i+len(separator)]
	s.pending = s.pending[i+len(separator):]
	return event
}

// Incomplete returns the bytes after the last complete event.
func (s *Splitter) Incomplete() []byte { return s.pending }

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
