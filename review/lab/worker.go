package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run is a request that a worker has begun to work on.
type Run struct {
	At      time.Time
	Attempt string
	Kind    string
	From    string
	// IsCut is set if the worker exited before it had answered.
	IsCut bool
}

// Worker is a worker of a plain service. It answers 421 to requests that expect another instance.
type Worker struct {
	lab     *Lab
	id      string
	zone    string
	address string
	slots   int
	server  *http.Server
	stop    context.CancelFunc
	// ended is closed when the worker exits.
	ended chan struct{}
	busy  atomic.Int64

	// mu guards the fields below.
	mu        sync.Mutex
	runs      []*Run
	sequence  int
	heartbeat string
	hasLeft   bool
}

// workTime is how long a request takes.
const workTime = 15 * time.Millisecond

// newWorker returns a worker that does not listen yet. Its first heartbeat goes to the given control host.
func (l *Lab) newWorker(number, zone int, first *Machine) *Worker {
	return &Worker{
		lab: l, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zones[zone], address: l.address(l.ip(number), portWorker),
		slots: 6, ended: make(chan struct{}), heartbeat: l.address(first.ip, portControl),
	}
}

// startWorker starts a worker that sends heartbeats, the first one to the given control host.
func (l *Lab) startWorker(number, zone int, first *Machine) (*Worker, error) {
	w := l.newWorker(number, zone, first)
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func() { _ = w.server.Serve(listener) }()
	w.startHeartbeats()
	return w, nil
}

func (w *Worker) startHeartbeats() {
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go w.sendHeartbeats(ctx)
}

// sendHeartbeats sends heartbeats until the worker leaves.
func (w *Worker) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		w.sendHeartbeat()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat sends one heartbeat to the address that the last response named, and to the other
// control hosts if that fails.
func (w *Worker) sendHeartbeat() {
	w.mu.Lock()
	if w.hasLeft {
		w.mu.Unlock()
		return
	}
	w.sequence++
	body := heartbeatBody(w.address, w.zone, w.slots, w.sequence)
	targets := []string{w.heartbeat}
	w.mu.Unlock()
	for _, m := range w.lab.core {
		targets = append(targets, w.lab.address(m.ip, portControl))
	}
	for _, address := range targets {
		status, data, err := post(address, "/Instances.Heartbeat/"+w.id, body)
		if err != nil || status != http.StatusOK {
			continue
		}
		var answer struct {
			HeartbeatAddress string `json:"heartbeatAddress"`
		}
		_ = json.Unmarshal(data, &answer)
		w.mu.Lock()
		w.heartbeat = address
		if answer.HeartbeatAddress != "" {
			w.heartbeat = answer.HeartbeatAddress
		}
		w.mu.Unlock()
		return
	}
}

// heartbeatBody returns the body of a heartbeat of a worker that is ready.
func heartbeatBody(address, zone string, slots, sequence int) []byte {
	body, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequenceNumber": sequence,
	})
	return body
}

// HeartbeatAddress returns where the worker sends its heartbeats.
func (w *Worker) HeartbeatAddress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heartbeat
}

// Leave sends the leave call to a control host and returns when it was acknowledged. The worker sends
// no heartbeats from then on, and serves on.
func (w *Worker) Leave(m *Machine) (time.Time, error) {
	w.mu.Lock()
	w.hasLeft = true
	w.mu.Unlock()
	w.stop()
	status, _, err := post(w.lab.address(m.ip, portControl), "/Instances.Leave/"+w.id, nil)
	at := time.Now()
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	w.lab.record.EventAt(at, "worker %s: leave to %s: status %d %s", w.id, m.name, status, errorText(err))
	return at, err
}

// Exit ends the worker. Requests that it works on are cut off.
func (w *Worker) Exit() {
	w.stop()
	close(w.ended)
	_ = w.server.Close()
	w.lab.record.Event("worker %s exited", w.id)
}

// Runs returns what the worker has begun to work on.
func (w *Worker) Runs() []*Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Run(nil), w.runs...)
}

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("X-Attempt-Id", attempt)
	rw.Header().Set("X-Instance-Id", w.id)
	rw.Header().Set("Keep-Alive", "timeout=15")
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.busy.Add(1) > int64(w.slots) {
		w.busy.Add(-1)
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.busy.Add(-1)
	run := w.begin(r, attempt)
	select {
	case <-time.After(workTime):
	case <-w.ended:
		w.mu.Lock()
		run.IsCut = true
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%s.%d", w.id, attempt, len(body)))
	_, _ = fmt.Fprintf(rw, "%s answered by %s", attempt, w.id)
}

// begin records that the worker begins to work on a request.
func (w *Worker) begin(r *http.Request, attempt string) *Run {
	kind := "safe"
	if r.Method == http.MethodPost {
		kind = "unsafe"
	}
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	run := &Run{At: time.Now(), Attempt: attempt, Kind: kind, From: from}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	w.lab.record.EventAt(run.At, "worker %s runs %s (%s)", w.id, attempt, kind)
	return run
}
