package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// callTimeout is how long an operator waits for one machine; see PROTOCOL.md.
	callTimeout = time.Second
	// callPause is the pause of an operator between two machines.
	callPause = 100 * time.Millisecond
)

// configuration returns a valid configuration with the given version.
func configuration(version int) string {
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": "h.example", "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 1000, "targetLatencyMs": 150,
			"priority": 1, "service": "s-1", "maxAttempts": 2, "public": true,
		}},
		"services": []map[string]any{{"name": "s-1", "healthCheckPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{},
	})
	return string(text)
}

// replace sends a configuration to one running machine after the other until it is acknowledged, for up
// to the given time.
func (l *lab) replace(ctx context.Context, version int, limit time.Duration) bool {
	return l.askEach(ctx, limit, func(ctx context.Context, m *machine) bool {
		status, _ := l.call(ctx, m, http.MethodPost, "/Configuration.Replace", configuration(version))
		l.record("version %d is sent to %s: %s", version, m.name, status)
		return status == "200"
	})
}

// read reads the configuration back, from one running machine after the other until one has it, for up to
// the given time. It returns "" if it does not come.
func (l *lab) read(ctx context.Context, limit time.Duration) string {
	body := ""
	l.askEach(ctx, limit, func(ctx context.Context, m *machine) bool {
		status, text := l.call(ctx, m, http.MethodGet, "/Configuration.Get", "")
		l.record("the configuration is read at %s: %s", m.name, status)
		if status == "200" {
			body = text
		}
		return status == "200"
	})
	return body
}

// askEach calls f for the running machines in turn until it returns true or the time is over.
func (l *lab) askEach(ctx context.Context, limit time.Duration, f func(context.Context, *machine) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		running := l.running(classCore)
		if f(ctx, running[i%len(running)]) {
			return true
		}
		wait(ctx, callPause)
	}
	return false
}

// call sends one request to a machine. It returns the status, or why there is none, and the body.
func (l *lab) call(ctx context.Context, m *machine, method, path, body string) (status, text string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+l.controlAddress(m)+path, strings.NewReader(body))
	if err != nil {
		return err.Error(), ""
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "no response", ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "no whole response", ""
	}
	return fmt.Sprint(resp.StatusCode), string(data)
}

// wait waits for a time, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
