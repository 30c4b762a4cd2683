package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Names of the deployment.
const (
	serviceName = "huvo11a"
	hostName    = "ficu95.example"
	apiKey      = "n2ctnfzs989anu6wsjnb"
	tenantName  = "hule930"
	unsafePath  = "/puxa403/"
	safePath    = "/cufi504/"
)

// callTimeout is how long a caller of control waits for a response.
const callTimeout = time.Second

// configuration returns a configuration with an unsafe and a safe route to one plain service.
func configuration(version int) []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1000, "targetLatencyMs": 100,
			"priority": 2, "service": serviceName, "maxAttempts": attempts, "public": false, "stickySessions": false,
			"streamResumption": false,
		}
	}
	body, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("r-gate-scan", unsafePath, "unsafe", 1), route("r-slot-check", safePath, "safe", 2)},
		"services": []any{map[string]any{"name": serviceName, "healthCheckPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenantName, "apiKeys": []string{apiKey}, "priority": 1}},
	})
	return body
}

// post sends one call to control and returns the status and the body of the response.
func post(address, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// replaceConfiguration sends a configuration to one control host after the other, with increasing
// backoff, until one acknowledges it. It returns false once the time is over.
func (l *Lab) replaceConfiguration(version int, limit time.Duration) bool {
	body, began, wait := configuration(version), time.Now(), 50*time.Millisecond
	for i := 0; time.Since(began) < limit; i++ {
		m := l.core[i%len(l.core)]
		status, _, err := post(l.address(m.ip, portControl), "/Configuration.Replace", body)
		l.record.Event("operator: configuration %d to %s: status %d %v", version, m.name, status, errorText(err))
		if err == nil && status == http.StatusOK {
			return true
		}
		time.Sleep(wait)
		wait = min(2*wait, time.Second)
	}
	return false
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return "(no answer)"
}
