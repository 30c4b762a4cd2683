package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// clientTimeout bounds one call to the leader, including elections. Claims have no bound but
	// the deadline of their caller.
	clientTimeout = 3 * time.Second
	// attemptTimeout bounds the time without any message from a control host that was asked, and
	// the time to reach it, so that a client goes on to the next one if a host hangs. A host that
	// is heard may take longer to reply: its disk may be slow.
	attemptTimeout = 800 * time.Millisecond
	retryDelay     = 25 * time.Millisecond
	// leaderSearchTime is how long a client looks for a leader if most control hosts don't
	// answer, so that none can be elected.
	leaderSearchTime = 300 * time.Millisecond
	// electionWait is how long a client looks for a leader while a majority of the control hosts
	// answers. It covers an election in which each of the syncs that it needs takes some seconds.
	electionWait = 10 * time.Second
	// noLeaderRetryAfter is the Retry-After of calls that failed for lack of a leader: the
	// duration of an election.
	noLeaderRetryAfter = 2 * time.Second
)

// resendPolicy tells whether a message may be sent again after a host may have processed
// it.
type resendPolicy bool

const (
	// mayResend is for idempotent messages. Claims are among them: an attempt that asks again
	// for the claim that it holds is granted it again, and only its own host releases it.
	mayResend resendPolicy = true
	// sendOnce is for messages whose effect is lost if they are processed twice.
	sendOnce resendPolicy = false
)

// Client finds the leader among the control hosts and sends calls to it.
type Client struct {
	pool        *peer.Pool
	addressBook *AddressBook
	// isLeader reports whether the client's own host leads; nil if that is no control host.
	isLeader func() bool

	// mu guards leader and nextIndex.
	mu        sync.Mutex
	leader    string
	nextIndex int
}

// NewClient returns a Client of the control hosts at these peer addresses.
func NewClient(pool *peer.Pool, addresses []string) *Client {
	return NewClientWithAddressBook(pool, NewAddressBook(addresses...))
}

// NewClientWithAddressBook returns a Client of the control hosts in the address book.
func NewClientWithAddressBook(pool *peer.Pool, addressBook *AddressBook) *Client {
	return &Client{pool: pool, addressBook: addressBook}
}

// errOwnHostLeads is the cause of an error of a client whose own host has become the leader, which no
// other host can be asked for.
var errOwnHostLeads = errors.New("control: this host leads")

// Claim requests the right to dispatch a non-idempotent call. It waits as long as ctx allows
// while the claim can still be granted.
func (c *Client) Claim(ctx context.Context, m *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if _, hasDeadline := ctx.Deadline(); hasDeadline {
		return askUntil[*wire.ClaimReply](ctx, c, m, mayResend)
	}
	return ask[*wire.ClaimReply](ctx, c, m, mayResend)
}

// Finish records the outcome of a claimed call. Only the part of its response is sent that control hosts record: a
// response with other fields that are no text must not keep the outcome from being recorded.
func (c *Client) Finish(ctx context.Context, m *wire.FinishRequest) error {
	request := *m
	request.Response = recordablePart(m.Response)
	_, err := ask[*wire.FinishReply](ctx, c, &request, mayResend)
	return err
}

// recordablePart returns the part of a response that control hosts record, or nil if they do not record it.
func recordablePart(r *wire.Response) *wire.Response {
	if r == nil {
		return nil
	}
	recorded := state.RecordedResponse{Status: r.Status, ContentType: contentType(r.Header), Body: r.Body}
	if !recorded.CanBeRecorded() {
		return nil
	}
	part := &wire.Response{Status: r.Status, Body: r.Body}
	if recorded.ContentType != "" {
		part.Header = []wire.Field{{Name: contentTypeField, Value: recorded.ContentType}}
	}
	return part
}

// QueryOrder returns the current order to an upstream: what its engine must serve.
func (c *Client) QueryOrder(ctx context.Context, m *wire.OrderQuery) (*wire.OrderAnswer, error) {
	return ask[*wire.OrderAnswer](ctx, c, m, mayResend)
}

