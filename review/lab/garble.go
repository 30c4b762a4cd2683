package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxExtraShare is the share of its answers after which a garbling worker sends a second answer.
const maxExtraShare = 0.03

// GarblingWorker is a worker that sends an extra answer after some of its answers: the same bytes once more,
// late, at the point where the next answer on the connection is expected. Otherwise it does what Worker does.
type GarblingWorker struct {
	*Worker
	listener net.Listener

	// extraMu guards the fields below.
	extraMu         sync.Mutex
	isGarbling      bool
	answers, extras int
}

// startGarblingWorker starts a worker that garbles once it is told to.
func (l *Lab) startGarblingWorker(number, zone int, first *Machine) (*GarblingWorker, error) {
	w := l.newWorker(number, zone, first)
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	l.record.Event("worker %s starts at %s", w.id, w.address)
	g := &GarblingWorker{Worker: w, listener: listener}
	go g.accept()
	w.startHeartbeats()
	return g, nil
}

// StartGarbling makes the worker send extra answers from now on.
func (g *GarblingWorker) StartGarbling() {
	g.extraMu.Lock()
	defer g.extraMu.Unlock()
	g.isGarbling = true
}

// Counts returns how many answers the worker has sent, and how many extra ones after them.
func (g *GarblingWorker) Counts() (answers, extras int) {
	g.extraMu.Lock()
	defer g.extraMu.Unlock()
	return g.answers, g.extras
}

func (g *GarblingWorker) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.serve(c)
	}
}

// serve answers the requests of one connection. held is the extra answer that is sent before the next one.
func (g *GarblingWorker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var held []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		r.RemoteAddr = c.RemoteAddr().String()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if _, err := c.Write(held); err != nil {
			return
		}
		if held != nil {
			g.lab.record.Event("worker %s sends the extra answer late, as %s has arrived", g.id, r.Header.Get("X-Attempt-Id"))
		}
		answer, isMisdirected := g.answer(r, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		held = nil
		if g.takeExtra(isMisdirected) {
			held = answer
			g.lab.record.Event("worker %s answered %s; the same answer will come once more", g.id, r.Header.Get("X-Attempt-Id"))
		}
	}
}

// takeExtra counts an answer and reports whether an extra one follows: after an answer 421, as long as no more
// than maxExtraShare of the answers had one.
func (g *GarblingWorker) takeExtra(isMisdirected bool) bool {
	g.extraMu.Lock()
	defer g.extraMu.Unlock()
	g.answers++
	if !isMisdirected || !g.isGarbling || float64(g.extras+1) > maxExtraShare*float64(g.answers) {
		return false
	}
	g.extras++
	return true
}

// answer works on a request and returns the answer in wire format.
func (g *GarblingWorker) answer(r *http.Request, body []byte) (answer []byte, isMisdirected bool) {
	attempt := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != g.id {
		g.lab.record.Event("worker %s answers 421 to %s, which expects %s", g.id, attempt, expected)
		return encodeAnswer("421 Misdirected Request", attempt, "X-Instance-Id: "+g.id+"\r\n", ""), true
	}
	g.begin(r, attempt)
	time.Sleep(workTime)
	signature := fmt.Sprintf("X-Response-Signature: %s.%s.%d\r\n", g.id, attempt, len(body))
	return encodeAnswer("200 OK", attempt, signature, fmt.Sprintf("%s answered by %s", attempt, g.id)), false
}

func encodeAnswer(status, attempt, header, body string) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nKeep-Alive: timeout=15\r\n%sContent-Length: %d\r\n\r\n%s",
		status, attempt, header, len(body), body)
	return b.Bytes()
}

const (
	// soundWorkerCount is the number of workers besides the one that garbles.
	soundWorkerCount = 4
	// garbleTime is how long that worker garbles.
	garbleTime = 5 * time.Second
	// firstLifetime is how long its first incarnation ran, and rebirthDelay how long after its crash the
	// second one starts.
	firstLifetime, rebirthDelay = 500 * time.Millisecond, 500 * time.Millisecond
	// heartbeatDelay is how long the partition holds up the heartbeat of the first incarnation.
	heartbeatDelay = 4500 * time.Millisecond
)

