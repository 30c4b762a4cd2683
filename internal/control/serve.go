package control

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/replica"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// HandlePeer handles a message from another host. It returns false if the message is not
// for control hosts.
func (h *Host) HandlePeer(s *peer.Session, call uint64, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Consensus:
		h.handleConsensus(s, m)
	case *wire.ConsensusPart:
		if data, isComplete := h.cfg.Transport.reassemble(consensus.ReplicaID(s.Remote().Replica), m); isComplete {
			h.handleConsensus(s, &wire.Consensus{To: m.To, Data: data})
		}
	case *wire.Hosts:
		h.AddControlHosts(m.ControlHosts...)
		if len(m.Demands) > 0 {
			h.fleet.setDemand(s, m.Demands)
		}
	case *wire.Attach:
		h.fleet.attach(s, m)
	case *wire.Suspicions:
		h.fleet.quarantine.Merge(m.All)
	case *wire.Upstreams:
		if s.Remote().Replica != "" {
			h.fleet.receiveUpstreams(s, call, m)
		}
	case *wire.Notices:
		h.fleet.mergeNotices(s, m)
	case *wire.TokenRequest:
		h.replyAsync(s, call, func(context.Context) (wire.Message, error) { return h.handleTokenRequest(s, m) })
	case *wire.RetryRequest:
		h.replyAsync(s, call, func(ctx context.Context) (wire.Message, error) { return h.handleRetryRequest(ctx, s, m) })
	case *wire.EngineLoad:
		h.fleet.loads.update(s, m)
	case *wire.EngineLoads:
		h.fleet.loads.relay(s, call, m)
	case *wire.GroupQuery:
		_ = s.Reply(call, h.fleet.groupMembers(m))
	case *wire.ConfigurationQuery:
		h.replyAsync(s, call, func(ctx context.Context) (wire.Message, error) { return h.handleConfigurationQuery(ctx, m) })
	case *wire.Watch:
		h.watchers.add(s, m)
	case *wire.InForce:
		h.reports.add(m, time.Now())
	case *wire.StatusQuery:
		h.replyAsync(s, call, func(context.Context) (wire.Message, error) { return h.statusAnswer(), nil })
	case *wire.ReadQuery:
		h.replyAsync(s, call, h.handleRead)
	case *wire.Propose:
		h.replyAsync(s, call, func(ctx context.Context) (wire.Message, error) { return h.handlePropose(ctx, m) })
	case *wire.ClaimRequest:
		limit := max(serveTimeout, min(time.Duration(m.TimeoutMS)*time.Millisecond, maxClaimTime))
		h.replyWithin(limit, s, call, func(ctx context.Context) (wire.Message, error) { return h.handleClaim(ctx, s, m) })
	case *wire.FinishRequest:
		h.replyAsync(s, call, func(ctx context.Context) (wire.Message, error) { return h.handleFinish(ctx, m) })
	case *wire.OrderQuery:
		h.replyAsync(s, call, func(ctx context.Context) (wire.Message, error) { return h.handleOrder(ctx, m) })
	case *wire.Join:
		h.replyAsync(s, call, func(context.Context) (wire.Message, error) { return h.handleJoin(s, m) })
	default:
		return false
	}
	return true
}

// replyAsync handles a call within serveTimeout on a new goroutine, since the session's read loop
// must not block.
func (h *Host) replyAsync(s *peer.Session, call uint64, serve func(context.Context) (wire.Message, error)) {
	h.replyWithin(serveTimeout, s, call, serve)
}

// replyWithin is replyAsync with another time limit.
func (h *Host) replyWithin(limit time.Duration, s *peer.Session, call uint64, serve func(context.Context) (wire.Message, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		reply, err := serve(ctx)
		if err != nil {
			reply = h.failureReply(err)
		}
		_ = s.Reply(call, reply)
	}()
}

// failureReply encodes an error. If another host leads, the reply contains the address of
// that host.
func (h *Host) failureReply(err error) *wire.Failure {
	f := peer.NewFailure(err)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != "" {
		f.Leader = h.cfg.Transport.address(notLeader.Leader)
	}
	return f
}

func (h *Host) handleConsensus(s *peer.Session, m *wire.Consensus) {
	if consensus.ReplicaID(m.To) != h.id {
		return
	}
	var msg consensus.Message
	if err := wire.Unmarshal(m.Data, &msg); err != nil {
		s.ReportUnreadable(m.Kind(), err)
		return
	}
	h.contacts.consensusReceived(msg.From, time.Now())
	h.cfg.Transport.counters.of(msg.From).received.Inc(1)
	h.replica.Step(msg)
}

func (h *Host) handleRead(ctx context.Context) (wire.Message, error) {
	index, err := h.replica.Read(ctx)
	if err != nil {
		return nil, err
	}
	return &wire.ReadAnswer{Index: index}, nil
}

func (h *Host) handlePropose(ctx context.Context, m *wire.Propose) (wire.Message, error) {
	r, err := h.replica.Propose(ctx, m.Data)
	if err != nil {
		return nil, err
	}
	data, err := encodeResult(r.Value)
	if err != nil {
		return nil, err
	}
	return &wire.Proposed{Index: r.Index, Result: data}, nil
}

// requireLeader returns an error if this host does not lead. A claim is rejected before it
// is batched with others, since only the leader may grant claims.
func (h *Host) requireLeader() error {
	if h.replica.IsLeader() {
		return nil
	}
	leader, _ := h.replica.Leader()
	e := verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "this control host does not lead").WithRetryAfter(noLeaderRetryAfter)
	e.Cause = &replica.NotLeaderError{Leader: leader}
	return e
}

