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

// HandlePeer takes a message if it concerns a control host.
func (h *Host) HandlePeer(s *peer.Session, call uint64, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Consensus:
		h.handleConsensus(m)
	case *wire.ConsensusPart:
		if data, isWhole := h.cfg.Transport.join(consensus.ReplicaID(s.Remote().Replica), m); isWhole {
			h.handleConsensus(&wire.Consensus{To: m.To, Data: data})
		}
	case *wire.Hosts:
		h.Learn(m.Control...)
	case *wire.Attach:
		h.fleet.attach(s, m)
	case *wire.Suspicions:
		h.fleet.quarantine.Merge(m.All)
	case *wire.EngineLoad:
		h.fleet.load(s, m)
	case *wire.GroupQuery:
		_ = s.Reply(call, h.fleet.members(m))
	case *wire.ConfigurationQuery:
		h.answer(s, call, func(ctx context.Context) (wire.Message, error) { return h.handleConfigurationQuery(ctx, m) })
	case *wire.Watch:
		h.watchers.add(s, m)
	case *wire.InForce:
		h.reports.add(m, time.Now())
	case *wire.StatusQuery:
		h.answer(s, call, func(context.Context) (wire.Message, error) { return h.statusAnswer(), nil })
	case *wire.ReadQuery:
		h.answer(s, call, h.handleRead)
	case *wire.Propose:
		h.answer(s, call, func(ctx context.Context) (wire.Message, error) { return h.handlePropose(ctx, m) })
	case *wire.ClaimRequest:
		h.answer(s, call, func(ctx context.Context) (wire.Message, error) { return h.handleClaim(ctx, s, m) })
	case *wire.FinishRequest:
		h.answer(s, call, func(ctx context.Context) (wire.Message, error) { return h.handleFinish(ctx, m) })
	case *wire.OrderQuery:
		h.answer(s, call, func(ctx context.Context) (wire.Message, error) { return h.handleOrder(ctx, m) })
	case *wire.Join:
		h.answer(s, call, func(context.Context) (wire.Message, error) { return h.handleJoin(s, m) })
	default:
		return false
	}
	return true
}

// answer serves a call beside the session's read loop.
func (h *Host) answer(s *peer.Session, call uint64, serve func(context.Context) (wire.Message, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
		defer cancel()
		reply, err := serve(ctx)
		if err != nil {
			reply = h.failure(err)
		}
		_ = s.Reply(call, reply)
	}()
}

// failure names the leader where the caller should ask it instead.
func (h *Host) failure(err error) *wire.Failure {
	f := peer.NewFailure(err)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != "" {
		f.Leader = h.cfg.Transport.address(notLeader.Leader)
	}
	return f
}

func (h *Host) handleConsensus(m *wire.Consensus) {
	if consensus.ReplicaID(m.To) != h.id {
		return
	}
	var msg consensus.Message
	if wire.Unmarshal(m.Data, &msg) == nil {
		h.replica.Step(msg)
	}
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

// mustLead refuses a claim where this host does not lead, before it is batched with
// others: only the leader's own log may grant.
func (h *Host) mustLead() error {
	if h.replica.IsLeader() {
		return nil
	}
	leader, _ := h.replica.Leader()
	e := verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "this control host does not lead").After(noLeaderRetryAfter)
	e.Cause = &replica.NotLeaderError{Leader: leader}
	return e
}

// claimSlackMS makes up for the steps in which the tables' age moves on: without it a
// claim made just before a step would count as unknown while its call still runs.
const claimSlackMS = uint64(ageInterval / time.Millisecond)

func (h *Host) handleClaim(ctx context.Context, s *peer.Session, m *wire.ClaimRequest) (wire.Message, error) {
	if err := h.mustLead(); err != nil {
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
	if a := r.Answer; a != nil {
		reply.Answer = &wire.Answer{
			Status: a.Status,
			Header: []wire.Field{{Name: "Content-Type", Value: a.ContentType}},
			Body:   a.Body,
		}
	}
	return reply
}

func (h *Host) handleFinish(ctx context.Context, m *wire.FinishRequest) (wire.Message, error) {
	if err := h.mustLead(); err != nil {
		return nil, err
	}
	f := state.Finish{
		Workspace: m.Workspace,
		Key:       m.Key,
		Attempt:   hex.EncodeToString(m.Attempt[:]),
		Verdict:   verdict.Verdict(m.Verdict),
	}
	if m.Answer != nil {
		f.Answer = &state.RecordedResponse{
			Status:      m.Answer.Status,
			ContentType: contentType(m.Answer.Header),
			Body:        m.Answer.Body,
		}
	}
	if _, err := h.commands.Finish(ctx, f); err != nil {
		return nil, err
	}
	return &wire.FinishReply{}, nil
}

func contentType(fields []wire.Field) string {
	for _, f := range fields {
		if f.Name == "Content-Type" {
			return f.Value
		}
	}
	return ""
}

// handleOrder answers only after a quorum round that began after the question came
// in: a host that is cut off can't answer, and what it answered before is too old. A
// host that does not lead asks the leader for that round, so that an agent which
// can't reach the leader has its orders all the same.
func (h *Host) handleOrder(ctx context.Context, m *wire.OrderQuery) (wire.Message, error) {
	if _, err := (reader{h}).Read(ctx); err != nil {
		return nil, err
	}
	h.syncStore()
	answer := &wire.OrderAnswer{Nonce: m.Nonce, Fence: h.tables.Fence()}
	p, ok := h.store.Index().ByPool(m.Pool)
	if !ok {
		return answer, nil
	}
	answer.Fence = p.Revision
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
