package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record collects what was sent, answered and run, with the seconds since the start of the case.
type Record struct {
	began time.Time

	// mu guards lines.
	mu    sync.Mutex
	lines []string
}

func newRecord() *Record { return &Record{began: time.Now()} }

// Event adds a line with the present time.
func (r *Record) Event(format string, args ...any) { r.EventAt(time.Now(), format, args...) }

// EventAt adds a line with the given time.
func (r *Record) EventAt(at time.Time, format string, args ...any) {
	line := fmt.Sprintf("%9.3f  %s", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// Save writes the lines to a file.
func (r *Record) Save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
