package query

import (
	"context"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// laggingReader simulates a replica that is behind: the unapplied commands are committed, and
// Read applies them before it returns.
type laggingReader struct {
	machine   *state.Machine
	unapplied []state.Command
	err       error
}

func (r *laggingReader) Read(context.Context) (uint64, error) {
	if r.err != nil {
		return 0, r.err
	}
	for _, c := range r.unapplied {
		data, err := state.Encode(c)
		if err != nil {
			return 0, err
		}
		r.machine.Apply(r.machine.AppliedIndex()+1, data)
	}
	r.unapplied = nil
	return r.machine.AppliedIndex(), nil
}

func newService(unapplied ...state.Command) (*Service, *laggingReader) {
	r := &laggingReader{machine: state.New(state.Options{}), unapplied: unapplied}
	return New(r, r.machine), r
}

func submit(name string, base uint64, change string) state.SubmitDocument {
	return state.SubmitDocument{Name: name, BaseRevision: base, ChangeID: change, Author: "ann", Text: change}
}

// Every read must pass the barrier first. Without it, a read at a replica that is behind would
// miss documents that were committed before the read.
func TestReadsSeeEarlierCommits(t *testing.T) {
	commands := []state.Command{state.Init{ClusterID: "c1"}, submit("d", 0, "x"), submit("d", 2, "y")}
	for name, read := range map[string]func(*Service) (uint64, error){
		"document": func(s *Service) (uint64, error) {
			doc, err := s.Document(t.Context(), "d")
			return doc.Revision, err
		},
		"documents": func(s *Service) (uint64, error) {
			docs, err := s.Documents(t.Context())
			return docs[0].Revision, err
		},
		"changes": func(s *Service) (uint64, error) {
			docs, err := s.DocumentsSince(t.Context(), 2)
			return docs[0].Revision, err
		},
		"history": func(s *Service) (uint64, error) {
			page, err := s.History(t.Context(), HistoryRequest{All: true})
			return page.Records[0].Index, err
		},
		"status": func(s *Service) (uint64, error) {
			status, err := s.Status(t.Context())
			require.Equal(t, "c1", status.Cluster.ID)
			require.Equal(t, status.Index, status.FencingToken)
			return status.Index, err
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newService(commands...)
			index, err := read(s)
			require.NoError(t, err)
			require.Equal(t, uint64(3), index)
		})
	}
}

// A read changes nothing, so its error must not tell the caller that something may have run,
// although the error of the barrier says so.
func TestBarrierErrorsSayNotRun(t *testing.T) {
	s, r := newService()
	for code, err := range map[verdict.Code]error{
		verdict.CodeNoQuorum: verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "cut off"),
		verdict.CodeInternal: errors.New("connection reset"),
	} {
		r.err = err
		calls := []func() error{
			func() error { _, err := s.Document(t.Context(), "d"); return err },
			func() error { _, err := s.Documents(t.Context()); return err },
			func() error { _, err := s.DocumentsSince(t.Context(), 0); return err },
			func() error { _, err := s.History(t.Context(), HistoryRequest{Limit: 1}); return err },
			func() error { _, err := s.Status(t.Context()); return err },
		}
		for _, call := range calls {
			var e *verdict.Error
			require.ErrorAs(t, call(), &e)
			require.Equal(t, verdict.NotRun, e.Verdict)
			require.Equal(t, code, e.Code)
		}
	}
	require.Zero(t, s.LocalStatus().Index)
}

func TestUnknownDocumentAndPageLimits(t *testing.T) {
	var commands []state.Command
	for i := range MaxPageSize + 1 {
		commands = append(commands, submit(fmt.Sprint(i), 0, "x"))
	}
	s, _ := newService(commands...)
	_, err := s.Document(t.Context(), "other")
	require.Equal(t, verdict.CodeNotFound, verdict.FromError(err).Code)
	for limit, want := range map[int]int{0: DefaultPageSize, 7: 7, MaxPageSize + 1: MaxPageSize} {
		page, err := s.History(t.Context(), HistoryRequest{Limit: limit, All: true})
		require.NoError(t, err)
		require.Len(t, page.Records, want)
		require.Equal(t, page.Records[want-1].Index, page.Next)
	}
	page, err := s.History(t.Context(), HistoryRequest{Documents: []string{"3", "8"}})
	require.NoError(t, err)
	require.Len(t, page.Records, 2, "other documents' records do not count towards the limit")
	require.Equal(t, "8", page.Records[0].Subject)
	require.Zero(t, page.Next)
	_, err = s.History(t.Context(), HistoryRequest{Limit: -1})
	require.Equal(t, verdict.CodeBadRequest, verdict.FromError(err).Code)
}
