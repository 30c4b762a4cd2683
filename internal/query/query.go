// Package query reads the replicated tables with linearizable reads. Package command changes
// them.
package query

import (
	"context"

	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// Reader is the barrier of linearizable reads. Read returns once the local tables contain
// all that was committed before the call. The index is the last log entry that they must
// contain for that.
type Reader interface {
	Read(ctx context.Context) (index uint64, err error)
}

// Tables is the local copy of the replicated tables; *state.Machine implements it.
type Tables interface {
	Document(name string) (state.Document, bool)
	Documents() []state.Document
	DocumentsSince(since uint64) []state.Document
	History(before uint64, limit int, keep func(state.AuditRecord) bool) state.AuditPage
	Cluster() state.Cluster
	AppliedIndex() uint64
	LogicalTime() state.LogicalTime
	FencingToken() uint64
	ClaimCount() int
}

// The number of records on a page of the audit trail.
const (
	DefaultPageSize = 100
	MaxPageSize     = 1000
)

// Service reads the tables. Its methods may be called concurrently. Their errors are of
// type *verdict.Error and have the verdict NotRun, since a read changes nothing.
type Service struct {
	reader Reader
	tables Tables
}

// New returns a Service that reads tables once the barrier r has returned.
func New(r Reader, tables Tables) *Service { return &Service{reader: r, tables: tables} }

// Status summarises the replicated tables.
type Status struct {
	// Index is the index of the last applied log entry.
	Index uint64
	// LogicalTime is the time of the tables' logical clock in milliseconds.
	LogicalTime state.LogicalTime
	// FencingToken is the fencing token for orders to engines.
	FencingToken uint64
	Cluster      state.Cluster
	// Claims is the number of claims, open or finished.
	Claims int
}

// Document returns a document by name, or an error with CodeNotFound.
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

// Documents returns all documents, sorted by name.
func (s *Service) Documents(ctx context.Context) ([]state.Document, error) {
	if err := s.waitForBarrier(ctx); err != nil {
		return nil, err
	}
	return s.tables.Documents(), nil
}

// DocumentsSince returns the documents with a revision above since, sorted by revision.
func (s *Service) DocumentsSince(ctx context.Context, since uint64) ([]state.Document, error) {
	if err := s.waitForBarrier(ctx); err != nil {
		return nil, err
	}
	return s.tables.DocumentsSince(since), nil
}

// HistoryRequest selects a page of the audit trail.
type HistoryRequest struct {
	// Before is the Next of the previous page; zero starts at the newest record.
	Before uint64
	// Limit is the maximum number of records, at most MaxPageSize. Zero means
	// DefaultPageSize.
	Limit int
	// All selects every record. Otherwise only submissions of Documents are returned,
	// and only they count towards Limit.
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

// Status returns the status as of the last commit before the call.
func (s *Service) Status(ctx context.Context) (Status, error) {
	if err := s.waitForBarrier(ctx); err != nil {
		return Status{}, err
	}
	return s.LocalStatus(), nil
}

// LocalStatus returns the status of the local tables without a barrier. It works without a
// quorum and may be out of date.
func (s *Service) LocalStatus() Status {
	return Status{
		Index:        s.tables.AppliedIndex(),
		LogicalTime:  s.tables.LogicalTime(),
		FencingToken: s.tables.FencingToken(),
		Cluster:      s.tables.Cluster(),
		Claims:       s.tables.ClaimCount(),
	}
}

// waitForBarrier waits until the local tables are up to date. Its errors have the verdict
// NotRun whatever the cause says, since a read changes nothing.
func (s *Service) waitForBarrier(ctx context.Context) error {
	_, err := s.reader.Read(ctx)
	if err == nil {
		return nil
	}
	e := *verdict.FromError(err)
	e.Verdict = verdict.NotRun
	return &e
}
