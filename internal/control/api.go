package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/adminapi"
	"github.com/sassafraspost/sassafraspost/internal/command"
	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/query"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// notHeardTimeout is the age of the last report from which on the status of a document
	// lists a host as not heard.
	notHeardTimeout = 15 * time.Second
	clusterIDBytes  = 16
	// maxDocumentsBytes limits all documents together. With the other tables at their limits, a snapshot
	// stays below replica.DefaultMaxSnapshotBytes.
	maxDocumentsBytes = 256 << 20
	// documentOverhead is more than a document takes up in a snapshot beside its text: four names and numbers.
	documentOverhead = 2 << 10
)

// API implements adminapi.Commands and adminapi.Queries on a control host.
type API struct{ h *Host }

// API returns the host's implementation of the administration API.
func (h *Host) API() API { return API{h} }

// Submit implements adminapi.Commands. It rejects a document that uses a token or a pool
// of another document. If two such submissions are accepted at the same time,
// catalog.Index decides between them, in the same way on every host.
func (a API) Submit(ctx context.Context, req adminapi.SubmitRequest) (adminapi.SubmitResult, error) {
	if err := a.checkOtherDocuments(ctx, req); err != nil {
		return adminapi.SubmitResult{}, err
	}
	r, err := a.h.commands.Submit(ctx, state.SubmitDocument{
		Name:         req.Name,
		BaseRevision: req.BaseRevision,
		ChangeID:     req.ChangeID,
		Author:       req.Author,
		Text:         string(req.Text),
		At:           time.Now().UnixMilli(),
	})
	var conflict *command.ConflictError
	if errors.As(err, &conflict) && conflict.Winner != nil {
		w := conflict.Winner
		return adminapi.SubmitResult{
			Revision: r.Revision,
			Conflict: &adminapi.Conflict{Revision: w.Revision, Author: w.Author, ChangeID: w.ChangeID},
		}, nil
	}
	if err != nil {
		return adminapi.SubmitResult{}, err
	}
	return adminapi.SubmitResult{Revision: r.Revision, Repeated: r.Repeated}, nil
}

// checkOtherDocuments rejects a text that conflicts with other documents. It accepts a
// change whose outcome is already recorded: a resent change must get the recorded outcome,
// whatever documents were accepted since.
func (a API) checkOtherDocuments(ctx context.Context, req adminapi.SubmitRequest) error {
	all, err := a.h.queries.Documents(ctx)
	if err != nil {
		return err
	}
	if a.h.tables.HasOutcome(req.Name, req.Author, req.ChangeID) {
		return nil
	}
	if err := checkTotalSize(all, req, maxDocumentsBytes); err != nil {
		return err
	}
	submitted, err := document.Parse(req.Text)
	if err != nil {
		return err
	}
	docs := make([]*document.Document, 0, len(all)+1)
	for _, d := range all {
		if d.Name == req.Name {
			continue
		}
		if parsed, err := document.Parse([]byte(d.Text)); err == nil {
			docs = append(docs, parsed)
		}
	}
	return document.CheckConflicts(append(docs, submitted))
}

// checkTotalSize returns an error if all documents after a submission would be larger than limit bytes. One
// that makes its document smaller is accepted.
func checkTotalSize(all []state.Document, req adminapi.SubmitRequest, limit int) error {
	total, previous := documentOverhead+len(req.Text), 0
	for _, d := range all {
		if d.Name == req.Name {
			previous = documentOverhead + len(d.Text)
			continue
		}
		total += documentOverhead + len(d.Text)
	}
	if total > limit && documentOverhead+len(req.Text) > previous {
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "all documents together are too large")
	}
	return nil
}

// Init implements adminapi.Commands. It fails unless every control host in the settings
// answers and none belongs to a cluster. Otherwise a host that lost its disk could start a
// second cluster.
func (a API) Init(ctx context.Context, req adminapi.InitRequest) (adminapi.Cluster, error) {
	if err := a.requireNoCluster(ctx); err != nil {
		return adminapi.Cluster{}, err
	}
	h := a.h
	if len(h.replica.Status().Membership.Voters) == 0 {
		m := consensus.Membership{Voters: []consensus.ReplicaID{h.id}}
		if err := h.replica.Bootstrap(ctx, m); err != nil {
			return adminapi.Cluster{}, err
		}
	}
	if err := h.awaitLeader(ctx); err != nil {
		return adminapi.Cluster{}, err
	}
	id, err := newClusterID()
	if err != nil {
		return adminapi.Cluster{}, err
	}
	_, err = h.commands.Init(ctx, state.Init{ClusterID: id, Author: req.Author, At: time.Now().UnixMilli()})
	if err != nil {
		return adminapi.Cluster{}, err
	}
	return a.Cluster(ctx)
}

