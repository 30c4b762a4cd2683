package inbound

import (
	"net/http"
	"time"
)

const (
	// ReceiveBuffer is the receive buffer that listeners ask the kernel for, in bytes. The kernel holds up to
	// half as much again for a client that is not read, of larger buffers up to twice as much.
	ReceiveBuffer = 16 << 10
	// connectionBytes is the memory that a connection may use: what the kernel holds unread, the buffers and
	// stacks of its server, and the parts of its head and body that HeadAllowance and BodyAllowance cover.
	connectionBytes = 64 << 10
	// http2ConnectionBytes is the same for a connection that may speak HTTP/2 and has a receive buffer of
	// HTTP2ReceiveBuffer. HTTP2Window bounds the part of bodies that is not read yet. Requests are counted by
	// themselves.
	http2ConnectionBytes = 384 << 10
	// HTTP2ReceiveBuffer and HTTP2Window are for clients that are far away: each suffices for some hundred
	// kilobytes a second over a round trip of a tenth of a second.
	HTTP2ReceiveBuffer = 64 << 10
	HTTP2Window        = 128 << 10
	// HeadAllowance is the part of a head, as HeadBytes counts it, that the share of its connection covers, so that
	// no crowd can take it. It suffices for ordinary requests.
	HeadAllowance = 8 << 10
	// BodyAllowance is the same for a body.
	BodyAllowance = 4 << 10
	// fieldBytes is the memory that a header field costs beside its text: its places in the map and in the list
	// of its values, and what growing them leaves behind.
	fieldBytes = 128
	// readAhead is how many bytes beyond a head the server may have read from a connection.
	readAhead = 4 << 10
)

// Limits are the limits of one listener. A value that is 0 means no limit.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// HeadBytes is the size of a request's head.
	HeadBytes int64
	// HeadTimeout is the time from the first byte of a head, or from the accept, to its end. IdleTimeout is the time
	// between two requests, WriteTimeout that for which a client may accept nothing that is written to it. A
	// connection is closed up to two seconds later.
	HeadTimeout, IdleTimeout, WriteTimeout time.Duration
}

// The fractions of a process's memory for the connections of its listeners, and the numbers of connections at
// those that only the platform uses.
const (
	// requestBytes is the memory of a request on a connection with others: its stack, and the parts of its head and
	// body that HeadAllowance and BodyAllowance cover.
	requestBytes = 32 << 10
	mainFraction = 0.3
	peerFraction = 0.125
	// controlFraction is smaller than mainFraction, because a control host also decodes configurations.
	controlFraction = 0.2
	// descriptorFraction is the fraction of the descriptors that one listener's connections may have.
	descriptorFraction = 0.45
	// ReadyConnections and MetricsConnections are far above the few that check and read a host.
	ReadyConnections   = 48
	MetricsConnections = 16
)

// Machine is what a process may use. A value that is not positive is unknown and does not limit.
type Machine struct {
	MemoryMB int
	// Descriptors is the number of file descriptors for sockets and data.
	Descriptors int
}

// Shares are the numbers of connections that listeners may have. 0 means no limit.
type Shares struct {
	// Main is for the listener for callers, Control for that for upstreams and operators.
	Main, Control int
	// HTTP2 is for a listener whose clients may speak HTTP/2, and Requests is how many requests they may have in progress.
	HTTP2, Requests int
	// Peer is for connections of other hosts that are no sessions yet, Sessions is how many sessions they may have.
	Peer, Sessions int
}

// Shares returns the shares of a process's listeners.
func (m Machine) Shares() Shares {
	return Shares{
		Main: m.share(mainFraction, connectionBytes), Control: m.share(controlFraction, connectionBytes),
		HTTP2:    m.share(mainFraction/2, http2ConnectionBytes),
		Requests: Machine{MemoryMB: m.MemoryMB}.share(mainFraction/2, requestBytes), Peer: m.share(peerFraction, connectionBytes),
		Sessions: max(m.Descriptors, 0) / 3,
	}
}

// share returns how many times a number of bytes fits into a fraction of the memory, at most as many as there may be
// connections.
func (m Machine) share(fraction, bytes float64) int {
	n := 0
	if m.MemoryMB > 0 {
		n = max(1, int(fraction*float64(int64(m.MemoryMB)<<20)/bytes))
	}
	if m.Descriptors > 0 {
		most := max(1, int(descriptorFraction*float64(m.Descriptors)))
		if n == 0 || most < n {
			n = most
		}
	}
	return n
}

// HeadBytes returns the memory that a head uses, in bytes.
func HeadBytes(h http.Header) int64 {
	sum := int64(0)
	for name, values := range h {
		sum += int64(len(name))
		for _, v := range values {
			sum += int64(len(v)) + fieldBytes
		}
	}
	return sum
}
