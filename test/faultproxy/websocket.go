package faultproxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	"github.com/coder/websocket"
)

// Rewrite returns the messages that are delivered in place of one message. An empty result
// drops the message, two copies duplicate it, and a function that keeps a message and returns
// it later reorders messages. Within one session and direction the calls are in the order of
// the messages and never concurrent; different sessions and directions call it concurrently.
type Rewrite func(d Direction, message []byte) [][]byte

// WebSocket is a proxy that forwards WebSocket sessions to one target address.
type WebSocket struct {
	server  *httptest.Server
	target  string
	rewrite atomic.Pointer[Rewrite]
}

// readLimit is the largest message that the proxy forwards, in bytes.
const readLimit = 32 << 20

// NewWebSocket starts a proxy on a port that the kernel chooses. It forwards every message
// unchanged until SetRewrite is called.
func NewWebSocket(target string) *WebSocket {
	p := &WebSocket{target: target}
	p.SetRewrite(func(_ Direction, m []byte) [][]byte { return [][]byte{m} })
	p.server = httptest.NewServer(p)
	return p
}

// Address returns the host and port on which the proxy listens.
func (p *WebSocket) Address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// SetRewrite replaces the function that rewrites messages, also for sessions that are open.
func (p *WebSocket) SetRewrite(r Rewrite) { p.rewrite.Store(&r) }

// Close closes the client connections, but not the listener.
func (p *WebSocket) Close() { p.server.CloseClientConnections() }

// ServeHTTP relays one session in both directions until either side closes it.
func (p *WebSocket) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	header := http.Header{"Authorization": r.Header["Authorization"]}
	out, resp, err := websocket.Dial(ctx, "ws://"+p.target+r.URL.Path, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		status := http.StatusBadGateway
		if resp != nil {
			status = resp.StatusCode
		}
		http.Error(w, "target refused", status)
		return
	}
	defer func() { _ = out.CloseNow() }()
	in, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = in.CloseNow() }()
	in.SetReadLimit(readLimit)
	out.SetReadLimit(readLimit)
	done := make(chan struct{}, 2)
	go p.relay(ctx, out, in, Forward, done)
	go p.relay(ctx, in, out, Backward, done)
	<-done
}

// relay forwards messages in one direction until a connection fails.
func (p *WebSocket) relay(ctx context.Context, to, from *websocket.Conn, d Direction, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	for {
		kind, data, err := from.Read(ctx)
		if err != nil {
			return
		}
		for _, m := range (*p.rewrite.Load())(d, data) {
			if to.Write(ctx, kind, m) != nil {
				return
			}
		}
	}
}