// lateHeartbeatAndExtraAnswer: a worker starts behind a partition and crashes there. It starts again at the
// same address as a new incarnation, which registers. Then the heartbeat of its first incarnation arrives,
// while the worker sends extra answers.
func lateHeartbeatAndExtraAnswer(l *Lab, hasTrouble bool) (bool, error) {
	workers, err := l.startSoundWorkers()
	if err != nil {
		return false, err
	}
	clients := l.startClients(requestsPerSecond, "unsafe")
	time.Sleep(2 * contactTime)
	late, err := l.liveBehindPartition(firstWorker, 0)
	if err != nil {
		return false, err
	}
	heldSince := time.Now().Add(-firstLifetime)
	time.Sleep(rebirthDelay)
	reborn, err := l.startGarblingWorker(firstWorker, 0, l.core[0])
	if err != nil {
		return false, err
	}
	if hasTrouble {
		reborn.StartGarbling()
	}
	time.Sleep(time.Until(heldSince.Add(heartbeatDelay)))
	if hasTrouble {
		late.deliverHeartbeat(l.core[0])
	}
	time.Sleep(time.Until(heldSince.Add(firstLifetime + rebirthDelay + garbleTime)))
	clients.Stop()
	answers, extras := reborn.Counts()
	l.record.Event("worker %s sent %d answers and %d extra ones", reborn.id, answers, extras)
	return l.judgeRuns(clients, append(workers, reborn.Worker)), nil
}

// startSoundWorkers starts the machines, and sound workers in all zones but the first.
func (l *Lab) startSoundWorkers() ([]*Worker, error) {
	if err := l.startMachines(); err != nil {
		return nil, err
	}
	var workers []*Worker
	for i := range soundWorkerCount {
		zone := 1 + i%2
		w, err := l.startWorker(firstWorker+1+i, zone, l.core[zone])
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if !l.awaitAllReady() {
		return nil, errNotRun
	}
	return workers, nil
}

// liveBehindPartition lets a worker run for firstLifetime, of which no heartbeat arrives in that time.
func (l *Lab) liveBehindPartition(number, zone int) (*Worker, error) {
	w := l.newWorker(number, zone, l.core[0])
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	l.record.Event("worker %s starts at %s behind a partition, which holds up its heartbeat", w.id, w.address)
	time.Sleep(firstLifetime)
	_ = listener.Close()
	l.record.Event("worker %s crashes", w.id)
	return w, nil
}

// deliverHeartbeat delivers the first heartbeat of a worker to a control host.
func (w *Worker) deliverHeartbeat(m *Machine) {
	body := heartbeatBody(w.address, w.zone, w.slots, 1)
	status, _, err := post(w.lab.address(m.ip, portControl), "/Instances.Heartbeat/"+w.id, body)
	w.lab.record.Event("the heartbeat of %s arrives late at %s: status %d %s", w.id, m.name, status, errorText(err))
}

// judgeRuns checks the rules TWICE and REFUSED: no request that isn't idempotent runs more than once, and none
// that is answered 408, 421, 429 or 503 runs.
func (l *Lab) judgeRuns(clients *Clients, workers []*Worker) bool {
	runs := map[string][]string{}
	for _, w := range workers {
		for _, run := range w.Runs() {
			runs[run.Attempt] = append(runs[run.Attempt], w.id)
		}
	}
	twice, refused := 0, 0
	for attempt, ids := range runs {
		a := clients.Find(attempt)
		if a == nil || a.Kind != "unsafe" {
			continue
		}
		if len(ids) > 1 {
			twice++
			l.record.EventAt(a.SentAt, "TWICE: %s to %s ran at %s; the client got %d", attempt, a.Front.name, strings.Join(ids, " and "), a.Status)
		}
		if isPromise(a.Status) {
			refused++
			l.record.EventAt(a.SentAt, "REFUSED: %s to %s ran at %s; the client got %d", attempt, a.Front.name, strings.Join(ids, " and "), a.Status)
		}
	}
	served, all := clients.Served()
	l.record.Event("clients: %d of %d requests were served; %d ran twice, %d were answered as not run and ran", served, all, twice, refused)
	return twice > 0 || refused > 0
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
