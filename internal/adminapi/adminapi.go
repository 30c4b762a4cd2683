// Package adminapi serves the administration API of a control host. It authenticates operators,
// limits and checks their requests, and calls Commands to change state and Queries to read it.
package adminapi

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/internal/auth"
	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
)

// Commands change the replicated state. Errors are *verdict.Error. Errors in a document may
// also be *inifile.Error or *document.ConflictError. Implementations on followers forward to
// the leader.
type Commands interface {
	// Submit returns once the document is committed, or refused.
	Submit(ctx context.Context, req SubmitRequest) (SubmitResult, error)
	// Init starts a new cluster.
	Init(ctx context.Context, req InitRequest) (Cluster, error)
	// Release takes a request out of quarantine and clears the suspicions against it, at all
	// hosts that can be reached. It needs no quorum. It reports whether the request was
	// suspected or quarantined.
	Release(ctx context.Context, req ReleaseRequest) (bool, error)
	// SetEvacuation starts or ends the evacuation of a data centre. It returns the evacuated
	// data centres after the order, once that is committed.
	SetEvacuation(ctx context.Context, req EvacuationRequest) ([]string, error)
}

// Queries read the state of this control host. Errors are *verdict.Error, with CodeNotFound for
// a document that nobody has submitted.
type Queries interface {
	// Document returns the last accepted revision.
	Document(ctx context.Context, name string) (Document, error)
	// Documents lists every document by name.
	Documents(ctx context.Context) ([]DocumentSummary, error)
	// Status returns which hosts use the last accepted revision.
	Status(ctx context.Context, name string) (Status, error)
	// History returns a page of the audit trail, the latest change first.
	History(ctx context.Context, req HistoryRequest) (HistoryPage, error)
	// Cluster returns the replicas.
	Cluster(ctx context.Context) (Cluster, error)
	// Quarantine lists the requests that are suspected of crashing upstreams. It needs no
	// quorum.
	Quarantine(ctx context.Context) ([]quarantine.Entry, error)
	// Evacuated lists the evacuated data centres by name.
	Evacuated(ctx context.Context) ([]string, error)
}

// SubmitRequest is a submission of a valid document.
type SubmitRequest struct {
	Name string
	// BaseRevision is the revision that the change is based on; zero for a new document.
	BaseRevision uint64
	// ChangeID identifies the change. A retry has the same one, so that the change is made
	// once.
	ChangeID string
	// Author is the operator's name.
	Author string
	// Text is the submitted text, byte for byte.
	Text []byte
}

// SubmitResult is the outcome of a submission.
type SubmitResult struct {
	// Revision is the accepted revision.
	Revision uint64
	// Repeated is set if an earlier submission with the same ChangeID has been accepted.
	Repeated bool
	// Conflict is set if another change has replaced the base revision. It is nil if the
	// submission is accepted.
	Conflict *Conflict
}

// Conflict is the change that made the current revision.
type Conflict struct {
	Revision uint64
	Author   string
	ChangeID string
}

// InitRequest asks for a new cluster.
type InitRequest struct{ Author string }

// ReleaseRequest asks to take a request out of quarantine.
type ReleaseRequest struct {
	Fingerprint quarantine.Fingerprint
	// Author is the operator's name.
	Author string
}

// EvacuationRequest asks to start or end the evacuation of a data centre.
type EvacuationRequest struct {
	DataCentre  string
	IsEvacuated bool
	// Author is the operator's name.
	Author string
}

// Document is an accepted document.
type Document struct {
	Name     string
	Revision uint64
	Author   string
	ChangeID string
	Digest   document.Digest
	Text     []byte
}

// DocumentSummary is a document without its text.
type DocumentSummary struct {
	Name     string
	Revision uint64
	Author   string
}

// Status says which hosts use a document's last accepted revision.
type Status struct {
	Name     string
	Revision uint64
	// InForce is the number of hosts that use the revision.
	InForce int
	// Behind are hosts that have reported recently that they use an older revision.
	Behind []HostRevision
	// NotHeard are hosts that have not reported recently.
	NotHeard []string
	// DataCentres are the same numbers by data centre, sorted by name.
	DataCentres []DataCentreStatus
}

// DataCentreStatus is the number of hosts of a data centre that use a revision, that have
// reported an older one recently, and that have not reported recently.
type DataCentreStatus struct {
	Name                      string
	InForce, Behind, NotHeard int
}

