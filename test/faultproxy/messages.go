package faultproxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	"github.com/coder/websocket"
)

// Rewrite returns what is delivered in place of one message: nothing drops it,
// two copies duplicate it, an earlier one kept back crosses it. It is called for
// each session and direction in order, by one goroutine per direction.
type Rewrite func(d Direction, message []byte) [][]byte

// WebSocket is a proxy of WebSocket sessions before one target address.
type WebSocket struct {
	server  *httptest.Server
	target  string
	rewrite atomic.Pointer[Rewrite]
}

const readLimit = 32 << 20

// NewWebSocket starts a proxy on a port from the kernel. It passes everything on
// until SetRewrite.
func NewWebSocket(target string) *WebSocket {
	p := &WebSocket{target: target}
	p.SetRewrite(func(_ Direction, m []byte) [][]byte { return [][]byte{m} })
	p.server = httptest.NewServer(p)
	return p
}

// Address is where the proxy listens.
func (p *WebSocket) Address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// SetRewrite changes what happens to messages from now on.
func (p *WebSocket) SetRewrite(r Rewrite) { p.rewrite.Store(&r) }

// Close ends the proxy.
func (p *WebSocket) Close() { p.server.CloseClientConnections() }

// ServeHTTP carries one session.
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
