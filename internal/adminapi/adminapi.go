// Package adminapi serves the administration API of a control host: it
// authenticates operators, bounds and checks what they send, and passes it on to
// the commands, which change state, and the queries, which read it.
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

// Commands change the replicated state. Errors are *verdict.Error; what is wrong
// with a document may also come as *inifile.Error or *document.ConflictError.
// Implementations on followers forward to the leader.
type Commands interface {
	// Submit returns once the document is accepted for good, or refused.
	Submit(ctx context.Context, req SubmitRequest) (SubmitResult, error)
	// Init starts a new cluster.
	Init(ctx context.Context, req InitRequest) (Cluster, error)
	// Release lets a request go under which upstreams ended, at all hosts in touch. It needs
	// no quorum, and reports whether anything was held against the request.
	Release(ctx context.Context, req ReleaseRequest) (bool, error)
}

// Queries read the state of this control host. Errors are *verdict.Error, with
// CodeNotFound for a document that nobody has submitted.
type Queries interface {
	// Document returns the last accepted revision.
	Document(ctx context.Context, name string) (Document, error)
	// Documents lists every document by name.
	Documents(ctx context.Context) ([]DocumentSummary, error)
	// Status tells where the last accepted revision is in force.
	Status(ctx context.Context, name string) (Status, error)
	// History returns a page of the audit trail, the latest change first.
	History(ctx context.Context, req HistoryRequest) (HistoryPage, error)
	// Cluster returns the replicas.
	Cluster(ctx context.Context) (Cluster, error)
	// Quarantine lists the requests under which upstreams ended, without a quorum.
	Quarantine(ctx context.Context) ([]quarantine.Entry, error)
}

// SubmitRequest is a submission of a valid document.
type SubmitRequest struct {
	Name string
	// Base is the revision that the change is based on; zero for a new document.
	Base uint64
	// ChangeID names the change; a resend bears the same one.
	ChangeID string
	// Author is the operator's name.
	Author string
	// Text is what was submitted, byte for byte.
	Text []byte
}

// SubmitResult is the outcome of a submission.
type SubmitResult struct {
	// Revision is the accepted one.
	Revision uint64
	// Repeated tells that the change had been accepted before.
	Repeated bool
	// Conflict is the change that won instead of this one; nil when accepted.
	Conflict *Conflict
}

// Conflict is the change that made the present revision.
type Conflict struct {
	Revision uint64
	Author   string
	ChangeID string
}

// InitRequest asks for a new cluster.
type InitRequest struct{ Author string }

// ReleaseRequest lets a request go.
type ReleaseRequest struct {
	Fingerprint quarantine.Fingerprint
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

// Status tells where a document's last accepted revision is in force.
type Status struct {
	Name     string
	Revision uint64
	// InForce is the number of hosts that have the revision in force.
	InForce int
	// Behind are hosts heard lately with an older revision.
	Behind []HostRevision
	// NotHeard are hosts that have not been heard lately.
	NotHeard []string
	// DataCentres are the same by data centre, in the order of the names.
	DataCentres []DataCentreStatus
}

// DataCentreStatus is how many hosts of a data centre have a revision in force, were heard
// lately with an older one, and were not heard lately.
type DataCentreStatus struct {
	Name                      string
	InForce, Behind, NotHeard int
}

// HostRevision is the revision in force on a host.
type HostRevision struct {
	Host     string
	Revision uint64
}

// HistoryRequest asks for a page of the audit trail.
type HistoryRequest struct {
	// Page is Next of the page before; empty for the latest changes.
	Page string
	// All asks for every change; else only those of Documents are wanted.
	All       bool
	Documents []string
}

// HistoryPage is a page of the audit trail.
type HistoryPage struct {
	Changes []Change
	// Next names the next page; empty on the last one.
	Next string
}

// Change is an entry of the audit trail.
type Change struct {
	// Index is the position in the replicated log.
	Index uint64
	// Time is the clock of the control host that took the change. It orders nothing.
	Time   time.Time
	Action string
	// Author is empty for what the control hosts do by themselves.
	Author string
	// Outcome is what the change came to: accepted, conflict, change-id-reused, each
	// followed by "(repeated)" for a resend, or applied for a membership.
	Outcome string
	// Detail tells more of a change of the cluster; it may be empty.
	Detail string
	// Document is empty for changes of the cluster; Revision, ChangeID and Digest
	// go with it. Revision is the accepted one, or the one in force where the change
	// was refused; Digest is that of the text which was sent.
	Document string
	Revision uint64
	ChangeID string
	Digest   document.Digest
}

// Cluster is the set of replicas as a control host knows it.
type Cluster struct {
	// ID is empty before init.
	ID string
	// Leader is the replica that leads; empty where none is known.
	Leader    string
	Term      uint64
	Commit    uint64
	HasQuorum bool
	Replicas  []Replica
}

// Replica is a member of the cluster.
type Replica struct {
	ID    string
	Host  string
	Voter bool
}

// Defaults of Config.
const (
	DefaultTimeout       = 10 * time.Second
	DefaultMaxConcurrent = 64
	DefaultMaxBodies     = 4
)

// Config is what New needs.
type Config struct {
	Commands Commands
	Queries  Queries
	// Operators tells who may do what. Required.
	Operators *auth.Table
	// Timeout bounds each request. Default DefaultTimeout.
	Timeout time.Duration
	// MaxConcurrent bounds the requests in progress; more are refused. Default
	// DefaultMaxConcurrent.
	MaxConcurrent int
	// MaxBodies bounds the requests with a body in progress, and so the memory that
	// documents take while they are checked; more wait. Default DefaultMaxBodies.
	MaxBodies int
	// Metrics counts problems by code. Default: a registry of its own.
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