// HostRevision is the revision that a host uses.
type HostRevision struct {
	Host     string
	Revision uint64
}

// HistoryRequest asks for a page of the audit trail.
type HistoryRequest struct {
	// Page is HistoryPage.Next of the previous page. It is empty for the latest changes.
	Page string
	// All asks for all changes. Otherwise only changes of Documents are returned.
	All       bool
	Documents []string
}

// HistoryPage is a page of the audit trail.
type HistoryPage struct {
	Changes []Change
	// Next identifies the next page. It is empty on the last page.
	Next string
}

// Change is an entry of the audit trail.
type Change struct {
	// Index is the position in the replicated log.
	Index uint64
	// Time is the clock of the control host that received the change. It does not define the
	// order of changes.
	Time   time.Time
	Action string
	// Author is empty for changes that the control hosts make themselves.
	Author string
	// Outcome is accepted, conflict or change-id-reused for a submission, followed by
	// "(repeated)" for a retry. It is applied for a change of the cluster's membership.
	Outcome string
	// Detail describes a change of the cluster, or is the data centre of an evacuation. It may be
	// empty.
	Detail string
	// Document is empty for changes of the cluster, and so are Revision, ChangeID and Digest.
	// Revision is the accepted revision or, if the change was refused, the current one. Digest
	// is the digest of the submitted text.
	Document string
	Revision uint64
	ChangeID string
	Digest   document.Digest
}

// Cluster is the set of replicas as a control host knows it.
type Cluster struct {
	// ID is empty before Init.
	ID string
	// Leader is the replica that leads. It is empty if no leader is known.
	Leader    string
	Term      uint64
	Commit    uint64
	HasQuorum bool
	// AnsweredBy is the replica of the control host that answers.
	AnsweredBy string
	// LeaderlessFor is the time since that host heard of a leader; zero while it knows one.
	LeaderlessFor time.Duration
	// LossesLeft is how many more voters can be lost without the loss of the quorum.
	LossesLeft int
	Replicas   []Replica
	// Evacuated are the evacuated data centres by name.
	Evacuated []string
}

// Replica is a member of the cluster.
type Replica struct {
	ID    string
	Host  string
	Voter bool
	// IsSelf is set for the replica of the control host that answers. IsHeard reports whether that host
	// counts the replica as present, HasSession whether it has a session with it.
	IsSelf, IsHeard, HasSession bool
	// HeardAge is the time since the last message of any kind, ConsensusAge since the last one of the
	// consensus; negative if there was none.
	HeardAge, ConsensusAge time.Duration
}

// Defaults of Config.
const (
	DefaultTimeout       = 10 * time.Second
	DefaultMaxConcurrent = 64
	DefaultMaxBodies     = 4
)

// Config holds the settings and dependencies of the API.
type Config struct {
	Commands Commands
	Queries  Queries
	// Operators holds the operators' tokens and permissions. Required.
	Operators *auth.Table
	// Timeout limits the duration of each request. Default DefaultTimeout.
	Timeout time.Duration
	// MaxConcurrent limits the requests in progress. Further requests are refused. Default
	// DefaultMaxConcurrent.
	MaxConcurrent int
	// MaxBodies limits the requests with a body in progress, and so the memory used by
	// documents while they are checked. Further requests wait. Default DefaultMaxBodies.
	MaxBodies int
	// Metrics counts problem responses by code. Default: a new registry.
	Metrics metrics.Registry
}

// New returns the handler of the administration API.
func New(c Config) (http.Handler, error) {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxConcurrent == 0 {
		c.MaxConcurrent = DefaultMaxConcurrent
	}
	if c.MaxBodies == 0 {
		c.MaxBodies = DefaultMaxBodies
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	problems := &problems{registry: c.Metrics}
	h := &handler{commands: c.Commands, queries: c.Queries, problems: problems}
	server, err := oas.NewServer(h, &security{operators: c.Operators},
		oas.WithErrorHandler(problems.serveError),
		oas.WithNotFound(problems.serveNotFound),
		oas.WithMethodNotAllowed(problems.serveMethodNotAllowed),
	)
	if err != nil {
		return nil, err
	}
	return &limitedHandler{
		next:         server,
		problems:     problems,
		timeout:      c.Timeout,
		requestSlots: make(chan struct{}, c.MaxConcurrent),
		bodySlots:    make(chan struct{}, c.MaxBodies),
	}, nil
}
