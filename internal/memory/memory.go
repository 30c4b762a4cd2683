// Package memory bounds the bytes that a host holds for its callers: bodies of requests, responses
// that are read before they are forwarded, and events that wait for a slow caller.
//
// A Budget counts bytes by connection and in all. If they reach the limit of the host, it chooses
// the connection to shed: of those whose caller lets the host wait, the one with the largest
// product of the bytes held and the time without progress. The package reads no clock and does no
// I/O; the owner of a connection aborts it.
//
// # Locks
//
// Budget.mu guards the Budget and the counts of its connections. Connection.abortMu guards only the
// abort function. Budget.mu may be taken while abortMu is held, not the other way round.
package memory

import (
	"math"
	"sync"
	"time"
)

const (
	// budgetFraction is the fraction of the host's memory that may be held for callers. The heap
	// grows by up to 60% between two collections, and the garbage collector works harder from 60%
	// of the memory on.
	budgetFraction = 0.3
	// connectionFraction is the fraction of the budget that one connection may hold. On the smallest
	// hosts, of 136 MB, it leaves room for the largest response, of 16 MB, and a body of 4 MB.
	connectionFraction = 0.5
	// responseFraction is the fraction of the budget that responses may use. The rest is kept for the
	// bodies of new requests, so that these are not refused before the callers that let the host wait
	// have stalled for minStall.
	responseFraction = 0.75
	// minStall is the time without progress from which a connection may be shed. It is longer than
	// the retransmission of a lost packet takes.
	minStall = 300 * time.Millisecond
)

// Limits are the limits of a Budget in bytes.
type Limits struct{ Total, Connection int64 }

// LimitsFor returns the limits of a host with the given memory in megabytes. Without a positive
// value there is no limit.
func LimitsFor(memoryMB int) Limits {
	if memoryMB <= 0 {
		return Limits{Total: math.MaxInt64, Connection: math.MaxInt64}
	}
	total := budgetFraction * float64(int64(memoryMB)<<20)
	return Limits{Total: int64(total), Connection: int64(connectionFraction * total)}
}

// Budget counts the bytes that a host holds for its callers. It is safe for concurrent use.
type Budget struct {
	limits Limits

	// mu guards the fields below and the counts of all connections.
	mu   sync.Mutex
	held int64
	// leaving is how much of held belongs to connections that were shed and have not released it yet.
	leaving     int64
	connections map[*Connection]struct{}
	// released is closed and replaced by nil when bytes are released; nil if nobody waits for that.
	released chan struct{}
}

// NewBudget returns a Budget that holds nothing.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, connections: map[*Connection]struct{}{}}
}

// Connection counts the bytes held for one caller. It must be closed.
type Connection struct {
	budget *Budget
	// held, stalledSince, isWaiting and isShed are guarded by the budget's lock.
	held int64
	// stalledSince is when the caller has last read or sent something, or when the host began to
	// wait for it. It is valid while isWaiting is set.
	stalledSince time.Duration
	isWaiting    bool
	isShed       bool

	// abortMu is held while abort runs, so that it does not run after Close.
	abortMu sync.Mutex
	abort   func()
}

// Open returns the account of a new connection. abort is called by Abort, at most once and not after
// Close. It must neither block nor call Abort or Close.
func (b *Budget) Open(abort func()) *Connection {
	c := &Connection{budget: b, abort: abort}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections[c] = struct{}{}
	return c
}

// Held returns the number of bytes held for all connections.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Connections returns the number of connections that are not closed.
func (b *Budget) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.connections)
}

// Released returns a channel that is closed when bytes are released.
func (b *Budget) Released() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// Outcome is the result of Take.
type Outcome uint8

const (
	// Taken means that the bytes are counted and may be used.
	Taken Outcome = iota
	// ConnectionFull means that the connection would exceed its own limit.
	ConnectionFull
	// HostFull means that the host would exceed its limit.
	HostFull
	// IsShed means that the connection was shed and gets no more bytes.
	IsShed
)

// Use is what bytes are held for.
type Use uint8

const (
	// Body is the body of a request.
	Body Use = iota
	// Response is a response or a part of one.
	Response
)

// limitFor returns how many bytes may be held in all if more are taken for the given use.
func (b *Budget) limitFor(use Use) int64 {
	if use == Response {
		return int64(responseFraction * float64(b.limits.Total))
	}
	return b.limits.Total
}

// Take counts n more bytes for the connection, if they fit. If the host's limit is in the way and
// shedding a connection helps, it returns that connection, whose Abort the caller must call; its
// bytes are free once it is closed. The victim may be the connection itself.
func (c *Connection) Take(use Use, n int64, now time.Duration) (outcome Outcome, victim *Connection) {
	b := c.budget
	limit := b.limitFor(use)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case c.isShed:
		return IsShed, nil
	case c.held+n > b.limits.Connection:
		return ConnectionFull, nil
	case b.held+n <= limit:
		c.held += n
		b.held += n
		return Taken, nil
	case b.held+n-b.leaving <= limit:
		return HostFull, nil
	}
	if victim = b.victim(now); victim != nil {
		victim.isShed = true
		b.leaving += victim.held
	}
	if victim == c {
		return IsShed, victim
	}
	return HostFull, victim
}

// victim returns the connection to be shed, nil if none has stalled. The caller holds mu.
func (b *Budget) victim(now time.Duration) *Connection {
	var worst *Connection
	highest := 0.0
	for c := range b.connections {
		stalled := now - c.stalledSince
		if c.isShed || !c.isWaiting || stalled < minStall {
			continue
		}
		if score := float64(c.held) * stalled.Seconds(); score > highest {
			worst, highest = c, score
		}
	}
	return worst
}

// Release gives back n bytes that were taken.
func (c *Connection) Release(n int64) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(c, n)
}

// release gives back bytes and tells those that wait for them. The caller holds mu.
func (b *Budget) release(c *Connection, n int64) {
	c.held -= n
	b.held -= n
	if c.isShed {
		b.leaving -= n
	}
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Progress records that the host waits for the caller and that the caller has just read or sent
// something, or that the wait begins.
func (c *Connection) Progress(now time.Duration) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.isWaiting, c.stalledSince = true, now
}

// StopWaiting records that the host does not wait for the caller any more.
func (c *Connection) StopWaiting() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.isWaiting = false
}

// IsShed reports whether the connection was shed.
func (c *Connection) IsShed() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.isShed
}

// Held returns the number of bytes held for the connection.
func (c *Connection) Held() int64 {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.held
}

// Abort aborts the connection, unless it is closed.
func (c *Connection) Abort() {
	c.abortMu.Lock()
	defer c.abortMu.Unlock()
	if c.abort != nil {
		c.abort()
		c.abort = nil
	}
}

// Close gives back all bytes of the connection.
func (c *Connection) Close() {
	c.abortMu.Lock()
	c.abort = nil
	c.abortMu.Unlock()
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(c, c.held)
	delete(b.connections, c)
}
