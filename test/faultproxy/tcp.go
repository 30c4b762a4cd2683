// Package faultproxy puts faults between real processes: it cuts, freezes and
// delays TCP connections in either direction, and it crosses, duplicates and
// drops the messages of WebSocket sessions. Tests only.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Direction tells who sent what the proxy carries.
type Direction int

const (
	// Forward is from the dialling side to the target.
	Forward Direction = iota
	// Backward is from the target to the dialling side.
	Backward
)

// Fault is what happens to one direction.
type Fault struct {
	// Frozen holds all bytes until it is lifted.
	Frozen bool
	// Delay holds each piece of bytes that long.
	Delay time.Duration
}

// TCP is a proxy before one target address.
type TCP struct {
	listener net.Listener
	target   string

	// mu guards the fields below; change wakes those who wait for a fault to end.
	mu            sync.Mutex
	faultsChanged *sync.Cond
	faults        [2]Fault
	cut           bool
	closed        bool
	conns         map[net.Conn]bool
}

// NewTCP starts a proxy on a port from the kernel.
func NewTCP(target string) (*TCP, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &TCP{listener: l, target: target, conns: make(map[net.Conn]bool)}
	p.faultsChanged = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *TCP) Address() string { return p.listener.Addr().String() }

// SetTarget moves the target; live connections stay with the old one.
func (p *TCP) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// Cut ends all connections and refuses new ones until Heal.
func (p *TCP) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	p.closeConns()
}

// SetFault puts a fault on one direction.
func (p *TCP) SetFault(d Direction, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d] = f
	p.faultsChanged.Broadcast()
}

// Freeze holds both directions, without ending a connection.
func (p *TCP) Freeze() {
	p.SetFault(Forward, Fault{Frozen: true})
	p.SetFault(Backward, Fault{Frozen: true})
}

// Heal lifts all faults. What was frozen goes on, late.
func (p *TCP) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
	p.faults = [2]Fault{}
	p.faultsChanged.Broadcast()
}

// Close ends the proxy.
func (p *TCP) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.listener.Close()
	p.closeConns()
	p.faultsChanged.Broadcast()
}

// closeConns ends all connections. The caller holds mu.
func (p *TCP) closeConns() {
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *TCP) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *TCP) serve(in net.Conn) {
	defer in.Close()
	target, ok := p.track(in)
	if !ok {
		return
	}
	defer p.untrack(in)
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	if _, ok := p.track(out); !ok {
		return
	}
	defer p.untrack(out)
	done := make(chan struct{}, 2)
	go p.copyBytes(out, in, Forward, done)
	go p.copyBytes(in, out, Backward, done)
	<-done
}

func (p *TCP) track(c net.Conn) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut || p.closed {
		return "", false
	}
	p.conns[c] = true
	return p.target, true
}

func (p *TCP) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *TCP) copyBytes(to io.Writer, from io.Reader, d Direction, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.awaitFault(d)
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitFault waits as long as the fault of the direction says.
func (p *TCP) awaitFault(d Direction) {
	p.mu.Lock()
	delay := p.faults[d].Delay
	p.mu.Unlock()
	if delay > 0 {
		<-time.After(delay)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.faults[d].Frozen && !p.closed && !p.cut {
		p.faultsChanged.Wait()
	}
}