func newClusterID() (string, error) {
	var b [clusterIDBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", errors.Wrap(err, "draw cluster id")
	}
	return hex.EncodeToString(b[:]), nil
}

// requireNoCluster returns an error if this host or one of its peers belongs to a cluster,
// or if a peer does not answer.
func (a API) requireNoCluster(ctx context.Context) error {
	if a.h.tables.Cluster().ID != "" {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, "this host belongs to a cluster")
	}
	for _, address := range a.h.cfg.Peers {
		answer, err := a.h.queryStatus(ctx, address)
		if err != nil {
			e := verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "control host "+address+" does not answer; all must, before the first start")
			e.Cause = err
			return e.WithRetryAfter(noLeaderRetryAfter)
		}
		if answer.ClusterID != "" || len(answer.Voters) > 0 {
			return verdict.New(verdict.NotRun, verdict.CodeConflict, "control host "+address+" belongs to a cluster")
		}
	}
	return nil
}

func (h *Host) awaitLeader(ctx context.Context) error {
	for !h.replica.IsLeader() {
		if ctx.Err() != nil {
			return verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "no leader yet").WithRetryAfter(noLeaderRetryAfter)
		}
		pause.For(ctx, pollInterval)
	}
	return nil
}

func (h *Host) queryStatus(ctx context.Context, address string) (*wire.StatusAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	s, err := h.cfg.Pool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, _, err := s.Call(ctx, &wire.StatusQuery{})
	if err != nil {
		return nil, err
	}
	answer, ok := reply.(*wire.StatusAnswer)
	if !ok {
		return nil, errors.Errorf("control: reply of kind %d", reply.Kind())
	}
	return answer, nil
}

// Document implements adminapi.Queries.
func (a API) Document(ctx context.Context, name string) (adminapi.Document, error) {
	d, err := a.h.queries.Document(ctx, name)
	if err != nil {
		return adminapi.Document{}, err
	}
	return adminapi.Document{
		Name:     d.Name,
		Revision: d.Revision,
		Author:   d.Author,
		ChangeID: d.ChangeID,
		Digest:   document.DigestOf([]byte(d.Text)),
		Text:     []byte(d.Text),
	}, nil
}

// Documents implements adminapi.Queries.
func (a API) Documents(ctx context.Context) ([]adminapi.DocumentSummary, error) {
	all, err := a.h.queries.Documents(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]adminapi.DocumentSummary, 0, len(all))
	for _, d := range all {
		out = append(out, adminapi.DocumentSummary{Name: d.Name, Revision: d.Revision, Author: d.Author})
	}
	return out, nil
}

// Status implements adminapi.Queries. It merges the reports that all reachable control
// hosts have received.
func (a API) Status(ctx context.Context, name string) (adminapi.Status, error) {
	d, err := a.h.queries.Document(ctx, name)
	if err != nil {
		return adminapi.Status{}, err
	}
	lists := [][]wire.ActiveRevision{a.h.reports.list(time.Now())}
	for _, address := range a.h.cfg.Peers {
		if answer, err := a.h.queryStatus(ctx, address); err == nil {
			lists = append(lists, answer.Hosts)
		}
	}
	return status(d, mergeReports(lists...)), nil
}

