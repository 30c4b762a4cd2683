// Package query reads the replicated tables. Changes are in package command.
package query

import (
	"context"

	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// Reader is the barrier of linearizable reads. Read returns once the local tables
// hold all that was committed before the call, and the index up to which.
type Reader interface {
	Read(ctx context.Context) (index uint64, err error)
}

// Tables are the local tables; *state.Machine implements them.
type Tables interface {
	Document(name string) (state.Document, bool)
	Documents() []state.Document
	DocumentsSince(since uint64) []state.Document
	History(before uint64, limit int, keep func(state.AuditRecord) bool) state.AuditPage
	Cluster() state.Cluster
	AppliedIndex() uint64
	LogicalTime() state.LogicalTime
	Fence() uint64
	ClaimCount() int
}

// The length of a page of the audit trail.
const (
	DefaultPageSize = 100
	MaxPageSize     = 1000
)

// Service reads the tables. Its methods may be called concurrently; their errors
// are of type *verdict.Error. A read changes nothing, so its errors say NotRun.
type Service struct {
	reader Reader
	tables Tables
}

// New returns a Service that reads tables after the barrier of r.
func New(r Reader, tables Tables) *Service { return &Service{reader: r, tables: tables} }

// Status is what the control state says of itself.
type Status struct {
	// Index is that of the last applied entry.
	Index uint64
	// LogicalTime is in milliseconds.
	LogicalTime state.LogicalTime
	// Fence is the fencing number for orders to engines.
	Fence   uint64
	Cluster state.Cluster
	// Claims counts the open and the retained ones.
	Claims int
}

// Document returns the document of that name, or CodeNotFound.
func (s *Service) Document(ctx context.Context, name string) (state.Document, error) {
	if err := s.waitForBarrier(ctx); err != nil {
		return state.Document{}, err
	}
	doc, ok := s.tables.Document(name)
	if !ok {
		return state.Document{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no document "+name)
	}
	return doc, nil
}

// Documents returns all documents by name.
func (s *Service) Documents(ctx context.Context) ([]state.Document, error) {
	if err := s.waitForBarrier(ctx); err != nil {
		return nil, err
	}
	return s.tables.Documents(), nil
}

// DocumentsSince returns the documents with a revision above since, the lowest first.
func (s *Service) DocumentsSince(ctx context.Context, since uint64) ([]state.Document, error) {
	if err := s.waitForBarrier(ctx); err != nil {
		return nil, err
	}
	return s.tables.DocumentsSince(since), nil
}

// HistoryRequest asks for a page of the audit trail.
type HistoryRequest struct {
	// Before is Next of the page before; zero starts at the newest record.
	Before uint64
	// Limit bounds the records; zero is DefaultPage, and more than MaxPage is MaxPage.
	Limit int
	// All asks for every record; else only submissions of Documents count, towards
	// the limit too.
	All       bool
	Documents []string
}

// History returns a page of the audit trail, the newest record first.
func (s *Service) History(ctx context.Context, q HistoryRequest) (state.AuditPage, error) {
	if q.Limit < 0 {
		return state.AuditPage{}, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "limit is negative")
	}
	if q.Limit == 0 {
		q.Limit = DefaultPageSize
	}
	if err := s.waitForBarrier(ctx); err != nil {
		return state.AuditPage{}, err
	}
	keep := func(r state.AuditRecord) bool { return q.All || r.IsSubmissionOf(q.Documents) }
	return s.tables.History(q.Before, min(q.Limit, MaxPageSize), keep), nil
}

// Status returns the state of the cluster.
func (s *Service) Status(ctx context.Context) (Status, error) {
	if err := s.waitForBarrier(ctx); err != nil {
		return Status{}, err
	}
	return s.LocalStatus(), nil
}

// LocalStatus returns the state of the cluster as this replica last knew it, also
// without a quorum. It may be old.
func (s *Service) LocalStatus() Status {
	return Status{
		Index:       s.tables.AppliedIndex(),
		LogicalTime: s.tables.LogicalTime(),
		Fence:       s.tables.Fence(),
		Cluster:     s.tables.Cluster(),
		Claims:      s.tables.ClaimCount(),
	}
}

// waitForBarrier waits until the tables are up to date. Whatever fails, nothing has run.
func (s *Service) waitForBarrier(ctx context.Context) error {
	_, err := s.reader.Read(ctx)
	if err == nil {
		return nil
	}
	e := *verdict.Of(err)
	e.Verdict = verdict.NotRun
	return &e
}
