package integration

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/test/crowd"
	"github.com/sassafraspost/sassafraspost/test/local"
)

// What the daemons of these tests may use.
const (
	crowdMemoryMB    = 192
	crowdDescriptors = 1500
	// bodyLimit is the default of max-body.
	bodyLimit = 1 << 20
)

// startCrowdSystem starts a system of its own. No other test of the package runs beside it.
func startCrowdSystem(t *testing.T, hasTLS bool) *system {
	t.Helper()
	layout := local.Layout{Control: 1, Entries: 1, Engines: 1, MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors, HasTLS: hasTLS}
	if !hasTLS {
		return start(t, layout)
	}
	s := startEmpty(t, layout)
	require.NoError(t, s.Bootstrap(s.ctx))
	out, err := s.Submit(s.ctx, local.Document("v1"))
	require.NoError(t, err, out)
	return s
}

// portsOf returns a function that is true for the addresses of a host.
func portsOf(t *testing.T, h *local.Host) func(ip string, port int) bool {
	own := map[int]bool{}
	for _, address := range []string{h.ListenAddress, h.PeerAddress, h.MetricsAddress} {
		_, text, err := net.SplitHostPort(address)
		require.NoError(t, err)
		port, err := strconv.Atoi(text)
		require.NoError(t, err)
		own[port] = true
	}
	return func(_ string, port int) bool { return own[port] }
}

// endure lets crowds at a host and requires that it lives and stays within its limits.
func (s *system) endure(h *local.Host, crowds ...crowd.Crowd) {
	s.t.Helper()
	highest, connections := crowd.Endure(s.ctx, h, portsOf(s.t, h), crowds...)
	s.t.Logf("%s: %d MB, %d descriptors at most; %d connections", s.t.Name(), highest.Memory>>20, highest.Descriptors, connections)
	require.True(s.t, h.IsRunning(), "the process lives")
	require.LessOrEqual(s.t, highest.Memory, int64(crowdMemoryMB)<<20, "memory with unread bytes")
	require.LessOrEqual(s.t, highest.Descriptors, int64(crowdDescriptors), "descriptors")
}

func (s *system) requireServed(client *http.Client) {
	s.t.Helper()
	s.await("an ordinary request", func() bool {
		r := local.DoWithClient(s.ctx, client, s.Entries[0].ListenAddress, local.CompletionRequest("after the crowd", 5, false))
		return r.Status == http.StatusOK
	})
}

func callerHead(method, path string) crowd.Head {
	return func() string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n", method, path, local.CallerToken)
	}
}

const completions = "/v1/completions"

// Guards against crowds of clients that end an entry host's daemon by its memory or keep all its descriptors.
func TestCrowdAtDaemonOfEntryHost(t *testing.T) {
	post := callerHead("POST", completions)
	const callers, peers, scrapers = 0, 1, 2
	for _, c := range []struct {
		name     string
		listener int
		clients  int
		client   crowd.Client
	}{
		{"UnfinishedBodies", callers, 300, crowd.UnfinishedBody(post, bodyLimit)},
		{"UnfinishedChunks", callers, 300, crowd.UnfinishedChunks(post, bodyLimit-1)},
		{"SlowBodies", callers, 300, crowd.SlowBody(post, bodyLimit)},
		{"SlowBodiesOfUnknownCallers", callers, 300, crowd.SlowBody(func() string { return "POST / HTTP/1.1\r\nHost: a\r\n" }, bodyLimit)},
		{"ManyFields", callers, 1000, crowd.ManyFields(post, 30_000)},
		{"SmallSlowBodiesOfUnknownCallers", callers, 300, crowd.SlowBody(func() string { return "POST / HTTP/1.1\r\nHost: a\r\n" }, 1000)},
		{"EndlessHeads", callers, 300, crowd.EndlessHead(post)},
		{"ManyMessages", callers, 100, manyMessages()},
		{"RequestsAhead", callers, 300, crowd.RequestsAhead(callerHead("GET", "/none"))},
		{"RequestsAheadAtReady", callers, 300, crowd.RequestsAhead(callerHead("GET", "/readyz"))},
		{"IdleConnections", callers, 2000, crowd.Idle},
		{"HTTP2Streams", callers, 30, http2Streams},
		{"HeadsAtPeerPort", peers, 300, crowd.EndlessHead(callerHead("GET", "/peer"))},
		{"IdleConnectionsAtPeerPort", peers, 2000, crowd.Idle},
		{"HeadsAtMetrics", scrapers, 300, crowd.EndlessHead(callerHead("GET", "/metrics"))},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startCrowdSystem(t, false)
			h := s.Entries[0]
			address := []string{h.ListenAddress, h.PeerAddress, h.MetricsAddress}[c.listener]
			s.endure(h, crowd.Crowd{Address: address, Clients: c.clients, Client: c.client})
			s.requireServed(http.DefaultClient)
		})
	}
}