// claimSlackMS is added to the deadline of claims because the logical clock of the state machine
// advances in steps of clockInterval. Without it, the outcome of a call that was claimed just
// before such a step would count as unknown while the call still runs.
const claimSlackMS = uint64(clockInterval / time.Millisecond)

func (h *Host) handleClaim(ctx context.Context, s *peer.Session, m *wire.ClaimRequest) (wire.Message, error) {
	if err := h.requireLeader(); err != nil {
		return nil, err
	}
	r, err := h.commands.Claim(ctx, state.Claim{
		Workspace:   m.Workspace,
		Key:         m.Key,
		Digest:      m.Digest,
		Attempt:     hex.EncodeToString(m.Attempt[:]),
		Host:        s.Remote().Host,
		Incarnation: s.Remote().Incarnation,
		Deadline:    m.TimeoutMS + claimSlackMS,
	})
	if err != nil {
		return nil, err
	}
	return claimReply(r), nil
}

var claimStates = map[state.ClaimOutcome]wire.ClaimState{
	state.ClaimGranted:    wire.ClaimGranted,
	state.ClaimInProgress: wire.ClaimInProgress,
	state.ClaimFinished:   wire.ClaimFinished,
	state.ClaimUnknown:    wire.ClaimUnknown,
	state.ClaimKeyReused:  wire.ClaimKeyReused,
	state.ClaimRefused:    wire.ClaimRefused,
}

func claimReply(r state.ClaimResult) *wire.ClaimReply {
	reply := &wire.ClaimReply{State: claimStates[r.Outcome]}
	if r.Outcome != state.ClaimFinished {
		return reply
	}
	if r.Verdict != verdict.Ran {
		reply.State = wire.ClaimUnknown
		return reply
	}
	if a := r.Response; a != nil {
		reply.Response = &wire.Response{
			Status: a.Status,
			Header: []wire.Field{{Name: contentTypeField, Value: a.ContentType}},
			Body:   a.Body,
		}
	}
	return reply
}

func (h *Host) handleFinish(ctx context.Context, m *wire.FinishRequest) (wire.Message, error) {
	if err := h.requireLeader(); err != nil {
		return nil, err
	}
	f := state.Finish{
		Workspace: m.Workspace,
		Key:       m.Key,
		Attempt:   hex.EncodeToString(m.Attempt[:]),
		Verdict:   verdict.Verdict(m.Verdict),
	}
	if m.Response != nil {
		f.Response = &state.RecordedResponse{
			Status:      m.Response.Status,
			ContentType: contentType(m.Response.Header),
			Body:        m.Response.Body,
		}
	}
	if _, err := h.commands.Finish(ctx, f); err != nil {
		return nil, err
	}
	return &wire.FinishReply{}, nil
}

// contentTypeField is the only header field of a response that is recorded.
const contentTypeField = "Content-Type"

func contentType(fields []wire.Field) string {
	for _, f := range fields {
		if f.Name == contentTypeField {
			return f.Value
		}
	}
	return ""
}

// handleOrder returns the current order to an upstream after a linearizable read, so that
// a host without contact to a quorum can't return an old order. A host that does not lead
// gets the read index from the leader, so that agents need not reach the leader
// themselves.
func (h *Host) handleOrder(ctx context.Context, m *wire.OrderQuery) (wire.Message, error) {
	if _, err := (reader{h}).Read(ctx); err != nil {
		return nil, err
	}
	h.syncStore()
	answer := &wire.OrderAnswer{Nonce: m.Nonce, FencingToken: h.tables.FencingToken()}
	p, ok := h.store.Index().ByPool(m.Pool)
	if !ok {
		return answer, nil
	}
	answer.FencingToken = p.Revision
	answer.Order = &wire.Order{
		Model:         p.Model.Name,
		Version:       p.Model.Version,
		Adapters:      p.Model.Adapters,
		Role:          string(p.Model.Role),
		ChecksFencing: p.Model.ChecksFencing,
		Group:         groupShape(p.Document, m.Group),
	}
	return answer, nil
}

// groupShape returns the configuration of a group of ranks, or nil if the document has no
// group of that name.
func groupShape(d *document.Document, name string) *wire.GroupShape {
	g := d.Group(name)
	if g == nil {
		return nil
	}
	return &wire.GroupShape{
		Ranks:           uint32(g.Ranks),
		Experts:         uint32(g.Experts),
		Layers:          uint32(g.Layers),
		SlotsPerRank:    uint32(g.SlotsPerRank),
		SkewWeight:      d.Objective.SkewWeight,
		RebalanceWeight: d.Objective.RebalanceWeight,
	}
}

func (h *Host) statusAnswer() *wire.StatusAnswer {
	st := h.replica.Status()
	return &wire.StatusAnswer{
		ClusterID: h.tables.Cluster().ID,
		Replica:   string(h.id),
		Leader:    string(st.Leader),
		Term:      st.Term,
		Commit:    st.Commit,
		Applied:   st.Applied,
		Voters:    ids(st.Membership.Voters),
		Learners:  ids(st.Membership.Learners),
		Hosts:     h.reports.list(time.Now()),
	}
}

func ids(list []consensus.ReplicaID) []string {
	out := make([]string, 0, len(list))
	for _, id := range list {
		out = append(out, string(id))
	}
	return out
}
