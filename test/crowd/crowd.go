// Package crowd plays crowds of clients that do not behave, and measures what a process holds meanwhile. Each client
// does the same again and again, so that a crowd also comes in waves as its connections are closed.
package crowd

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/test/local"
)

const (
	// Stay is how long a crowd stays.
	Stay = 3 * time.Second
	// reconnectDelay is how long a client waits before it connects again.
	reconnectDelay = 20 * time.Millisecond
	// sendBuffer bounds the bytes that the kernel holds for a client, which would otherwise be megabytes.
	sendBuffer = 128 << 10
	// usageInterval is how often the usage of a process is read.
	usageInterval = 20 * time.Millisecond
)

// Client is what a client does with a new connection. It returns when ctx ends, the peer has closed the connection,
// or the client closes it.
type Client func(ctx context.Context, c net.Conn)

// Crowd is a number of clients that do the same with one listener.
type Crowd struct {
	Address string
	Clients int
	Client  Client
}

// Process is a process whose usage is measured.
type Process interface {
	Usage() (local.Usage, error)
	Descriptors() (int, error)
}

// Usage is what a process holds: resident memory together with the bytes that arrived and were not read, and
// descriptors.
type Usage struct{ Memory, Descriptors int64 }

// Endure lets crowds at a process for the time Stay. It returns the highest usage of the process and how many
// connections there were. The process has the addresses for which isOwn returns true.
func Endure(ctx context.Context, p Process, isOwn func(ip string, port int) bool, crowds ...Crowd) (Usage, int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peak := make(chan Usage, 1)
	go func() { peak <- Watch(ctx, p, isOwn) }()
	crowdCtx, end := context.WithTimeout(ctx, Stay)
	defer end()
	connections := Run(crowdCtx, crowds...)
	cancel()
	return <-peak, connections
}

// Run lets crowds connect until ctx ends. It returns the number of connections.
func Run(ctx context.Context, crowds ...Crowd) int64 {
	var clients sync.WaitGroup
	var connections atomic.Int64
	for _, c := range crowds {
		for range c.Clients {
			clients.Go(func() { c.connect(ctx, &connections) })
		}
	}
	clients.Wait()
	return connections.Load()
}

// connect connects again and again until ctx ends.
func (c Crowd) connect(ctx context.Context, connections *atomic.Int64) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.Address, Stay)
		if err == nil {
			connections.Add(1)
			_ = conn.(*net.TCPConn).SetWriteBuffer(sendBuffer)
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			c.Client(ctx, conn)
			stop()
			_ = conn.Close()
		}
		pause.For(ctx, reconnectDelay)
	}
}

// Watch returns the highest usage of a process until ctx ends. While the process is down it has none.
func Watch(ctx context.Context, process Process, isOwn func(ip string, port int) bool) Usage {
	var peak Usage
	for ctx.Err() == nil {
		if u, err := usageOf(process, isOwn); err == nil {
			peak.Memory, peak.Descriptors = max(peak.Memory, u.Memory), max(peak.Descriptors, u.Descriptors)
		}
		pause.For(ctx, usageInterval)
	}
	return peak
}

func usageOf(p Process, isOwn func(ip string, port int) bool) (Usage, error) {
	resident, err := p.Usage()
	if err != nil {
		return Usage{}, err
	}
	descriptors, err := p.Descriptors()
	if err != nil {
		return Usage{}, err
	}
	unread, err := local.UnreadBytes(isOwn)
	return Usage{Memory: resident.Resident + unread, Descriptors: int64(descriptors)}, err
}
