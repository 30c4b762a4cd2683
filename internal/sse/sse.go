// Package sse finds the borders of server-sent events in a stream of bytes.
package sse

import "bytes"

var separator = []byte("\n\n")

// Splitter gathers bytes and gives back whole events. The zero value is ready.
type Splitter struct{ pending []byte }

// Write takes the next bytes of a stream.
func (s *Splitter) Write(p []byte) { s.pending = append(s.pending, p...) }

// Next returns the next whole event with its separator, or nil. What it returns is valid
// until the next Write.
func (s *Splitter) Next() []byte {
	i := bytes.Index(s.pending, separator)
	if i < 0 {
		return nil
	}
	event := s.pending[:i+len(separator)]
	s.pending = s.pending[i+len(separator):]
	return event
}

// Incomplete returns what has come after the last whole event.
func (s *Splitter) Incomplete() []byte { return s.pending }

// ID returns the value of an event's id field, empty if it has none.
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
