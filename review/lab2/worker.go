package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// heartbeatInterval is heartbeatIntervalMs of the settings.
	heartbeatInterval = 1200 * time.Millisecond
	// workTime is how long a request runs at a worker, the mean of the sheet.
	workTime = 15 * time.Millisecond
	// requestDeadline is the deadline of the sheet's safe requests.
	requestDeadline = time.Second
)

// worker is a sound worker of the plain service: it announces itself, and answers each request whole.
type worker struct {
	l           *lab
	id, address string
	zone        string
	server      *http.Server
}

// startWorker starts a worker with an address of its own. It runs until ctx ends.
func (l *lab) startWorker(ctx context.Context, number int, zone string) error {
	w := &worker{l: l, id: fmt.Sprintf("i-%d", number), address: l.at(address(number), portWorker), zone: zone}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func() { _ = w.server.Serve(listener) }()
	go w.announce(ctx)
	return nil
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if instance := r.Header.Get("X-Expected-Instance"); instance != "" && instance != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(workTime)
	rw.Header().Set("X-Response-Signature", w.id+"."+r.Header.Get("X-Attempt-Id"))
	_, _ = io.WriteString(rw, "answer of "+w.id)
}

// announce sends a heartbeat at each interval, to one control host after the other until it is acknowledged.
func (w *worker) announce(ctx context.Context) {
	defer func() { _ = w.server.Close() }()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": "s-1", "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready",
			"coldRemainingMs": 0, "sequenceNumber": sequence,
		})
		for _, m := range w.l.running(classCore) {
			if status, _ := w.l.call(ctx, m, http.MethodPost, "/Instances.Heartbeat/"+w.id, string(body)); status == "200" {
				break
			}
		}
		wait(ctx, heartbeatInterval)
	}
}

// isServed sends a safe request to a front and reports whether it gets the worker's whole answer.
func (l *lab) isServed(ctx context.Context, front *machine, attempt string) bool {
	ctx, cancel := context.WithTimeout(ctx, requestDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.at(front.ip, portFront)+"/a/x", nil)
	if err != nil {
		return false
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(requestDeadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		l.record("request %s to %s: no answer", attempt, front.name)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	isServed := err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("X-Response-Signature") != "" && len(body) > 0
	l.record("request %s to %s: %d, served %t", attempt, front.name, resp.StatusCode, isServed)
	return isServed
}
