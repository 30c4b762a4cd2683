package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errTooManyConnections reports that the limit on connections to an upstream is reached.
var errTooManyConnections = errors.New("all connections to the upstream are in use")

// pool holds the connections to upstreams by address.
type pool struct {
	dialTimeout time.Duration

	// mu guards the fields below. It is not held while dialling.
	mu sync.Mutex
	// idle holds the idle connections, the most recently used one last.
	idle map[string][]*conn
	// open counts the open connections, including idle ones.
	open map[string]int
}

func newPool(dialTimeout time.Duration) *pool {
	return &pool{dialTimeout: dialTimeout, idle: make(map[string][]*conn), open: make(map[string]int)}
}

// get returns an idle connection that is not in the trail, or opens one if there is none. limit is the
// maximum number of open connections; 0 means no limit. The caller returns the connection by put or
// closeConn.
func (p *pool) get(ctx context.Context, address string, limit int, now time.Time, trail *Trail) (*conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if now.Before(c.expires) && !trail.contains(c) && c.isReusable() {
			return c, nil
		}
		p.closeConn(c)
	}
	if !p.reserve(address, limit) {
		return nil, errTooManyConnections
	}
	c, err := dial(ctx, address, p.dialTimeout)
	if err != nil {
		p.release(address)
		return nil, err
	}
	return c, nil
}

func (p *pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

func (p *pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *pool) closeConn(c *conn) {
	_ = c.Close()
	p.release(c.address)
}

// sweep closes the idle connections that have expired.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.closeConn(c)
	}
}
