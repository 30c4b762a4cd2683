package entry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/test/standin"
)

// BenchmarkAddedLatency alternates calls through entry host and agent with direct calls to the
// same stand-in engine, so that both are measured under the same conditions.
func BenchmarkAddedLatency(b *testing.B) {
	p := startTestProxy(b, nil)
	e := standin.NewEngine(standin.EngineConfig{})
	p.addUpstream("u1", e, nil)
	direct := httptest.NewServer(e)
	defer direct.Close()
	client := &http.Client{Transport: &http.Transport{}}
	body := p.completionBody("prompt", 8, false)
	times := map[string]*hdrhistogram.Histogram{}
	for _, url := range []string{direct.URL, p.url} {
		times[url] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	for b.Loop() {
		for url, h := range times {
			start := time.Now()
			postCompletion(b, client, url, body)
			_ = h.RecordValue(time.Since(start).Microseconds())
		}
	}
	for _, q := range []float64{50, 99} {
		name := map[float64]string{50: "p50", 99: "p99"}[q]
		b.ReportMetric(float64(times[direct.URL].ValueAtQuantile(q)), "direct-"+name+"-us")
		b.ReportMetric(float64(times[p.url].ValueAtQuantile(q)), "path-"+name+"-us")
	}
}

// BenchmarkThroughput runs many callers at once. Callers, entry host, agent and stand-in engine
// share one process, so the measured time and allocations include all of them.
func BenchmarkThroughput(b *testing.B) {
	p := startTestProxy(b, nil)
	p.addUpstream("u1", standin.NewEngine(standin.EngineConfig{}), nil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	body := p.completionBody("prompt", 8, false)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			postCompletion(b, client, p.url, body)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

func postCompletion(b *testing.B, client *http.Client, url string, body []byte) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	require.NoError(b, err)
	r.Header.Set("Authorization", "Bearer token")
	resp, err := client.Do(r)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
	require.Equal(b, http.StatusOK, resp.StatusCode)
}
