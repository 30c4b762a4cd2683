package telemetry

import (
	"maps"
	"sync"
	"time"
)

const (
	// LineInterval is the shortest time between two log lines about events with the same key.
	LineInterval = 10 * time.Second
	// maxLineKeys limits the number of keys that have lines within LineInterval.
	maxLineKeys = 1024
)

// LineLimit bounds the log lines about events that repeat to one in LineInterval for each key. Its zero value is
// ready for use, from any goroutine.
type LineLimit struct {
	// mu guards last.
	mu   sync.Mutex
	last map[string]*lastLine
}

// lastLine says when the last line about a key was logged, and how many events came since.
type lastLine struct {
	at    time.Time
	count int
}

// Count counts an event. It returns the number of events with that key that no line tells of, or 0 if no line may
// be logged now.
func (l *LineLimit) Count(key string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	line, ok := l.last[key]
	if !ok {
		return l.begin(key, now)
	}
	line.count++
	if now.Sub(line.at) < LineInterval {
		return 0
	}
	count := line.count
	line.at, line.count = now, 0
	return count
}

// begin counts the first event of a key. The caller holds mu.
func (l *LineLimit) begin(key string, now time.Time) int {
	if len(l.last) >= maxLineKeys {
		maps.DeleteFunc(l.last, func(_ string, line *lastLine) bool { return now.Sub(line.at) >= LineInterval })
	}
	if len(l.last) >= maxLineKeys {
		return 0
	}
	if l.last == nil {
		l.last = make(map[string]*lastLine)
	}
	l.last[key] = &lastLine{at: now}
	return 1
}