// status returns which hosts serve the current revision of a document, in total and by data
// centre.
func status(d state.Document, hosts map[string]wire.ActiveRevision) adminapi.Status {
	s := adminapi.Status{Name: d.Name, Revision: d.Revision}
	centres := make(map[string]adminapi.DataCentreStatus)
	for name, h := range hosts {
		c := centres[h.DataCentre]
		switch {
		case time.Duration(h.AgeMS)*time.Millisecond > notHeardTimeout:
			s.NotHeard = append(s.NotHeard, name)
			c.NotHeard++
		case h.Revision >= d.Revision:
			s.InForce++
			c.InForce++
		default:
			s.Behind = append(s.Behind, adminapi.HostRevision{Host: name, Revision: h.Revision})
			c.Behind++
		}
		centres[h.DataCentre] = c
	}
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		c := centres[name]
		c.Name = name
		s.DataCentres = append(s.DataCentres, c)
	}
	slices.Sort(s.NotHeard)
	slices.SortFunc(s.Behind, func(x, y adminapi.HostRevision) int { return strings.Compare(x.Host, y.Host) })
	return s
}

// History implements adminapi.Queries.
func (a API) History(ctx context.Context, req adminapi.HistoryRequest) (adminapi.HistoryPage, error) {
	before := uint64(0)
	if req.Page != "" {
		var err error
		if before, err = strconv.ParseUint(req.Page, 10, 64); err != nil {
			return adminapi.HistoryPage{}, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "unknown page")
		}
	}
	page, err := a.h.queries.History(ctx, query.HistoryRequest{Before: before, All: req.All, Documents: req.Documents})
	if err != nil {
		return adminapi.HistoryPage{}, err
	}
	var out adminapi.HistoryPage
	for _, r := range page.Records {
		out.Changes = append(out.Changes, toChange(r))
	}
	if page.Next > 0 {
		out.Next = strconv.FormatUint(page.Next, 10)
	}
	return out, nil
}

// toChange converts a record of the audit trail to its form in the API.
func toChange(r state.AuditRecord) adminapi.Change {
	c := adminapi.Change{
		Index:   r.Index,
		Time:    time.UnixMilli(r.At).UTC(),
		Action:  string(r.Action),
		Author:  r.Author,
		Outcome: r.Outcome,
		Detail:  r.Detail,
	}
	if r.Action == state.ActionEvacuationStart || r.Action == state.ActionEvacuationEnd {
		c.Detail = r.Subject
	}
	if r.Action != state.ActionSubmit {
		return c
	}
	c.Document = r.Subject
	c.Revision = r.Revision
	c.ChangeID = r.ChangeID
	c.Digest = r.Digest
	return c
}

// Cluster implements adminapi.Queries. It returns the local view of this host, which is
// available without a quorum too.
func (a API) Cluster(ctx context.Context) (adminapi.Cluster, error) {
	_, readErr := reader(a).Read(ctx)
	st, view := a.h.observeQuorum()
	c := adminapi.Cluster{
		ID:            a.h.tables.Cluster().ID,
		Leader:        string(st.Leader),
		Term:          st.Term,
		Commit:        st.Commit,
		HasQuorum:     readErr == nil,
		Evacuated:     a.h.tables.Evacuations().Evacuated(),
		AnsweredBy:    string(a.h.id),
		LeaderlessFor: view.LeaderlessFor,
	}
	if c.HasQuorum {
		c.LossesLeft = view.lossesLeft()
	}
	for _, m := range view.Voters {
		r := toReplica(m)
		r.Voter = true
		c.Replicas = append(c.Replicas, r)
	}
	for _, m := range view.Learners {
		c.Replicas = append(c.Replicas, toReplica(m))
	}
	return c, nil
}

// toReplica converts a member to its form in the API.
func toReplica(m memberView) adminapi.Replica {
	return adminapi.Replica{
		ID: string(m.ID), Host: hostOf(m.ID),
		IsSelf: m.IsSelf, IsHeard: m.IsHeard, HasSession: m.HasSession, HeardAge: m.HeardAge, ConsensusAge: m.ConsensusAge,
	}
}

// Quarantine implements adminapi.Queries. It lists the requests that are suspected of
// crashing upstreams.
func (a API) Quarantine(context.Context) ([]quarantine.Entry, error) {
	return a.h.Quarantine().List(), nil
}

// Release implements adminapi.Commands. It removes a request from quarantine.
func (a API) Release(_ context.Context, req adminapi.ReleaseRequest) (bool, error) {
	isReleased := a.h.Quarantine().Release(req.Fingerprint)
	a.h.cfg.Log.Warn("request released by an operator", "fingerprint", req.Fingerprint.String(), "author", req.Author, "was_held", isReleased)
	return isReleased, nil
}