// manyMessages sends calls with as many values as their size allows.
func manyMessages() crowd.Client {
	body := `{"model":"drafter","messages":[` + strings.Repeat("{},", bodyLimit/3-20) + `{}]}`
	head := callerHead("POST", "/v1/chat/completions")
	return crowd.Text(func() string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(), len(body), body) })
}

// http2Streams opens as many requests as the host allows on one connection, with heads of many fields and bodies that
// do not end.
func http2Streams(ctx context.Context, c net.Conn) {
	const streams = 250
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	var once sync.Once
	closed := make(chan struct{})
	transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
		conn, err := net.Conn(nil), error(io.ErrClosedPipe)
		once.Do(func() { conn, err = c, nil })
		return conn, err
	}}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	for range streams {
		running.Go(func() {
			body, w := io.Pipe()
			go func() {
				_, _ = w.Write(make([]byte, bodyLimit/2))
				<-ctx.Done()
				_ = w.Close()
			}()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.RemoteAddr().String()+completions, body)
			if err != nil {
				return
			}
			req.Header.Set("Authorization", "Bearer "+local.CallerToken)
			for i := range 500 {
				req.Header.Set(fmt.Sprint("x", i), "")
			}
			if resp, err := transport.RoundTrip(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	go func() { running.Wait(); close(closed) }()
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// Guards against TLS handshakes that stop half-way and keep all descriptors.
func TestCrowdOfUnfinishedHandshakes(t *testing.T) {
	s := startCrowdSystem(t, true)
	h := s.Entries[0]
	half := crowd.ThenAwait(func(_ context.Context, c net.Conn) error {
		recorded := &recorder{Conn: c}
		_ = tls.Client(recorded, &tls.Config{ServerName: "a", MinVersion: tls.VersionTLS12}).Handshake()
		_, err := c.Write(recorded.hello[:len(recorded.hello)/2])
		return err
	})
	s.endure(h, crowd.Crowd{Address: h.ListenAddress, Clients: 2000, Client: half})
	client, err := s.TLSClient()
	require.NoError(t, err)
	s.await("an ordinary request", func() bool {
		request := local.CompletionRequest("after the crowd", 5, false)
		req, err := http.NewRequestWithContext(s.ctx, request.Method, "https://"+h.ListenAddress+completions, strings.NewReader(request.Body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+local.CallerToken)
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode == http.StatusOK
	})
}

// recorder keeps the first message of a handshake and sends nothing.
type recorder struct {
	net.Conn
	hello []byte
}

func (r *recorder) Write(b []byte) (int, error) {
	r.hello = append([]byte{}, b...)
	return 0, io.ErrClosedPipe
}

// Guards against crowds of clients that end a control host's daemon by its memory or keep all its descriptors.
func TestCrowdAtDaemonOfControlHost(t *testing.T) {
	const documents = "/v1/documents/demo"
	put := callerHead("PUT", documents)
	for _, c := range []struct {
		name    string
		clients int
		client  crowd.Client
	}{
		{"UnfinishedDocuments", 300, crowd.UnfinishedBody(put, bodyLimit)},
		{"UnfinishedChunks", 300, crowd.UnfinishedChunks(put, bodyLimit-1)},
		{"EndlessHeads", 300, crowd.EndlessHead(put)},
		{"IdleConnections", 2000, crowd.Idle},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startCrowdSystem(t, false)
			h := s.Control[0]
			s.endure(h, crowd.Crowd{Address: h.ListenAddress, Clients: c.clients, Client: c.client})
			s.await("a change", func() bool {
				_, err := s.Submit(s.ctx, local.Document("v2"))
				return err == nil
			})
			s.requireServed(http.DefaultClient)
		})
	}
}

// Guards against a bound that refuses a single request with the largest head and body, also from a client that sends
// slowly.
func TestCrowdBoundsOfDaemonAllowLargestRequest(t *testing.T) {
	s := startCrowdSystem(t, false)
	conn, err := net.Dial("tcp", s.Entries[0].ListenAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(conditionTimeout)))
	body := local.CompletionRequest("large", 5, false).Body
	body = strings.Repeat(" ", bodyLimit-len(body)) + body
	head := callerHead("POST", completions)() + fmt.Sprintf("Content-Length: %d\r\n", len(body))
	head += crowd.ShortFields(32<<10-len(head)-2) + "\r\n"
	const pieces = 4
	for i := range pieces {
		_, err = io.WriteString(conn, (head + body)[i*len(head+body)/pieces:(i+1)*len(head+body)/pieces])
		require.NoError(t, err)
		time.Sleep(200 * time.Millisecond)
	}
	first := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(conn, first)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200", string(first))
}