// Join asks the leader to add a replica.
func (c *Client) Join(ctx context.Context, m *wire.Join) error {
	_, err := ask[*wire.Ack](ctx, c, m, mayResend)
	return err
}

// Read returns the log index that must be applied before a linearizable read.
func (c *Client) Read(ctx context.Context) (uint64, error) {
	a, err := ask[*wire.ReadAnswer](ctx, c, &wire.ReadQuery{}, mayResend)
	if err != nil {
		return 0, err
	}
	return a.Index, nil
}

// RequestTokens asks the leader for tokens of an upstream that has a rate limit. It is sent to
// one host that may hand them out at most, since tokens that were handed out twice are lost.
func (c *Client) RequestTokens(ctx context.Context, m *wire.TokenRequest) (*wire.Tokens, error) {
	return ask[*wire.Tokens](ctx, c, m, sendOnce)
}

// RequestRetries asks the leader for retries of a service. It is sent to one host that may grant them at
// most, since retries that were granted twice are lost.
func (c *Client) RequestRetries(ctx context.Context, m *wire.RetryRequest) (*wire.Retries, error) {
	return ask[*wire.Retries](ctx, c, m, sendOnce)
}

// Propose sends an encoded command to the leader. The command must be idempotent.
func (c *Client) Propose(ctx context.Context, m *wire.Propose) (*wire.Proposed, error) {
	return ask[*wire.Proposed](ctx, c, m, mayResend)
}

// ask sends m and returns the reply, which must be of type R. It takes clientTimeout at most.
func ask[R wire.Message](ctx context.Context, c *Client, m wire.Message, policy resendPolicy) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	return askUntil[R](ctx, c, m, policy)
}

// askUntil is ask without a time limit of its own.
func askUntil[R wire.Message](ctx context.Context, c *Client, m wire.Message, policy resendPolicy) (R, error) {
	var zero R
	reply, err := c.call(ctx, m, policy)
	if err != nil {
		return zero, err
	}
	r, ok := reply.(R)
	if !ok {
		return zero, errors.Errorf("control: reply of kind %d", reply.Kind())
	}
	return r, nil
}

// call sends m to the leader, and to the other control hosts in turn until it finds the leader.
// If there is none, it goes on while one can be elected, see leaderSearch; the error tells the
// caller to retry after the duration of an election. If this host leads, the cause of the error is
// errOwnHostLeads.
func (c *Client) call(ctx context.Context, m wire.Message, policy resendPolicy) (wire.Message, error) {
	known := c.addressBook.List()
	if len(known) == 0 {
		// A single control host that does not lead has no other host to ask.
		return nil, noLeaderError(false, nil)
	}
	search := leaderSearch{hosts: known, answered: make(map[string]bool)}
	started := time.Now()
	mayHaveRun := false
	var last error
	for ctx.Err() == nil {
		if c.isLeader != nil && c.isLeader() {
			return nil, noLeaderError(mayHaveRun, errOwnHostLeads)
		}
		address := search.choose(c.target(), func(a string) bool { return c.pool.LiveSession(a) != nil })
		reply, sent, err := c.callHost(ctx, address, m)
		if err == nil {
			return reply, nil
		}
		var unencodable *wire.EncodeError
		if errors.As(err, &unencodable) {
			// No host could decode it.
			e := verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the message to the control hosts can't be encoded")
			e.Cause = err
			return nil, withPossibleRun(e, mayHaveRun)
		}
		last = err
		failure, isFailure := reply.(*wire.Failure)
		mayHaveRun = mayHaveRun || sent && !(isFailure && verdict.FromError(err).Verdict == verdict.NotRun)
		search.answered[address] = isFailure
		switch {
		case isFailure && !shouldAskAnotherHost(err, policy):
			return nil, withPossibleRun(err, mayHaveRun)
		case isFailure && c.isKnown(failure.Leader) && failure.Leader != address:
			search.named = failure.Leader
			c.setLeader(failure.Leader)
		default:
			c.skipHost(address)
		}
		if mayHaveRun && policy == sendOnce || search.isOver(time.Since(started)) {
			break
		}
		pause.For(ctx, retryDelay)
	}
	return nil, noLeaderError(mayHaveRun, last)
}

