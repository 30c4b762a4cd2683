package inbound

import (
	"net/http"
	"time"
)

const (
	// ReceiveBuffer is the receive buffer that listeners ask the kernel for, in bytes. The kernel holds up to
	// half as much again for a client that is not read.
	ReceiveBuffer = 16 << 10
	// connectionBytes is the memory that a connection may use: what the kernel holds unread, the buffers and
	// stacks of its server, and the parts of its head and body that HeadAllowance and BodyAllowance cover.
	connectionBytes = 64 << 10
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
	mainFraction = 0.3
	peerFraction = 0.125
	// descriptorFraction is the fraction of the descriptors that one listener's connections may have.
	descriptorFraction = 0.45
	// ReadyConnections and MetricsConnections are far above the few that check and read a host.
	ReadyConnections   = 48
	MetricsConnections = 16
)

// Shares are the numbers of connections that listeners may have. 0 means no limit.
type Shares struct {
	// Main is for the listener that a process exists for: that for callers, or for upstreams and operators.
	Main int
	// Peer is for connections of other hosts that are no sessions yet.
	Peer int
}

// SharesFor returns the shares of a process with the given memory in megabytes and number of descriptors. A value
// that is not positive does not limit.
func SharesFor(memoryMB, descriptors int) Shares {
	return Shares{Main: share(mainFraction, memoryMB, descriptors), Peer: share(peerFraction, memoryMB, descriptors)}
}

func share(fraction float64, memoryMB, descriptors int) int {
	connections := 0
	if memoryMB > 0 {
		connections = max(1, int(fraction*float64(int64(memoryMB)<<20)/connectionBytes))
	}
	if descriptors > 0 {
		most := max(1, int(descriptorFraction*float64(descriptors)))
		if connections == 0 || most < connections {
			connections = most
		}
	}
	return connections
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
