// Package memory bounds the bytes that a host holds for its callers: heads and bodies of requests, responses
// that are read before they are forwarded, and events that wait for a slow caller.
//
// A Budget counts bytes by connection and in all. If they reach the limit of the host, it chooses
// the connection to shed: of those whose caller lets the host wait, the one with the largest
// product of the bytes held and the time without progress. The package reads no clock and does no
// I/O; the owner of a connection aborts it. Only Hold and AwaitRelease wait.
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
	// useFraction is the fraction of the budget that one use may have. The rest is kept for the other one:
	// slow readers can't keep new requests out, and slow senders can't hold up responses, before they have
	// stalled for minStall.
	useFraction = 0.75
	// minStall is the time without progress from which a connection may be shed. It is longer than
	// the retransmission of a lost packet takes.
	minStall = 300 * time.Millisecond
	// minPace is the pace, in bytes per second, below which a caller that sends counts as stalled more and
	// more, although bytes arrive.
	minPace = 32 << 10
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
	// heldFor is held by use.
	heldFor [uses]int64
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
	// heldFor, stalledSince, isWaiting and isShed are guarded by the budget's lock.
	heldFor [uses]int64
	// stalledSince is when the host began to wait for the caller, moved forward by what the caller has done
	// since. It is valid while isWaiting is set.
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
	// Body is the head or the body of a request.
	Body Use = iota
	// Response is a response or a part of one.
	Response
	// uses is the number of uses.
	uses
)

// excess returns by how many bytes the limits of the host would be exceeded if n more were held for a use.
// The caller holds mu.
func (b *Budget) excess(use Use, n int64) int64 {
	ofUse := int64(useFraction * float64(b.limits.Total))
	return max(b.held+n-b.limits.Total, b.heldFor[use]+n-ofUse)
}

// held returns the bytes held for the connection. The caller holds the budget's lock.
func (c *Connection) held() int64 {
	sum := int64(0)
	for _, n := range c.heldFor {
		sum += n
	}
	return sum
}

// add changes the bytes held for a use. The caller holds mu.
func (b *Budget) add(c *Connection, use Use, n int64) {
	c.heldFor[use] += n
	b.heldFor[use] += n
	b.held += n
	if c.isShed {
		b.leaving += n
	}
}

// Take counts n more bytes for the connection, if they fit. If the host's limit is in the way and
// shedding a connection helps, it returns that connection, whose Abort the caller must call; its
// bytes are free once it is closed. The victim may be the connection itself.
func (c *Connection) Take(use Use, n int64, now time.Duration) (outcome Outcome, victim *Connection) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	excess := b.excess(use, n)
	switch {
	case c.isShed:
		return IsShed, nil
	case c.held()+n > b.limits.Connection:
		return ConnectionFull, nil
	case excess <= 0:
		b.add(c, use, n)
		return Taken, nil
	case excess <= b.leaving:
		return HostFull, nil
	}
	if victim = b.victim(now); victim != nil {
		b.shed(victim)
	}
	if victim == c {
		return IsShed, victim
	}
	return HostFull, victim
}

// shed records that a connection is shed. The caller holds mu.
func (b *Budget) shed(c *Connection) {
	c.isShed = true
	b.leaving += c.held()
}

// victim returns the connection to be shed, nil if none has stalled. The caller holds mu.
func (b *Budget) victim(now time.Duration) *Connection {
	return b.worst(now, func(c *Connection, stalled time.Duration) float64 {
		return float64(c.held()) * stalled.Seconds()
	})
}

// worst returns the connection that has stalled and has the highest positive score, nil if there is none. The
// caller holds mu.
func (b *Budget) worst(now time.Duration, score func(c *Connection, stalled time.Duration) float64) *Connection {
	var worst *Connection
	highest := 0.0
	for c := range b.connections {
		stalled := now - c.stalledSince
		if c.isShed || !c.isWaiting || stalled < minStall {
			continue
		}
		if s := score(c, stalled); s > highest {
			worst, highest = c, s
		}
	}
	return worst
}

// ShedStalled sheds the connection that has stalled for the longest, whatever it holds, so that its place becomes
// free. It returns that connection, whose Abort the caller must call, or nil if none has stalled.
func (b *Budget) ShedStalled(now time.Duration) *Connection {
	b.mu.Lock()
	defer b.mu.Unlock()
	victim := b.worst(now, func(_ *Connection, stalled time.Duration) float64 { return stalled.Seconds() })
	if victim != nil {
		b.shed(victim)
	}
	return victim
}

// Release gives back n bytes that were taken for a use.
func (c *Connection) Release(use Use, n int64) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(c, use, -n)
	b.tellReleased()
}

// tellReleased wakes those that wait for bytes. The caller holds mu.
func (b *Budget) tellReleased() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Progress records that the host waits for the caller and that the caller has just done what the host waited
// for, or that the wait begins.
func (c *Connection) Progress(now time.Duration) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.isWaiting, c.stalledSince = true, now
}

// Advance records that the caller has sent n bytes of what the host waits for. They make up for the time that
// they take at minPace.
func (c *Connection) Advance(n int64, now time.Duration) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	credit := time.Duration(float64(n) / minPace * float64(time.Second))
	c.stalledSince = min(now, c.stalledSince+credit)
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
	return c.held()
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
	for use := range uses {
		b.add(c, use, -c.heldFor[use])
	}
	b.tellReleased()
	delete(b.connections, c)
}