// leaderSearch is what one call has learned about the control hosts.
type leaderSearch struct {
	hosts []string
	// answered has the hosts that the call has asked, and whether they answered the last time.
	answered map[string]bool
	// named is the leader that a host has named last; empty if none has.
	named string
}

// choose returns the host to ask next: the one proposed, or one that this call has not asked yet
// if the proposed one did not answer it or has no session. Hosts with a session come first, unless another
// host has just named the leader: those that are gone have none, and to ask one takes attemptTimeout. All
// calls share the proposal, so that others may bring a host that is gone back into it.
func (s *leaderSearch) choose(proposed string, hasSession func(string) bool) string {
	hasAnswered, isAsked := s.answered[proposed]
	if hasAnswered || !isAsked && (proposed == s.named || hasSession(proposed)) {
		return proposed
	}
	next := ""
	for _, host := range s.hosts {
		if _, isAsked := s.answered[host]; isAsked {
			continue
		}
		if hasSession(host) {
			return host
		}
		if next == "" {
			next = host
		}
	}
	if !isAsked || next == "" {
		return proposed
	}
	return next
}

// isOver reports whether to give up after the given time: after electionWait, or earlier once every
// host was asked and no majority answers that could elect a leader.
func (s *leaderSearch) isOver(elapsed time.Duration) bool {
	switch {
	case elapsed > electionWait:
		return true
	case len(s.answered) < len(s.hosts):
		return false
	}
	answering := 0
	for _, hasAnswered := range s.answered {
		if hasAnswered {
			answering++
		}
	}
	return answering <= len(s.hosts)/2 && elapsed > leaderSearchTime
}

// shouldAskAnotherHost reports whether a host rejected a call because it does not lead or is
// shutting down. If its leadership ended before the outcome was known, only a message that may be
// sent again goes to another host.
func shouldAskAnotherHost(err error, policy resendPolicy) bool {
	e := verdict.FromError(err)
	mayAsk := e.Verdict == verdict.NotRun || policy == mayResend
	return mayAsk && (e.Code == verdict.CodeNoQuorum || e.Code == verdict.CodeDraining)
}

// withPossibleRun returns the final error of a call. If an earlier host may have processed the
// message, the call may have run, whatever the last host says.
func withPossibleRun(err error, mayHaveRun bool) error {
	e := *verdict.FromError(err)
	if mayHaveRun && e.Verdict == verdict.NotRun {
		e.Verdict = verdict.MayHaveRun
	}
	return &e
}

// noLeaderError returns the error of a call that reached no leader. mayHaveSent tells
// whether a host may have processed the message nevertheless.
func noLeaderError(mayHaveSent bool, cause error) error {
	e := verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "no leader among the control hosts")
	if mayHaveSent {
		e = verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "control hosts did not answer")
	}
	e.Cause = cause
	return e.WithRetryAfter(noLeaderRetryAfter)
}

// callHost calls one host. The second result tells whether the message may have been sent.
func (c *Client) callHost(ctx context.Context, address string, m wire.Message) (wire.Message, bool, error) {
	dialCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	s, err := c.pool.Get(dialCtx, address)
	if err != nil {
		return nil, false, err
	}
	return s.CallWhileHeard(ctx, attemptTimeout, m)
}

// target returns the address of the leader, or of the next host to try if none is known.
func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	list := c.addressBook.List()
	return list[c.nextIndex%len(list)]
}

// isKnown reports whether the address book contains a leader's address that a host
// returned. Other addresses are ignored.
func (c *Client) isKnown(address string) bool { return slices.Contains(c.addressBook.List(), address) }

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// skipHost chooses the next host to try, after a host that does not lead or answer.
func (c *Client) skipHost(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address || c.leader == "" {
		c.leader = ""
		c.nextIndex++
	}
}
