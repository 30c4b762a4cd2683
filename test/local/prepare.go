package local

import (
	"context"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Prepare founds the cluster, waits for all votes, submits a document and waits
// until every entry host serves.
func (s *System) Prepare(ctx context.Context, document string) error {
	if err := s.Found(ctx); err != nil {
		return err
	}
	if out, err := s.Submit(ctx, document); err != nil {
		return errors.Wrapf(err, "submit: %s", out)
	}
	return s.AwaitServing(ctx)
}

// Found founds the cluster and waits until every control host has a vote.
func (s *System) Found(ctx context.Context) error {
	var out string
	err := Await(ctx, func() bool {
		var err error
		out, err = s.Tool(ctx, "init")
		return err == nil
	})
	if err != nil {
		return errors.Wrapf(err, "init: %s", out)
	}
	err = Await(ctx, func() bool { return s.Voters(ctx) == len(s.Control) })
	return errors.Wrap(err, "votes")
}

// Submit submits a document over whatever is in force, by the operators' tool.
func (s *System) Submit(ctx context.Context, document string, args ...string) (string, error) {
	path := filepath.Join(s.Dir, "document.ini")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		return "", err
	}
	return s.Tool(ctx, append([]string{"submit", path}, args...)...)
}

// AwaitServing waits until every entry host is ready and answers a completion by
// each engine's pool.
func (s *System) AwaitServing(ctx context.Context) error {
	for _, h := range s.Entries {
		var last Answer
		err := Await(ctx, func() bool {
			if !IsReady(ctx, h) {
				return false
			}
			last = Do(ctx, h.Listen, Completion("are you there", 1, false))
			return last.Status == 200
		})
		if err != nil {
			return errors.Wrapf(err, "%s does not serve: %d %s %v", h.Name, last.Status, last.Body, last.Err)
		}
	}
	return nil
}
