package adminapi

import (
	"context"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/internal/auth"
	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// handler implements the generated oas.Handler. It is stateless.
type handler struct {
	commands Commands
	queries  Queries
	problems *problems
}

var _ oas.Handler = (*handler)(nil)

// NewError returns the problem response for an error.
func (h *handler) NewError(_ context.Context, err error) *oas.ProblemStatusCodeWithHeaders {
	return h.problems.newResponse(err)
}

// PutDocument submits a document.
func (h *handler) PutDocument(ctx context.Context, req oas.PutDocumentReq, params oas.PutDocumentParams) (*oas.AcceptedHeaders, error) {
	identity := identityOf(ctx)
	if !identity.MayWrite(params.Name) {
		return nil, forbidden("the document is not the operator's own")
	}
	base, err := parseRevision(params.IfMatch)
	if err != nil {
		return nil, err
	}
	text, err := textOf(req)
	if err != nil {
		return nil, err
	}
	if err := checkSubmitted(text, params.Name); err != nil {
		return nil, err
	}
	result, err := h.commands.Submit(ctx, SubmitRequest{
		Name:         params.Name,
		BaseRevision: base,
		ChangeID:     params.ChangeID,
		Author:       identity.Name,
		Text:         text,
	})
	if err != nil {
		return nil, err
	}
	if result.Conflict != nil {
		return nil, &conflictError{winner: *result.Conflict}
	}
	return &oas.AcceptedHeaders{
		ETag: etag(result.Revision),
		Response: oas.Accepted{
			Name:     params.Name,
			Revision: result.Revision,
			Repeated: result.Repeated,
		},
	}, nil
}

// checkSubmitted checks that the text is a valid document and declares the name under which it
// is submitted.
func checkSubmitted(text []byte, name string) error {
	doc, err := document.Parse(text)
	if err != nil {
		return err
	}
	if doc.Service.Name != name {
		return verdict.New(verdict.NotRun, CodeInvalidDocument,
			"[service] name is "+strconv.Quote(doc.Service.Name)+", submitted as "+strconv.Quote(name))
	}
	return nil
}

// textOf reads the text from a request body, which is either plain text or JSON.
func textOf(req any) ([]byte, error) {
	var text []byte
	var err error
	switch r := req.(type) {
	case *oas.Text:
		text = []byte(r.Text)
	case *oas.PutDocumentReqTextPlain:
		text, err = io.ReadAll(r)
	case *oas.CheckDocumentReqTextPlain:
		text, err = io.ReadAll(r)
	default:
		err = errors.Errorf("unexpected body %T", req)
	}
	if err != nil {
		return nil, &bodyError{cause: err}
	}
	if len(text) > document.MaxSize {
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the text is too large")
	}
	return text, nil
}

func parseRevision(ifMatch string) (uint64, error) {
	revision, err := strconv.ParseUint(strings.Trim(ifMatch, `"`), 10, 64)
	if err != nil {
		return 0, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "If-Match is not a revision")
	}
	return revision, nil
}

func etag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// GetDocument returns the text exactly as it was submitted.
func (h *handler) GetDocument(ctx context.Context, params oas.GetDocumentParams) (*oas.DocumentHeaders, error) {
	if err := mayRead(ctx, params.Name); err != nil {
		return nil, err
	}
	doc, err := h.queries.Document(ctx, params.Name)
	if err != nil {
		return nil, err
	}
	return &oas.DocumentHeaders{
		ETag: etag(doc.Revision),
		Response: oas.Document{
			Name:     doc.Name,
			Revision: doc.Revision,
			Author:   doc.Author,
			ChangeID: doc.ChangeID,
			Digest:   doc.Digest.String(),
			Text:     string(doc.Text),
		},
	}, nil
}

func mayRead(ctx context.Context, name string) error {
	if identityOf(ctx).MayRead(name) {
		return nil
	}
	return forbidden("the document is not the operator's own")
}

// ListDocuments lists the documents that the operator may read.
func (h *handler) ListDocuments(ctx context.Context) (*oas.DocumentList, error) {
	all, err := h.queries.Documents(ctx)
	if err != nil {
		return nil, err
	}
	identity := identityOf(ctx)
	list := []oas.DocumentSummary{}
	for _, d := range all {
		if identity.MayRead(d.Name) {
			list = append(list, oas.DocumentSummary(d))
		}
	}
	return &oas.DocumentList{Documents: list}, nil
}

// GetStatus returns which hosts use the last accepted revision.
func (h *handler) GetStatus(ctx context.Context, params oas.GetStatusParams) (*oas.Status, error) {
	if err := mayRead(ctx, params.Name); err != nil {
		return nil, err
	}
	s, err := h.queries.Status(ctx, params.Name)
	if err != nil {
		return nil, err
	}
	behind := make([]oas.HostRevision, len(s.Behind))
	for i, host := range s.Behind {
		behind[i] = oas.HostRevision(host)
	}
	dataCentres := make([]oas.DataCentreStatus, len(s.DataCentres))
	for i, c := range s.DataCentres {
		dataCentres[i] = oas.DataCentreStatus(c)
	}
	return &oas.Status{
		Name:        s.Name,
		Revision:    s.Revision,
		InForce:     s.InForce,
		Behind:      behind,
		NotHeard:    append([]string{}, s.NotHeard...),
		DataCentres: dataCentres,
	}, nil
}

