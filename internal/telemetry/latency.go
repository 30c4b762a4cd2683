package telemetry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxLatency is the longest time that is told apart from longer ones.
	maxLatency = time.Minute
	// significantDigits is how many digits of a time are kept; with two a histogram takes
	// some 20 KB.
	significantDigits = 2
)

// Latency is a histogram of times, exact to two digits. It may be used concurrently.
type Latency struct {
	// NilHistogram makes it one of the registry's kinds; nothing of it is used.
	metrics.NilHistogram

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	// sum is of all times.
	sum time.Duration
}

// GetOrRegisterLatency returns the histogram of that name, and makes it where there is none.
func GetOrRegisterLatency(name string, reg metrics.Registry) *Latency {
	return reg.GetOrRegister(name, newLatency).(*Latency)
}

func newLatency() *Latency {
	return &Latency{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// Add counts a time; those over a minute count as one.
func (l *Latency) Add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum += d
	// What is in range is always taken.
	_ = l.histogram.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// AddSince counts the time since then.
func (l *Latency) AddSince(then time.Time) { l.Add(time.Since(then)) }

// snapshot returns the quantiles, the sum and the number of times, in seconds.
func (l *Latency) snapshot() (values []float64, sum float64, count int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range quantiles {
		us := l.histogram.ValueAtQuantile(100 * q)
		values = append(values, (time.Duration(us) * time.Microsecond).Seconds())
	}
	return values, l.sum.Seconds(), l.histogram.TotalCount()
}
