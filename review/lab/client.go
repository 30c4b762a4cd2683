package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clientDeadline is how long a client waits for an answer.
const clientDeadline = time.Second

// Attempt is one request of a client.
type Attempt struct {
	ID     string
	Kind   string
	Front  *Machine
	SentAt time.Time
	// Status is 0 if there was no answer.
	Status int
	// HasSignature tells that the answer bears a worker's signature.
	HasSignature bool
	AnsweredAt   time.Time
}

// Clients sends requests to the fronts at a steady rate.
type Clients struct {
	lab  *Lab
	stop chan struct{}
	wg   sync.WaitGroup

	// mu guards attempts.
	mu       sync.Mutex
	attempts map[string]*Attempt
}

// startClients sends perSecond requests a second to each front, of the given kinds in turn.
func (l *Lab) startClients(perSecond int, kinds ...string) *Clients {
	c := &Clients{lab: l, stop: make(chan struct{}), attempts: map[string]*Attempt{}}
	for _, front := range l.fronts {
		c.wg.Go(func() { c.sendTo(front, time.Second/time.Duration(perSecond), kinds) })
	}
	return c
}

func (c *Clients) sendTo(front *Machine, interval time.Duration, kinds []string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: clientDeadline}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-tick.C:
		}
		c.wg.Go(func() { c.send(client, front, kinds[i%len(kinds)]) })
	}
}

// send sends one request and records its answer.
func (c *Clients) send(client *http.Client, front *Machine, kind string) {
	a := &Attempt{ID: fmt.Sprintf("%016x", rand.Uint64()), Kind: kind, Front: front, SentAt: time.Now()}
	method, path, body := http.MethodPost, unsafePath, "scan "+a.ID
	if kind == "safe" {
		method, path, body = http.MethodGet, safePath, ""
	}
	req, err := http.NewRequest(method, "http://"+c.lab.address(front.ip, portFront)+path+"2f", strings.NewReader(body))
	if err != nil {
		return
	}
	// Without GetBody, net/http sends nothing twice.
	req.GetBody = nil
	req.Host = hostName
	req.Header.Set("X-Attempt-Id", a.ID)
	req.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(clientDeadline.Milliseconds()))
	req.Header.Set("X-Credential", apiKey)
	c.lab.record.EventAt(a.SentAt, "client sends %s (%s) to %s", a.ID, kind, front.name)
	if resp, err := client.Do(req); err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.Status, a.HasSignature = resp.StatusCode, resp.Header.Get("X-Response-Signature") != ""
		}
	}
	a.AnsweredAt = time.Now()
	c.lab.record.EventAt(a.AnsweredAt, "client gets %d for %s", a.Status, a.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[a.ID] = a
}

// Stop ends the traffic and waits for the last answers.
func (c *Clients) Stop() {
	close(c.stop)
	c.wg.Wait()
}

// Find returns the attempt with the given id, nil if no client has sent it.
func (c *Clients) Find(id string) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[id]
}

// Served counts the attempts that were answered with success.
func (c *Clients) Served() (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if all++; a.Status/100 == 2 && a.HasSignature {
			served++
		}
	}
	return served, all
}