// GetHistory returns a page of the audit trail.
func (h *handler) GetHistory(ctx context.Context, params oas.GetHistoryParams) (*oas.History, error) {
	identity := identityOf(ctx)
	req, err := historyRequest(identity, params)
	if err != nil {
		return nil, err
	}
	page, err := h.queries.History(ctx, req)
	if err != nil {
		return nil, err
	}
	history := &oas.History{Changes: []oas.Change{}, Next: optionalString(page.Next)}
	for _, c := range page.Changes {
		if maySee(identity, c) {
			history.Changes = append(history.Changes, toChange(c))
		}
	}
	return history, nil
}

func historyRequest(identity auth.Identity, params oas.GetHistoryParams) (HistoryRequest, error) {
	req := HistoryRequest{Page: params.Page.Or("")}
	name, hasDocument := params.Document.Get()
	switch {
	case hasDocument && !identity.MayRead(name):
		return req, forbidden("the document is not the operator's own")
	case hasDocument:
		req.Documents = []string{name}
	case identity.Admin || identity.AllDocuments:
		req.All = true
	default:
		req.Documents = slices.Clone(identity.Documents)
	}
	return req, nil
}

// maySee reports whether the operator may see the change. Changes of the cluster are visible
// only to operators who may read every document.
func maySee(identity auth.Identity, c Change) bool {
	if c.Document == "" {
		return identity.Admin || identity.AllDocuments
	}
	return identity.MayRead(c.Document)
}

func toChange(c Change) oas.Change {
	out := oas.Change{
		Index:   c.Index,
		Time:    c.Time,
		Action:  c.Action,
		Author:  c.Author,
		Outcome: c.Outcome,
		Detail:  optionalString(c.Detail),
	}
	if c.Document != "" {
		out.Document = oas.NewOptString(c.Document)
		out.Revision = oas.NewOptUint64(c.Revision)
		out.ChangeID = optionalString(c.ChangeID)
		out.Digest = oas.NewOptString(c.Digest.String())
	}
	return out
}

func optionalString(s string) oas.OptString {
	if s == "" {
		return oas.OptString{}
	}
	return oas.NewOptString(s)
}

// CheckDocument checks a text by itself and for conflicts with the accepted documents.
func (h *handler) CheckDocument(ctx context.Context, req oas.CheckDocumentReq) (*oas.Checked, error) {
	text, err := textOf(req)
	if err != nil {
		return nil, err
	}
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	others, err := h.otherDocuments(ctx, doc.Service.Name)
	if err != nil {
		return nil, err
	}
	if err := document.CheckConflicts(append(others, doc)); err != nil {
		return nil, err
	}
	return &oas.Checked{Name: doc.Service.Name, Digest: doc.Digest.String()}, nil
}

// otherDocuments returns the accepted documents except the one of this name.
func (h *handler) otherDocuments(ctx context.Context, name string) ([]*document.Document, error) {
	all, err := h.queries.Documents(ctx)
	if err != nil {
		return nil, err
	}
	var docs []*document.Document
	for _, summary := range all {
		if summary.Name == name {
			continue
		}
		accepted, err := h.queries.Document(ctx, summary.Name)
		if err != nil {
			return nil, err
		}
		doc, err := document.Parse(accepted.Text)
		if err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.CodeInternal, "accepted document "+summary.Name+" cannot be read")
		}
		docs = append(docs, doc)
	}
	return docs, nil
}

// InitCluster starts a new cluster.
func (h *handler) InitCluster(ctx context.Context) (*oas.Cluster, error) {
	identity := identityOf(ctx)
	if !identity.Admin {
		return nil, forbidden("only an admin may start a cluster")
	}
	cluster, err := h.commands.Init(ctx, InitRequest{Author: identity.Name})
	if err != nil {
		return nil, err
	}
	return toCluster(cluster), nil
}

// GetCluster returns the replicas.
func (h *handler) GetCluster(ctx context.Context) (*oas.Cluster, error) {
	cluster, err := h.queries.Cluster(ctx)
	if err != nil {
		return nil, err
	}
	return toCluster(cluster), nil
}

func toCluster(c Cluster) *oas.Cluster {
	replicas := make([]oas.Replica, len(c.Replicas))
	for i, r := range c.Replicas {
		replicas[i] = toReplica(r)
	}
	out := &oas.Cluster{
		ID:         c.ID,
		Leader:     optionalString(c.Leader),
		Term:       c.Term,
		Commit:     c.Commit,
		HasQuorum:  c.HasQuorum,
		AnsweredBy: optionalString(c.AnsweredBy),
		Replicas:   replicas,
		Evacuated:  c.Evacuated,
		LossesLeft: oas.NewOptInt(c.LossesLeft),
	}
	if c.LeaderlessFor > 0 {
		out.LeaderlessMs = oas.NewOptInt64(c.LeaderlessFor.Milliseconds())
	}
	return out
}

func toReplica(r Replica) oas.Replica {
	out := oas.Replica{ID: r.ID, Host: r.Host, Voter: r.Voter}
	if r.IsSelf {
		out.Presence = oas.NewOptReplicaPresence(oas.ReplicaPresenceSelf)
		return out
	}
	out.Presence = oas.NewOptReplicaPresence(oas.ReplicaPresenceSilent)
	if r.IsHeard {
		out.Presence = oas.NewOptReplicaPresence(oas.ReplicaPresenceHeard)
	}
	out.HasSession = oas.NewOptBool(r.HasSession)
	out.HeardMs = optionalAge(r.HeardAge)
	out.ConsensusMs = optionalAge(r.ConsensusAge)
	return out
}

// optionalAge returns an age in milliseconds, nothing if it is negative.
func optionalAge(age time.Duration) oas.OptInt64 {
	if age < 0 {
		return oas.OptInt64{}
	}
	return oas.NewOptInt64(age.Milliseconds())
}
