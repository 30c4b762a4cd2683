package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// clientTimeout bounds one question to the leader, elections included.
	clientTimeout = 3 * time.Second
	// attemptTimeout bounds the wait for one control host, so that a frozen one is
	// passed over.
	attemptTimeout = 800 * time.Millisecond
	retryDelay     = 25 * time.Millisecond
	// leaderSearchTime is how long a client looks for a leader before it gives up.
	leaderSearchTime = 300 * time.Millisecond
	// noLeaderRetryAfter is what a refused caller is told to wait: an election's time.
	noLeaderRetryAfter = 2 * time.Second
)

// resendPolicy tells whether a message may go out again after it may have been taken.
type resendPolicy bool

const (
	// mayResend is for messages that have one effect however often they are taken.
	mayResend resendPolicy = true
	// sendOnce is for claims: one that is granted twice could be given back by the
	// host that took it first, while the attempt runs by the second grant.
	sendOnce resendPolicy = false
)

// Client asks the leader of the control hosts, wherever it is.
type Client struct {
	pool        *peer.Pool
	addressBook *AddressBook

	// mu guards leader and next.
	mu        sync.Mutex
	leader    string
	nextIndex int
}

// NewClient returns a Client of the control hosts at these peer addresses.
func NewClient(pool *peer.Pool, addresses []string) *Client {
	return NewClientWithAddressBook(pool, NewAddressBook(addresses...))
}

// NewClientWithAddressBook returns a Client of the control hosts in the book.
func NewClientWithAddressBook(pool *peer.Pool, book *AddressBook) *Client {
	return &Client{pool: pool, addressBook: book}
}

// Claim asks for the right to dispatch a non-idempotent call.
func (c *Client) Claim(ctx context.Context, m *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return ask[*wire.ClaimReply](ctx, c, m, sendOnce)
}

// Finish records the outcome of a claimed call.
func (c *Client) Finish(ctx context.Context, m *wire.FinishRequest) error {
	_, err := ask[*wire.FinishReply](ctx, c, m, mayResend)
	return err
}

// Ask pulls the order to an engine.
func (c *Client) Ask(ctx context.Context, m *wire.OrderQuery) (*wire.OrderAnswer, error) {
	return ask[*wire.OrderAnswer](ctx, c, m, mayResend)
}

// Join asks the leader to add a replica.
func (c *Client) Join(ctx context.Context, m *wire.Join) error {
	_, err := ask[*wire.Ack](ctx, c, m, mayResend)
	return err
}

// Read asks for the log index that a linearizable read has to see.
func (c *Client) Read(ctx context.Context) (uint64, error) {
	a, err := ask[*wire.ReadAnswer](ctx, c, &wire.ReadQuery{}, mayResend)
	if err != nil {
		return 0, err
	}
	return a.Index, nil
}

// Propose hands an encoded command to the leader. The command must have one effect
// however often it is applied.
func (c *Client) Propose(ctx context.Context, m *wire.Propose) (*wire.Proposed, error) {
	return ask[*wire.Proposed](ctx, c, m, mayResend)
}

func ask[R wire.Message](ctx context.Context, c *Client, m wire.Message, again resendPolicy) (R, error) {
	var none R
	reply, err := c.call(ctx, m, again)
	if err != nil {
		return none, err
	}
	r, ok := reply.(R)
	if !ok {
		return none, errors.Errorf("control: reply of kind %d", reply.Kind())
	}
	return r, nil
}

// call tries the leader, then the others, until one answers with something else
// than that it does not lead. It gives up once every host was asked and handOver has
// passed without a leader: long enough for a leadership that is handed over, too
// short for an election, whose length the caller is told to come back after.
func (c *Client) call(ctx context.Context, m wire.Message, again resendPolicy) (wire.Message, error) {
	known := len(c.addressBook.List())
	if known == 0 {
		// A lone control host that does not lead has nobody to ask.
		return nil, noLeaderError(false, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	started := time.Now()
	maySent := false
	var last error
	for leaderless := 0; ctx.Err() == nil; {
		address := c.target()
		reply, sent, err := c.callHost(ctx, address, m)
		if err == nil {
			return reply, nil
		}
		last = err
		failure, isFailure := reply.(*wire.Failure)
		switch {
		case isFailure && c.isKnown(failure.Leader) && failure.Leader != address:
			c.setLeader(failure.Leader)
		case isFailure && !shouldAskAnotherHost(err):
			return nil, err
		default:
			leaderless++
			maySent = maySent || (sent && !isFailure)
			c.skipHost(address)
		}
		if maySent && again == sendOnce {
			break
		}
		if leaderless >= known && time.Since(started) > leaderSearchTime {
			break
		}
		pause.For(ctx, retryDelay)
	}
	return nil, noLeaderError(maySent, last)
}

// shouldAskAnotherHost reports whether a host refused since it does not lead or is leaving.
func shouldAskAnotherHost(err error) bool {
	e := verdict.Of(err)
	return e.Verdict == verdict.NotRun && (e.Code == verdict.CodeNoQuorum || e.Code == verdict.CodeLeaving)
}

func noLeaderError(maySent bool, cause error) error {
	e := verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "no leader among the control hosts")
	if maySent {
		e = verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "control hosts did not answer")
	}
	e.Cause = cause
	return e.After(noLeaderRetryAfter)
}

func (c *Client) callHost(ctx context.Context, address string, m wire.Message) (wire.Message, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	s, err := c.pool.Get(ctx, address)
	if err != nil {
		return nil, false, err
	}
	return s.Call(ctx, m)
}

func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	list := c.addressBook.List()
	return list[c.nextIndex%len(list)]
}

// isKnown reports whether a hint is an address of the book; others are not
// followed.
func (c *Client) isKnown(address string) bool { return slices.Contains(c.addressBook.List(), address) }

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// skipHost goes on from a host that does not lead or answer.
func (c *Client) skipHost(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address || c.leader == "" {
		c.leader = ""
		c.nextIndex++
	}
}
